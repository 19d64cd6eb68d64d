package scenario

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sumachead/internal/standin"
)

const (
	// limitSettles is how long after a server has named a limit all routers keep to it.
	limitSettles = time.Second
	// limitWindow is the time in which requests are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound what a server receives in a window: so many times its
	// limit, and so many requests more.
	limitFactor = 1.1
	limitSlack  = 2
	// minLimitUse is the part of a limit that is used while requests wait for it.
	minLimitUse = 0.9
)

// arrivals returns when requests reached a server, in order.
func arrivals(r *standin.Replica) []time.Time {
	var out []time.Time
	for _, x := range r.Runs() {
		out = append(out, x.At)
	}
	for _, x := range r.TurnedAway() {
		out = append(out, x.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// countBetween counts the times from one on until before another.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, x := range times {
		if !x.Before(from) && x.Before(to) {
			n++
		}
	}
	return n
}

// mostInWindow returns the most requests that reached a server in a window between two times,
// and when the window began.
func mostInWindow(r *standin.Replica, from, to time.Time) (most int, at time.Time) {
	times := arrivals(r)
	for _, x := range times {
		if x.Before(from) || x.After(to) {
			continue
		}
		end := x.Add(limitWindow)
		if end.After(to) {
			end = to
		}
		if n := countBetween(times, x, end); n > most {
			most, at = n, x
		}
	}
	return most, at
}

// checkLimit reports windows between two times in which a server received more than its limit
// allows.
func checkLimit(t *testing.T, r *standin.Replica, rate float64, from, to time.Time) {
	t.Helper()
	most, at := mostInWindow(r, from, to)
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	t.Logf("%s, limited to %v a second: %d requests in %v, %.1f allowed", r.ID, rate, most, limitWindow, allowed)
	if float64(most) > allowed {
		t.Errorf("%s named a limit of %v requests a second and received %d in %v from %v on; %.1f are allowed",
			r.ID, rate, most, limitWindow, at.Sub(from), allowed)
	}
}

// Each router alone may be far below the limit while their sum exceeds it.
func TestRoutersTogetherKeepToAServersRequestLimit(t *testing.T) {
	engines := []string{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6"}
	tests := []struct {
		name, kind string
		routers    int
		rate       float64
		servers    []string
		// all: no other server could take the requests.
		all bool
	}{
		{"an engine, less than one a second for each router", "stream", 4, 1, engines[1:2], false},
		{"an engine, many a second", "stream", 2, 10, engines[1:2], false},
		{"engines of two halls", "stream", 2, 3, engines[:2], false},
		{"all engines", "stream", 2, 4, engines, true},
		{"a plain server, requests that may be repeated", "check", 2, 3, []string{"desk-1"}, false},
		{"a plain server, requests that may not", "hold", 4, 1, []string{"desk-1"}, false},
		{"all plain servers", "check", 2, 5, []string{"desk-1", "desk-2", "desk-3"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: tt.routers, relays: 6, engines: 6, desks: 3, prepaid: 100_000_000})
			f.allKnown(t)
			servers := f.limit(tt.rate, tt.servers...)
			begun := time.Now().Add(limitSettles)
			end := begun.Add(2 * limitWindow)
			callers := f.press(tt.kind, end)
			for _, r := range servers {
				checkLimit(t, r, tt.rate, begun, end)
				if n := countBetween(arrivals(r), begun, end); tt.all && float64(n) < minLimitUse*tt.rate*end.Sub(begun).Seconds() {
					t.Errorf("%s received %d requests in %v while requests waited", r.ID, n, end.Sub(begun))
				}
			}
			for _, x := range unserved(callers, tt.all) {
				t.Error(x)
			}
			if tt.all {
				f.checkLimitsEnd(t, tt.kind, tt.rate, servers)
			}
			if broken := f.promises(f.shape.prepaid); len(broken) > 0 {
				t.Errorf("broken:\n%s", strings.Join(broken, "\n"))
			}
		})
	}
}

// checkLimitsEnd ends the limits of all servers of a service and checks that they are used again.
func (f *fleet) checkLimitsEnd(t *testing.T, kind string, rate float64, servers []*standin.Replica) {
	t.Helper()
	for _, r := range servers {
		r.NameLimit(0)
	}
	f.press(kind, time.Now().Add(limitWindow))
	n := 0
	for _, r := range servers {
		n += countBetween(arrivals(r), time.Now().Add(-limitWindow/2), time.Now())
	}
	if limited := float64(len(servers)) * rate * limitWindow.Seconds() / 2; float64(n) < 2*limited {
		t.Errorf("the servers received %d requests in %v after their limits had ended; %.0f were allowed before", n, limitWindow/2, limited)
	}
}

// limit makes servers name a limit, and returns them.
func (f *fleet) limit(rate float64, names ...string) (servers []*standin.Replica) {
	for _, n := range names {
		f.server[n].NameLimit(rate)
		servers = append(servers, f.server[n])
	}
	return servers
}

// unserved describes requests without a whole answer: where all servers are limited, only those
// that were held for long or whose callers were not told when to come back.
func unserved(callers []*caller, limited bool) (out []string) {
	for _, c := range callers {
		atOnce := c.ended.Sub(c.sent) < time.Second && c.told && strings.Contains(c.refusal, "not_run")
		if !c.whole && (!limited || !atOnce) {
			out = append(out, fmt.Sprintf("%s after %v: %s", c, c.ended.Sub(c.sent).Round(time.Millisecond), c.refusal))
		}
	}
	if len(out) > 1 {
		out = []string{fmt.Sprintf("%d of %d requests, the first: %s", len(out), len(callers), out[0])}
	}
	return out
}
