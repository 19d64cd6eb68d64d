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
	// limitSettleTime is how long after a server has reported a limit all routers keep to it.
	limitSettleTime = time.Second
	// limitWindow is the time over which requests are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the requests to a server per window: limitFactor times its
	// limit, plus limitSlack.
	limitFactor = 1.1
	limitSlack  = 2
	// minLimitUse is the share of a limit that must be used while requests wait for it.
	minLimitUse = 0.9
)

// arrivals returns the sorted arrival times of requests at a server.
func arrivals(r *standin.Replica) []time.Time {
	var out []time.Time
	for _, x := range r.Runs() {
		out = append(out, x.At)
	}
	for _, x := range r.Rejections() {
		out = append(out, x.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// countBetween counts the times in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, x := range times {
		if !x.Before(from) && x.Before(to) {
			n++
		}
	}
	return n
}

// maxInWindow returns the maximum number of requests that reached a server in any window between
// two times, and the start of that window.
func maxInWindow(r *standin.Replica, from, to time.Time) (count int, at time.Time) {
	times := arrivals(r)
	for _, x := range times {
		if x.Before(from) || x.After(to) {
			continue
		}
		end := x.Add(limitWindow)
		if end.After(to) {
			end = to
		}
		if n := countBetween(times, x, end); n > count {
			count, at = n, x
		}
	}
	return count, at
}

// checkLimit fails the test if a server received more requests than its limit allows in any
// window between two times.
func checkLimit(t *testing.T, r *standin.Replica, rate float64, from, to time.Time) {
	t.Helper()
	count, at := maxInWindow(r, from, to)
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	t.Logf("%s, limited to %v/s: %d requests in %v, %.1f allowed", r.ID, rate, count, limitWindow, allowed)
	if float64(count) > allowed {
		t.Errorf("%s reported a limit of %v requests/s and received %d in %v from %v on; %.1f are allowed",
			r.ID, rate, count, limitWindow, at.Sub(from), allowed)
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
		{"an engine, less than one per second and router", "stream", 4, 1, engines[1:2], false},
		{"an engine, many per second", "stream", 2, 10, engines[1:2], false},
		{"engines of two halls", "stream", 2, 3, engines[:2], false},
		{"all engines", "stream", 2, 4, engines, true},
		{"a plain server, idempotent requests", "check", 2, 3, []string{"desk-1"}, false},
		{"a plain server, non-idempotent requests", "hold", 4, 1, []string{"desk-1"}, false},
		{"all plain servers", "check", 2, 5, []string{"desk-1", "desk-2", "desk-3"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: tt.routers, relays: 6, engines: 6, desks: 3, prepaid: 100_000_000})
			f.awaitServersKnown(t)
			servers := f.setLimit(tt.rate, tt.servers...)
			start := time.Now().Add(limitSettleTime)
			end := start.Add(2 * limitWindow)
			callers := f.sendLoad(tt.kind, end)
			for _, r := range servers {
				checkLimit(t, r, tt.rate, start, end)
				if n := countBetween(arrivals(r), start, end); tt.all && float64(n) < minLimitUse*tt.rate*end.Sub(start).Seconds() {
					t.Errorf("%s received %d requests in %v while requests waited", r.ID, n, end.Sub(start))
				}
			}
			for _, x := range unserved(callers, tt.all) {
				t.Error(x)
			}
			if tt.all {
				f.checkLimitsEnd(t, tt.kind, tt.rate, servers)
			}
			if violations := f.violations(f.shape.prepaid); len(violations) > 0 {
				t.Errorf("broken:\n%s", strings.Join(violations, "\n"))
			}
		})
	}
}

// checkLimitsEnd ends the limits of all servers of a service and checks that they are used fully
// again.
func (f *fleet) checkLimitsEnd(t *testing.T, kind string, rate float64, servers []*standin.Replica) {
	t.Helper()
	for _, r := range servers {
		r.ReportLimit(0)
	}
	f.sendLoad(kind, time.Now().Add(limitWindow))
	n := 0
	for _, r := range servers {
		n += countBetween(arrivals(r), time.Now().Add(-limitWindow/2), time.Now())
	}
	if limited := float64(len(servers)) * rate * limitWindow.Seconds() / 2; float64(n) < 2*limited {
		t.Errorf("the servers received %d requests in %v after their limits had ended; %.0f were allowed before", n, limitWindow/2, limited)
	}
}

// setLimit makes servers report a limit, and returns them.
func (f *fleet) setLimit(rate float64, names ...string) (servers []*standin.Replica) {
	for _, n := range names {
		f.replicas[n].ReportLimit(rate)
		servers = append(servers, f.replicas[n])
	}
	return servers
}

// unserved describes requests without a complete response. Where all servers are limited, prompt
// refusals with a Retry-After are expected and left out.
func unserved(callers []*caller, limited bool) (out []string) {
	for _, c := range callers {
		refusedPromptly := c.endedAt.Sub(c.sentAt) < time.Second && c.hasRetryAfter && strings.Contains(c.refusal, "not_run")
		if !c.complete && (!limited || !refusedPromptly) {
			out = append(out, fmt.Sprintf("%s after %v: %s", c, c.endedAt.Sub(c.sentAt).Round(time.Millisecond), c.refusal))
		}
	}
	if len(out) > 1 {
		out = []string{fmt.Sprintf("%d of %d requests, the first: %s", len(out), len(callers), out[0])}
	}
	return out
}
