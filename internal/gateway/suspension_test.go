package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// manualClock is a clock that tests advance.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() sumachead.BootTime { return sumachead.BootTime(c.now.Load()) }

func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

func TestSuspendedRouterRefreshesFirst(t *testing.T) {
	var order []string
	a := &backend{id: "a"}
	serve := func(c net.Conn, r *http.Request) {
		order = append(order, "sent")
		respondWith(200, "Connection: close\r\n", "ok")(c, r) // it serves one request per connection
	}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": a.listen(t, serve)})
	clock := &manualClock{}
	clock.advance(time.Hour)
	var refreshErr error
	g.suspension.Clock = clock
	g.suspension.Refresh = func(context.Context) error { order = append(order, "asked"); return refreshErr }
	tests := []struct {
		name       string
		elapsed    time.Duration
		refreshErr error
		want       []string
	}{
		{"started", 0, nil, []string{"sent"}},
		{"running", suspensionThreshold / 2, nil, []string{"sent"}},
		{"suspended", 3 * suspensionThreshold, nil, []string{"asked", "sent"}},
		{"running again", suspensionThreshold / 2, nil, []string{"sent"}},
		{"suspended, no keeper reachable", 3 * suspensionThreshold, errors.New("no keeper reachable"), []string{"asked", "sent"}},
	}
	for _, tt := range tests {
		order, refreshErr = nil, tt.refreshErr
		clock.advance(tt.elapsed)
		if _, _, err := sendRequest(g, tt.name, nil); err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if len(order) != len(tt.want) || order[0] != tt.want[0] {
			t.Errorf("%s: %v, want %v", tt.name, order, tt.want)
		}
	}
}
