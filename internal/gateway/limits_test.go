package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// limitedGateway returns a gateway that knows two engines and asks a gauge for permits.
func limitedGateway(t *testing.T, a, b *backend, gaugeAddress string) *Gateway {
	t.Helper()
	g := coldGateway(t, a, b)
	g.gauges.Address = func(*wire.ServerRecord) string { return gaugeAddress }
	return g
}

// name makes a gateway see an answer of a server that names a limit.
func name(g *Gateway, id sumachead.ServerID, limit sumachead.RequestRate) {
	g.noteNotice(id, sumachead.ServerNotice{Limit: limit}, 0)
}

func TestLimitedServerGetsItsPermits(t *testing.T) {
	const (
		limit = 20
		lasts = time.Second
	)
	tests := []struct {
		name     string
		gauge    func(t *testing.T) string
		min, max int32
	}{
		{"with a gauge", func(t *testing.T) string { return gaugeSince(t, time.Now().Add(-time.Minute)) }, 18, 26},
		{"the gauge is gone", freeAddress, 1, 10},
		{"no gauge at all", func(*testing.T) string { return "" }, 3, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := &backend{id: "a"}, &backend{id: "b"}
			g := limitedGateway(t, a, b, tt.gauge(t))
			name(g, "a", limit)
			for until := time.Now().Add(lasts); time.Now().Before(until); {
				if _, _, err := ask(g, "1", withPrompt); err != nil {
					t.Fatalf("refused while another server is free: %v", err)
				}
			}
			if n := a.runs.Load(); n < tt.min || n > tt.max {
				t.Errorf("the server received %d requests in %v, want %d to %d", n, lasts, tt.min, tt.max)
			}
		})
	}
}

// A router learns of a limit, and of its end, from the gauge, before it has sent anything there.
func TestLimitsReachOtherRoutersThroughTheGauge(t *testing.T) {
	address := gaugeSince(t, time.Now().Add(-time.Minute))
	a, b := &backend{id: "a"}, &backend{id: "b"}
	first, second := limitedGateway(t, a, b, address), limitedGateway(t, a, b, address)
	expect := func(want sumachead.RequestRate) {
		t.Helper()
		for until := time.Now().Add(2 * time.Second); ; {
			if _, _, err := ask(second, "1", withPrompt); err != nil {
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
	name(first, "a", 0.5)
	expect(0.5)
	end := second.limits.Get("a").At.Add(2 * time.Second)
	first.noteNotice("a", sumachead.ServerNotice{}, end)
	second.limits.Denials.Expire()
	expect(0)
}

// Where no server has a permit left, a request waits if one comes in time, and is refused at once
// otherwise.
func TestRequestsWaitForAPermitOnlyIfItComesInTime(t *testing.T) {
	const objective = 500 * time.Millisecond // the route's
	tests := []struct {
		name   string
		limit  sumachead.RequestRate
		served bool
	}{
		{"in time", 4, true},
		{"too late", 1.5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := &backend{id: "a"}, &backend{id: "b"}
			// The gauge has just started, so that it grants nothing at once.
			g := limitedGateway(t, a, b, gaugeSince(t, time.Now()))
			name(g, "a", tt.limit)
			name(g, "b", tt.limit)
			begun := time.Now()
			_, _, err := ask(g, "1", func(r *sumachead.CallerRequest) {
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
				t.Errorf("to come back after %v, the next permit comes after %v", back, next)
			}
		})
	}
}

// An answer without the header ends a limit only if it is later by more than a moment.
func TestAnswersEndALimit(t *testing.T) {
	var header string
	a := &backend{id: "a"}
	g := newGateway(t, single, false, map[string]string{"a": a.listen(t, func(c net.Conn, r *http.Request) { answerWith(200, header, "ok")(c, r) })})
	g.gauges.Address = func(*wire.ServerRecord) string { return "" }
	say := func(h string, want bool) {
		t.Helper()
		header = h
		if _, _, err := ask(g, "1", nil); err != nil {
			t.Fatal(err)
		}
		if got := g.limits.Get("a").Rate > 0; got != want {
			t.Errorf("after %q: limited is %v", h, got)
		}
	}
	say("", false)
	say("X-Limit: 500\r\n", true)
	say("", true)
	time.Sleep(1100 * time.Millisecond)
	say("", false)
}
