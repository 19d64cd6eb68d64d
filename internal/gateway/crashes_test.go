package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// counterValue returns the sum of a counter of a gateway.
func counterValue(t *testing.T, g *Gateway, name string) float64 {
	t.Helper()
	families, err := g.metrics.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() == name {
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// crashingBackend is a server whose process crashes when it begins to run a request.
func crashingBackend(t *testing.T, id string) (b *backend, address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	b = &backend{id: id}
	var mu sync.Mutex
	var open []net.Conn
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go func() {
				if b.read(c) == nil {
					return
				}
				_ = lis.Close()
				mu.Lock()
				defer mu.Unlock()
				for _, x := range open {
					_ = x.Close()
				}
			}()
		}
	}()
	return b, lis.Addr().String()
}

func TestServerCrashesAreCounted(t *testing.T) {
	for _, tt := range []struct {
		name    string
		crashes bool
		leaving bool
		want    float64
	}{
		{"a server that has crashed", true, false, 1},
		{"a connection that was lost", false, false, 0},
		{"a server that was leaving", true, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var address string
			var g *Gateway
			serve := func(net.Conn, *http.Request) {
				if tt.leaving {
					g.servers.MarkLeaving("a", time.Now())
				}
			}
			if tt.crashes {
				b, at := crashingBackend(t, "a")
				b.onRequest, address = func() { serve(nil, nil) }, at
			} else {
				address = (&backend{id: "a"}).listen(t, serve)
			}
			g = newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": address})
			_, _, err := sendRequest(g, "1", nil)
			if f := refusalOf(t, err); f.Verdict != sumachead.MayHaveRun {
				t.Fatalf("got %v", f)
			}
			count := func() float64 { return counterValue(t, g, "sumachead_gateway_under_ends_total") }
			for deadline := time.Now().Add(2 * time.Second); count() < tt.want && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if tt.want == 0 {
				time.Sleep(2 * crashProbeTimeout)
			}
			if diff := cmp.Diff(fmt.Sprint(tt.want), fmt.Sprint(count())); diff != "" {
				t.Errorf("requests during crashes (-want +got):\n%s", diff)
			}
		})
	}
}
