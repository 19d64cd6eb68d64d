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
	"sumachead/internal/loadtracker"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

// withPrompt gives a request a prompt, so that the choice of the engine matters.
func withPrompt(r *sumachead.CallerRequest) { r.PromptTokens, r.MaxOutputTokens = 9000, 100 }

// respondAndWait responds, and closes the connection once the router has.
func respondAndWait(c net.Conn, r *http.Request) {
	respondWith(200, "Connection: close\r\n", "ok")(c, r)
	_, _ = c.Read(make([]byte, 1))
}

// A load tracker that accepts connections without responding, or is gone, delays a request only
// briefly, and the following ones not at all.
func TestUnresponsiveLoadTrackerDelaysRequestsBriefly(t *testing.T) {
	tests := []struct {
		name   string
		silent bool
	}{
		{"silent", true},
		{"gone", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := lis.Addr().String()
			defer func() { _ = lis.Close() }()
			if !tt.silent {
				_ = lis.Close() // refuses connections from now on
			}
			a := &backend{id: "a"}
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": a.listen(t, respondAndWait)})
			g.trackers.Address = func(*wire.ServerRecord) string { return address }
			for i, maxTime := range []time.Duration{maxQueryWait + 200*time.Millisecond, maxQueryWait + 200*time.Millisecond} {
				begun := time.Now()
				if _, _, err := sendRequest(g, "1", withPrompt); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(begun); took > maxTime {
					t.Errorf("request %d took %v", i, took)
				}
			}
			time.Sleep(queryTimeout + 50*time.Millisecond)
			if !g.trackers.backedOff(address) {
				t.Error("a load tracker that has not responded is queried again at once")
			}
		})
	}
}

// The engine with less prefill according to its load tracker is chosen, and the load tracker is
// told of the request.
func TestLoadTrackersDecidePlacement(t *testing.T) {
	var noted atomic.Int32
	trackerAt := func(prefillMillis int64) string {
		s := &rpc.Server{Address: "127.0.0.1:0"}
		lis, err := net.Listen("tcp", s.Address)
		if err != nil {
			t.Fatal(err)
		}
		s.Address = lis.Addr().String()
		_ = lis.Close() // only its port is needed
		if err := errors.Join(s.Register(loadtracker.Name, &fixedTracker{prefillMillis: prefillMillis, noted: &noted}), s.Listen()); err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Run() }() // ends with Close
		t.Cleanup(s.Close)
		return s.Address
	}
	busy, idle := &backend{id: "busy"}, &backend{id: "idle"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{
		"busy": busy.listen(t, respondAndWait), "idle": idle.listen(t, respondAndWait),
	})
	addresses := map[string]string{"busy": trackerAt(5000), "idle": trackerAt(0)}
	g.trackers.Address = func(r *wire.ServerRecord) string { return addresses[r.GetId()] }
	const requests, maxBusy = 30, 6
	for range requests {
		if _, _, err := sendRequest(g, "1", withPrompt); err != nil {
			t.Fatal(err)
		}
	}
	// Without load trackers all requests would go there. Late responses are not waited for, such as
	// those to the first request, which has no connections yet.
	if n := busy.runs.Load(); n > maxBusy {
		t.Errorf("%d of %d requests at the busy engine, %d at the idle one", n, requests, idle.runs.Load())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if !loop.Until(ctx, time.Millisecond, func() bool { return noted.Load() > 0 }) {
		t.Error("no load tracker was told of a request")
	}
}

// fixedTracker always reports the same prefill time.
type fixedTracker struct {
	prefillMillis int64
	noted         *atomic.Int32
}

// Ask responds to a router.
func (f *fixedTracker) Ask(_ *wire.GaugeQuestion, a *wire.GaugeAnswer) error {
	a.Load, a.FactorThousandths = &wire.ServerLoad{ReadMillis: f.prefillMillis}, 1000
	return nil
}

func (f *fixedTracker) Note(*wire.GaugeNotes, *wire.Empty) error {
	f.noted.Add(1)
	return nil
}
