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

// setClock is a clock that is set by hand.
type setClock struct{ now atomic.Int64 }

func (c *setClock) Now() sumachead.BootTime { return sumachead.BootTime(c.now.Load()) }

func (c *setClock) pass(d time.Duration) { c.now.Add(int64(d)) }

func TestRouterThatHasSleptAsksFirst(t *testing.T) {
	var order []string
	a := &backend{id: "a"}
	serve := func(c net.Conn, r *http.Request) {
		order = append(order, "sent")
		answerWith(200, "Connection: close\r\n", "ok")(c, r) // it serves one request on each
	}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": a.listen(t, serve)})
	clock := &setClock{}
	clock.pass(time.Hour)
	var answer error
	g.wake.Clock = clock
	g.wake.Refresh = func(context.Context) error { order = append(order, "asked"); return answer }
	tests := []struct {
		name   string
		passes time.Duration
		answer error
		want   []string
	}{
		{"it begins", 0, nil, []string{"sent"}},
		{"it runs", asleepFor / 2, nil, []string{"sent"}},
		{"it has slept", 3 * asleepFor, nil, []string{"asked", "sent"}},
		{"it runs again", asleepFor / 2, nil, []string{"sent"}},
		{"it has slept, and reaches nobody", 3 * asleepFor, errors.New("no way"), []string{"asked", "sent"}},
	}
	for _, tt := range tests {
		order, answer = nil, tt.answer
		clock.pass(tt.passes)
		if _, _, err := ask(g, tt.name, nil); err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if len(order) != len(tt.want) || order[0] != tt.want[0] {
			t.Errorf("%s: %v, want %v", tt.name, order, tt.want)
		}
	}
}
