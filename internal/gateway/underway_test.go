package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// Guards against requests that a new declaration ends while they are under way.
func TestRequestUnderWayKeepsItsDeclaration(t *testing.T) {
	tests := []struct {
		name   string
		change func(*wire.Catalog)
	}{
		{"route gone", func(c *wire.Catalog) { c.Routes = nil }},
		{"service and route gone", func(c *wire.Catalog) { c.Services, c.Routes = nil, nil }},
		{"workspace gone", func(c *wire.Catalog) { c.Workspaces = nil }},
		{"key moved", func(c *wire.Catalog) { c.Workspaces[0].Keys, c.Workspaces[1].Keys = []string{"n"}, []string{"k"} }},
		{"timeout lowered", func(c *wire.Catalog) { c.Routes[0].TimeoutMillis = 20 }},
		{"attempts lowered", func(c *wire.Catalog) { c.Routes[0].MaxAttempts = 1 }},
		{"limits lowered", func(c *wire.Catalog) {
			c.Limits = &wire.CallerLimits{HeaderBytes: 1, BodyBytes: 1, HeaderMillis: 1, IdleMillis: 1}
		}},
		{"connections lowered", func(c *wire.Catalog) { c.Services[0].MaxConns = 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := &backend{id: "a"}
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": b.listen(t, answerAfter(200*time.Millisecond, respondWith(200, "", "ok")))})
			next := proto.CloneOf(g.client.View().Catalog)
			tt.change(next)
			time.AfterFunc(50*time.Millisecond, func() { g.client.ApplyDeclaration(&wire.Declaration{Number: 2, Catalog: next}) })
			w, _, err := sendRequest(g, "1", nil)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("ok", w.body.String()); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if v := g.client.View().Number; v != 2 {
				t.Errorf("declaration %d is in force", v)
			}
		})
	}
}
