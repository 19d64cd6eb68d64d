package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// limitedGateway returns a gateway that knows two engines and asks a load tracker for permits.
func limitedGateway(t *testing.T, a, b *backend, trackerAddress string) *Gateway {
	t.Helper()
	g := coldGateway(t, a, b)
	g.trackers.Address = func(*wire.ServerRecord) string { return trackerAddress }
	return g
}

// announceLimit makes a gateway see a response in which a server names a limit.
func announceLimit(g *Gateway, id sumachead.ServerID, limit sumachead.RequestRate) {
	g.handleNotice(id, sumachead.ServerNotice{Limit: limit}, 0)
}

func TestLimitedServerGetsItsPermits(t *testing.T) {
	const (
		limit    = 20
		duration = time.Second
	)
	tests := []struct {
		name     string
		tracker  func(t *testing.T) string
		min, max int32
	}{
		{"with a load tracker", func(t *testing.T) string { return startTracker(t, time.Now().Add(-time.Minute)) }, 18, 26},
		{"the load tracker is gone", unusedAddress, 1, 10},
		{"no load tracker at all", func(*testing.T) string { return "" }, 3, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := &backend{id: "a"}, &backend{id: "b"}
			g := limitedGateway(t, a, b, tt.tracker(t))
			announceLimit(g, "a", limit)
			for until := time.Now().Add(duration); time.Now().Before(until); {
				if _, _, err := sendRequest(g, "1", withPrompt); err != nil {
					t.Fatalf("refused while another server is free: %v", err)
				}
			}
			if n := a.runs.Load(); n < tt.min || n > tt.max {
				t.Errorf("the server received %d requests in %v, want %d to %d", n, duration, tt.min, tt.max)
			}
		})
	}
}

// A router learns of a limit and of its end from the load tracker, before it has sent anything to
// the server.
func TestLimitsReachOtherRoutersThroughTheLoadTracker(t *testing.T) {
	address := startTracker(t, time.Now().Add(-time.Minute))
	a, b := &backend{id: "a"}, &backend{id: "b"}
	first, second := limitedGateway(t, a, b, address), limitedGateway(t, a, b, address)
	expect := func(want sumachead.RequestRate) {
		t.Helper()
		for until := time.Now().Add(2 * time.Second); ; {
			if _, _, err := sendRequest(second, "1", withPrompt); err != nil {
				t.Fatal(err)
			}
			if second.limits.Get("a").Rate == want {
				return
			}
			if time.Now().After(until) {
				t.Fatalf("limited to %v, want %v", second.limits.Get("a").Rate, want)
			}
		}
	}
	announceLimit(first, "a", 0.5)
	expect(0.5)
	end := second.limits.Get("a").At.Add(2 * time.Second)
	first.handleNotice("a", sumachead.ServerNotice{}, end)
	second.limits.Denials.Expire()
	expect(0)
}

// If no server has a permit left, a request waits if one comes in time, and is refused at once
// otherwise.
func TestRequestsWaitForAPermitOnlyIfItComesInTime(t *testing.T) {
	const objective = 500 * time.Millisecond // the route's
	tests := []struct {
		name   string
		limit  sumachead.RequestRate
		served bool
	}{
		{"permit in time", 4, true},
		{"permit too late", 1.5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := &backend{id: "a"}, &backend{id: "b"}
			// The load tracker has just started, so it grants nothing at first.
			g := limitedGateway(t, a, b, startTracker(t, time.Now()))
			announceLimit(g, "a", tt.limit)
			announceLimit(g, "b", tt.limit)
			begun := time.Now()
			_, _, err := sendRequest(g, "1", func(r *sumachead.CallerRequest) {
				withPrompt(r)
				r.Deadline = begun.Add(10 * time.Second)
			})
			took := time.Since(begun)
			if tt.served {
				if err != nil || took > objective {
					t.Errorf("after %v: %v", took, err)
				}
				return
			}
			f := refusalOf(t, err)
			if f.Reason != sumachead.ReasonLimited || f.Verdict != sumachead.NotRun || took > objective/4 {
				t.Errorf("after %v: %v", took, f)
			}
			next := time.Duration(float64(time.Second) / float64(tt.limit))
			if back := f.RetryAt.Sub(begun); back < next-objective || back > 2*next {
				t.Errorf("told to retry after %v, the next permit is available after %v", back, next)
			}
		})
	}
}

// A response without the header ends a limit only if it arrives clearly later.
func TestResponsesRemoveALimit(t *testing.T) {
	var header string
	a := &backend{id: "a"}
	g := newGateway(t, single, false, map[string]string{"a": a.listen(t, func(c net.Conn, r *http.Request) { respondWith(200, header, "ok")(c, r) })})
	g.trackers.Address = func(*wire.ServerRecord) string { return "" }
	respond := func(h string, want bool) {
		t.Helper()
		header = h
		if _, _, err := sendRequest(g, "1", nil); err != nil {
			t.Fatal(err)
		}
		if got := g.limits.Get("a").Rate > 0; got != want {
			t.Errorf("after %q: limited is %v", h, got)
		}
	}
	respond("", false)
	respond("X-Limit: 500\r\n", true)
	respond("", true)
	time.Sleep(1100 * time.Millisecond)
	respond("", false)
}
