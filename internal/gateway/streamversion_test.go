package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/origin"
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

// A stream whose origin is not known, or whose version is gone, must be refused at once and not be
// continued at another version.
func TestResumedStreamRunsOnlyAtItsOrigin(t *testing.T) {
	began := origin.KeyOf("clerks", "first")
	tests := []struct {
		name string
		// recorded is the origin of the stream that request "first" of the workspace clerks began; nil
		// for none.
		recorded *origin.Origin
		resumes  sumachead.RequestID
		key      string
		// software is the version of the only server.
		software string
		want     sumachead.Reason
	}{
		{"the version serves", &origin.Origin{Service: "pool", Software: "v1"}, "first", "k", "v1", ""},
		{"servers that report no version", &origin.Origin{Service: "pool"}, "first", "k", "", ""},
		{"another version serves", &origin.Origin{Service: "pool", Software: "v1"}, "first", "k", "v2", sumachead.ReasonVersionGone},
		{"the route leads to another service", &origin.Origin{Service: "old", Software: "v1"}, "first", "k", "v1", sumachead.ReasonVersionGone},
		{"not recorded", nil, "first", "k", "v1", sumachead.ReasonOriginUnknown},
		{"the caller names no request, and no keeper responds", &origin.Origin{Service: "pool", Software: "v1"}, "", "k", "v1", sumachead.ReasonOriginUnknown},
		{"the caller names another request", &origin.Origin{Service: "pool", Software: "v1"}, "second", "k", "v1", sumachead.ReasonOriginUnknown},
		{"the stream of another workspace", &origin.Origin{Service: "pool", Software: "v1"}, "first", "n", "v1", sumachead.ReasonOriginUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &backend{id: "a"}
			servers := map[string]string{"a": b.listen(t, events(1, 4, true))}
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_STREAM, true, servers)
			setSoftware(t, g, servers, map[string]string{"a": tt.software})
			if tt.recorded != nil {
				g.origins.Record(began, *tt.recorded, time.Now().Add(time.Minute))
			}
			begun := time.Now()
			w, _, err := sendRequest(g, "next", func(r *sumachead.CallerRequest) {
				r.LastEvent, r.Resumes, r.Key = "2", tt.resumes, tt.key
			})
			if tt.want == "" {
				if diff := cmp.Diff("id: 3\ndata: x\n\nid: 4\ndata: x\n\n", w.body.String()); err != nil || diff != "" {
					t.Errorf("error %v, events (-want +got):\n%s", err, diff)
				}
				return
			}
			f := refusalOf(t, err)
			if diff := cmp.Diff([]any{tt.want, sumachead.NotRun, int32(0)}, []any{f.Reason, f.Verdict, b.runs.Load()}); diff != "" {
				t.Errorf("reason, verdict and runs (-want +got):\n%s", diff)
			}
			if d := time.Since(begun); d > testHeartbeat/4 {
				t.Errorf("refused after %v", d)
			}
		})
	}
}

// A caller that resumes twice must stay at the version that began the stream, whether or not its
// second request received events.
func TestThirdRequestOfAStreamKeepsItsVersion(t *testing.T) {
	tests := []struct {
		name string
		// second serves the second request.
		second func(*backend, *testing.T) string
		last   string
	}{
		{"the second brought events", func(b *backend, t *testing.T) string { return b.listen(t, events(3, 4, false)) }, "4"},
		{"the second brought none", func(b *backend, t *testing.T) string { return b.listen(t, closeConnection) }, "2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			second, other := &backend{id: "a"}, &backend{id: "b"}
			servers := map[string]string{"a": tt.second(second, t), "b": other.listen(t, events(1, 6, true))}
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_STREAM, true, servers)
			setSoftware(t, g, servers, map[string]string{"a": "v1", "b": "v2"})
			g.origins.Record(origin.KeyOf("clerks", "first"), origin.Origin{Service: "pool", Software: "v1"}, time.Now().Add(time.Minute))
			resume := func(id, last string) error {
				_, _, err := sendRequest(g, id, func(r *sumachead.CallerRequest) { r.LastEvent, r.Resumes = last, "first" })
				return err
			}
			if err := resume("second", "2"); err == nil {
				t.Error("the second request was not broken off")
			}
			if err := resume("third", tt.last); err == nil {
				t.Error("the third request was not broken off")
			}
			if diff := cmp.Diff(int32(0), other.runs.Load()); diff != "" {
				t.Errorf("requests at the other version (-want +got):\n%s", diff)
			}
		})
	}
}

// Callers that do not name the request that began their stream must be served only where all servers
// have one version.
func TestVersionIsInferredOnlyIfThereIsOne(t *testing.T) {
	tests := []struct {
		name string
		// versions are those of servers, and left that of a server that has left; "-" for none.
		versions []string
		left     string
		want     origin.Result
	}{
		{"one version", []string{"v1", "v1"}, "-", origin.Found},
		{"two versions", []string{"v1", "v2"}, "-", origin.Unknown},
		{"a server of another version has left", []string{"v1"}, "v2", origin.Unknown},
		{"a server of the same version has left", []string{"v1"}, "v1", origin.Found},
		{"no servers", nil, "-", origin.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_STREAM, true, nil)
			now := time.Now()
			reply := &wire.FollowReply{Whole: true, History: "h", Version: 1}
			for i, v := range append(tt.versions, tt.left) {
				if v == "-" {
					continue
				}
				r := &wire.ServerRecord{Id: fmt.Sprint("e", i), Service: "pool", Address: fmt.Sprint("127.0.0.1:", i+1), Hall: "hall-1", Software: v}
				if i == len(tt.versions) {
					r.State = wire.ServerState_SERVER_STATE_LEAVING
				}
				reply.Servers = append(reply.Servers, r)
			}
			g.servers.Apply(reply, now)
			x := &exchange{request: &sumachead.CallerRequest{}, route: g.client.View().Route("h", "/r/x")}
			d := &dispatch{Gateway: g, x: x}
			_, got := d.inferOrigin(g.client.LastResponseAt().Add(time.Second))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}
