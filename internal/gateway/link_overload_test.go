package gateway

import (
	"testing"

	"sumachead/api/wire"
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
			if g.ShouldClose() {
				t.Error("connections close before a load balancer can have noticed")
			}
		})
	}
}
