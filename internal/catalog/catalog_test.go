package catalog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

func validCatalog() *wire.Catalog {
	return &wire.Catalog{
		Services: []*wire.Service{{Name: "pool"}, {Name: "api"}},
		Routes: []*wire.Route{
			{Name: "short", Host: "h.example", PathPrefix: "/a/", TimeoutMillis: 10, Shares: []*wire.ServiceShare{{Service: "pool", Weight: 1}}},
			{Name: "long", Host: "h.example", PathPrefix: "/a/b/", TimeoutMillis: 10, Shares: []*wire.ServiceShare{{Service: "api", Weight: 1}}},
		},
		Workspaces: []*wire.WorkspaceAccess{
			{Name: "clerks", Keys: []string{"k1", "k2"}, Prepaid: proto.Int64(5)}, {Name: "nurses", Keys: []string{"k3"}},
		},
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name    string
		modify  func(*wire.Catalog)
		wantErr bool
	}{
		{"valid", func(*wire.Catalog) {}, false},
		{"unknown service", func(c *wire.Catalog) { c.Routes[0].Shares[0].Service = "none" }, true},
		{"same host and prefix", func(c *wire.Catalog) { c.Routes[1].PathPrefix = "/a/" }, true},
		{"same host and prefix, other case of the host", func(c *wire.Catalog) { c.Routes[1].PathPrefix, c.Routes[1].Host = "/a/", "H.example" }, true},
		{"no weight", func(c *wire.Catalog) { c.Routes[0].Shares[0].Weight = 0 }, true},
		{"no timeout", func(c *wire.Catalog) { c.Routes[0].TimeoutMillis = 0 }, true},
		{"prefix without slash", func(c *wire.Catalog) { c.Routes[0].PathPrefix = "/a" }, true},
		{"shared key", func(c *wire.Catalog) { c.Workspaces[1].Keys = []string{"k1"} }, true},
		{"same key twice in one workspace", func(c *wire.Catalog) { c.Workspaces[1].Keys = []string{"k3", "k3"} }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := validCatalog()
			tt.modify(c)
			if err := Validate(c); trace.IsBadParameter(err) != tt.wantErr {
				t.Fatalf("got %v, want an error: %t", err, tt.wantErr)
			}
		})
	}
}

func TestView(t *testing.T) {
	v := NewView(&wire.Declaration{Number: 7, Catalog: validCatalog()})
	tests := []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"H.EXAMPLE", "/a/b/x", "long"},
		{"h.example", "/a/b", "short"},
		{"h.example", "/a", ""},
		{"other.example", "/a/x", ""},
	}
	for _, tt := range tests {
		if got := v.Route(tt.host, tt.path).GetName(); got != tt.want {
			t.Errorf("route of %s%s: %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
	got := []string{v.Authenticate("k2").GetName(), v.Authenticate("k3").GetName(), v.Authenticate("k9").GetName()}
	if d := cmp.Diff([]string{"clerks", "nurses", ""}, got); d != "" {
		t.Errorf("keys (-want +got):\n%s", d)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := &wire.Route{Shares: []*wire.ServiceShare{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c"}}}
	count := make(map[string]int)
	for range 10000 {
		count[PickService(r)]++
	}
	if count["c"] != 0 || count["b"] < 700 || count["b"] > 1300 {
		t.Fatalf("picked %v for weights 9, 1 and 0", count)
	}
}
