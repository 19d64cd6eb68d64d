package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/api/wire"
	"sumachead/internal/linkload"
)

// A router whose link is filled by callers is not ready; one that does not know its link capacity
// is.
func TestFullLinkIsNotReady(t *testing.T) {
	tests := []struct {
		name  string
		link  int64
		took  int
		ready bool
	}{
		{"room", 1 << 20, 1 << 10, true},
		{"full", 1 << 20, 1 << 20, false},
		{"unknown link capacity", 0, 1 << 30, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, nil)
			g.link.BytesPerSecond = tt.link
			g.CountBytes(tt.took)
			if got := g.Ready(); got != tt.ready {
				t.Errorf("ready: %t, want %t", got, tt.ready)
			}
			if g.ShouldClose("caller") {
				t.Error("connections close before a load balancer can have noticed")
			}
		})
	}
}

// metricValue returns the value of a counter or gauge without labels.
func metricValue(t *testing.T, g *Gateway, name string) int {
	t.Helper()
	families, err := g.Metrics().Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			m := f.GetMetric()[0]
			return int(m.GetCounter().GetValue() + m.GetGauge().GetValue())
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// Guards against a router whose closed connections are not counted, that reports an unknown link as idle,
// or that does not apply the neighbors' load.
func TestNeighborsLoadDecidesOnConnections(t *testing.T) {
	type result struct {
		Closed           string
		Miscounted, Mean int
		Reported         bool
	}
	tests := []struct {
		name string
		link int64
		told *wire.HallLink
		want result
	}{
		{"neighbors have room", 100_000, &wire.HallLink{Routers: 4, MeanPercent: 20, RoomPercent: 1000}, result{"share", 0, 20, true}},
		{"neighbors have none", 100_000, &wire.HallLink{Routers: 4, MeanPercent: 90}, result{"none", 0, 90, true}},
		{"keepers that tell nothing", 100_000, nil, result{"one in ten", 0, 0, true}},
		{"unknown link capacity", 0, &wire.HallLink{Routers: 4, MeanPercent: 20, RoomPercent: 220}, result{"none", 0, 20, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, nil)
			g.link.BytesPerSecond = tt.link
			// The gateway reads the clock. Four times the capacity stays over the limit when the test is
			// delayed.
			for at := time.Now().Add(-3 * time.Second); at.Before(time.Now()); at = at.Add(5 * time.Millisecond) {
				g.link.AddBytes(2000, at)
			}
			if tt.told != nil {
				g.client.OnHallLink(tt.told)
			}
			got := result{Mean: metricValue(t, g, "sumachead_gateway_neighbors_link_percent"), Reported: g.client.LinkPercent() > 0}
			closed := 0
			for i := range 100 {
				if g.ShouldClose(linkload.ConnectionID(fmt.Sprint(i))) {
					closed++
				}
			}
			switch {
			case closed == 0:
				got.Closed = "none"
			case closed == 10:
				got.Closed = "one in ten"
			case closed > 20 && closed < 90:
				got.Closed = "share"
			}
			got.Miscounted = metricValue(t, g, "sumachead_gateway_link_closes_total") - closed
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against neighbors that move callers to a router that is stopping: its link empties, but the load
// balancer sends it no new connections.
func TestStoppingRouterOffersNoRoom(t *testing.T) {
	t.Parallel()
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, nil)
	g.link.BytesPerSecond = 100_000
	before := g.client.LinkPercent()
	g.Stop(t.Context(), PlanStop(time.Now(), 0))
	if diff := cmp.Diff([]linkload.Percent{1, 0}, []linkload.Percent{before, g.client.LinkPercent()}); diff != "" {
		t.Errorf("reported use before and after the order to stop (-want +got):\n%s", diff)
	}
}
