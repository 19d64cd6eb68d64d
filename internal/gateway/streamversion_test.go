package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// setSoftware sets the software versions of servers that newGateway has registered.
func setSoftware(t *testing.T, g *Gateway, servers map[string]string, versions map[string]string) {
	t.Helper()
	for id, v := range versions {
		r := &wire.ServerRecord{Id: id, Service: "pool", Address: servers[id], Hall: "hall-1", Slots: 4, Sequence: 2, Software: v}
		if _, err := g.servers.ApplyHeartbeat(r, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
}

// A stream that breaks off must not continue at another software version within one response.
func TestBrokenStreamNeverContinuesAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name string
		// versions are the software versions of the server that breaks off and of the other one.
		broken, other string
		want          string
	}{
		{"the same version", "v1", "v1", "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"},
		{"another version", "v1", "v2", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		{"a version and none", "v1", "", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			breaks, other := &backend{id: "a"}, &backend{id: "b"}
			servers := map[string]string{"a": breaks.listen(t, events(1, 2, false)), "b": other.listen(t, events(1, 4, true))}
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_STREAM, true, servers)
			setSoftware(t, g, servers, map[string]string{"a": tt.broken})
			g.servers.MarkLeaving("b", time.Now()) // so that the first attempt goes to a
			breaks.onRequest = func() {
				r := &wire.ServerRecord{Id: "c", Service: "pool", Address: servers["b"], Hall: "hall-1", Slots: 4, Sequence: 1, Software: tt.other}
				if _, err := g.servers.ApplyHeartbeat(r, time.Now()); err != nil {
					t.Error(err)
				}
			}
			w, started, err := sendRequest(g, "1", func(r *sumachead.CallerRequest) { r.MaxOutputTokens = 4 })
			if diff := cmp.Diff(tt.want, w.body.String()); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if same := tt.broken == tt.other; !started || (err == nil) != same {
				t.Errorf("started %v, error %v", started, err)
			}
		})
	}
}
