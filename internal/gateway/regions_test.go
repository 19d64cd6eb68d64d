package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// twoRegionGateway returns a gateway of a fleet with two data halls in each of two regions and a
// server in each hall, and the servers by hall.
func twoRegionGateway(t *testing.T, kind wire.RouteKind, routeHomes, workspaceHomes []string, serve func(net.Conn, *http.Request)) (*Gateway, map[string]*backend) {
	t.Helper()
	g := newGateway(t, kind, true, nil)
	g.Regions = map[sumachead.HallID]sumachead.RegionID{"hall-1": "north", "hall-2": "north", "hall-3": "south", "hall-4": "south"}
	servers := make(map[string]*backend)
	for hall := range g.Regions {
		b := &backend{id: string(hall)}
		servers[string(hall)] = b
		if _, err := g.servers.ApplyHeartbeat(&wire.ServerRecord{
			Id: b.id, Service: "pool", Address: b.listen(t, serve), Hall: b.id, Slots: 4, Sequence: 1,
		}, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	d := proto.CloneOf(g.client.View().Catalog)
	d.GetRoutes()[0].Homes = routeHomes
	d.GetRoutes()[0].MaxAttempts = 4
	d.GetWorkspaces()[0].Homes = workspaceHomes
	g.client.ApplyDeclaration(&wire.Declaration{Number: 2, Catalog: d})
	return g, servers
}

// Requests reach only servers in regions allowed by both route and workspace, whether they are
// served at once, retried or refused.
func TestAllowedRegions(t *testing.T) {
	const requests = 40
	tests := []struct {
		name             string
		route, workspace []string
		// fails makes each server fail, so that requests are retried elsewhere.
		fails bool
		want  []string
	}{
		{"all regions allowed", nil, nil, true, []string{"hall-1", "hall-2", "hall-3", "hall-4"}},
		{"regions of the route, retried", []string{"south"}, nil, true, []string{"hall-3", "hall-4"}},
		{"regions of the workspace", nil, []string{"north"}, true, []string{"hall-1", "hall-2"}},
		{"regions of both", []string{"north", "south"}, []string{"south"}, true, []string{"hall-3", "hall-4"}},
		{"no common region", []string{"north"}, []string{"south"}, false, nil},
		{"nonexistent region", []string{"east"}, nil, false, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serve := respondWith(200, "", "ok")
			if tt.fails {
				serve = closeConnection
			}
			g, servers := twoRegionGateway(t, wire.RouteKind_ROUTE_KIND_REPEATABLE, tt.route, tt.workspace, serve)
			for range requests {
				_, _, err := sendRequest(g, "1", nil)
				if len(tt.want) > 0 {
					continue
				}
				if f := refusalOf(t, err); f.Reason != sumachead.ReasonNoServer || !f.RetryAt.IsZero() {
					t.Fatalf("refused with %v, told to retry at %v", f, f.RetryAt)
				}
			}
			var reached []string
			for _, hall := range []string{"hall-1", "hall-2", "hall-3", "hall-4"} {
				if servers[hall].runs.Load() > 0 {
					reached = append(reached, hall)
				}
			}
			if d := cmp.Diff(tt.want, reached); d != "" {
				t.Errorf("halls reached (-want +got):\n%s", d)
			}
		})
	}
}

// A request that is served at the first attempt is served in an allowed region too, wherever its
// caller connected.
func TestFirstAttemptStaysInAllowedRegion(t *testing.T) {
	for _, region := range []string{"north", "south"} {
		t.Run(region, func(t *testing.T) {
			g, servers := twoRegionGateway(t, wire.RouteKind_ROUTE_KIND_REPEATABLE, []string{region}, nil, respondWith(200, "", "ok"))
			for range 20 {
				if _, _, err := sendRequest(g, "1", nil); err != nil {
					t.Fatal(err)
				}
			}
			for hall, at := range g.Regions {
				if n := servers[string(hall)].runs.Load(); n > 0 && string(at) != region {
					t.Errorf("%d requests at %s", n, hall)
				}
			}
		})
	}
}

// A stream that breaks off is resumed in an allowed region.
func TestStreamResumesInAllowedRegion(t *testing.T) {
	g, servers := twoRegionGateway(t, wire.RouteKind_ROUTE_KIND_STREAM, []string{"south"}, nil, events(1, 3, false))
	_, started, err := sendRequest(g, "1", nil)
	if err == nil || !started {
		t.Fatalf("started %t, error %v; all servers break off", started, err)
	}
	for _, hall := range []string{"hall-1", "hall-2"} {
		if n := servers[hall].runs.Load(); n > 0 {
			t.Errorf("%d requests at %s", n, hall)
		}
	}
	if servers["hall-3"].runs.Load()+servers["hall-4"].runs.Load() < 2 {
		t.Error("the stream was not resumed elsewhere")
	}
}

// The time since when no server is available is tracked by allowed regions: a request to other
// regions with available servers must not restart the wait of this one.
func TestAvailabilityIsTrackedByRegion(t *testing.T) {
	x := &exchange{service: &wire.Service{Name: "pool"}}
	north, anywhere := &dispatch{x: x, halls: []string{"hall-1", "hall-2"}}, &dispatch{x: x}
	var c healthChecks
	start := time.Now()
	c.recordAvailability(north.scope(), true, start)
	c.recordAvailability(anywhere.scope(), false, start.Add(time.Second))
	if since := c.recordAvailability(north.scope(), true, start.Add(2*time.Second)); !since.Equal(start) {
		t.Errorf("unavailable since %v after the first request, want since the first request", since.Sub(start))
	}
}
