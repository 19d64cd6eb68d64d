package scenario

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// Servers that name request limits while faults deal with routers and what grants permits.

const (
	// limitContact is how long after a server first named a limit it must be kept, and
	// limitTold how long after a router has passed on such an answer its requests count.
	limitContact = 3 * time.Second
	limitTold    = 500 * time.Millisecond
	// ruleFactor and ruleSlack bound what a server receives in a window from such routers.
	ruleFactor = 1.5
	ruleSlack  = 5
)

// limitFault makes a server, or all servers of its service, name a limit for a time; it may change
// meanwhile, and the server may start again, after which it names none.
func (s *fleetSoak) limitFault(r *rand.Rand) {
	_, server := s.anyServer(r)
	servers := []*standin.Replica{server}
	s.note(s.faults, "a server names a limit")
	if r.IntN(3) == 0 {
		s.note(s.faults, "all servers of a service name a limit")
		servers = nil
		for _, x := range s.servers() {
			if x.Service == server.Service {
				servers = append(servers, x)
			}
		}
	}
	rate := []float64{0.2, 0.5, 1, 3}[r.IntN(4)]
	lasts := limitContact + limitWindow + time.Duration(r.IntN(4000))*time.Millisecond
	changes := r.IntN(3) == 0
	for _, x := range servers {
		x.NameLimit(rate)
	}
	time.Sleep(lasts / 2)
	if changes {
		s.note(s.faults, "a limit changes")
		for _, x := range servers {
			x.NameLimit(rate * 2)
		}
	}
	time.Sleep(lasts / 2)
	for _, x := range servers {
		x.NameLimit(0)
	}
}

// limitSpan is a time in which a server names a limit.
type limitSpan struct {
	from, to time.Time
	rate     float64
}

// limitSpans returns the times in which one incarnation of a server names a limit, up to now.
func limitSpans(r *standin.Replica, now time.Time) (out []limitSpan) {
	limits, starts := r.Limits(), r.Starts()
	for i, l := range limits {
		if l.Rate == 0 {
			continue
		}
		to := now
		if i+1 < len(limits) {
			to = limits[i+1].Since
		}
		if len(starts) > l.Life && starts[l.Life].Before(to) {
			to = starts[l.Life]
		}
		out = append(out, limitSpan{l.Since, to, l.Rate})
	}
	return out
}

// countedAgainstLimit returns when requests reached a server from routers that had passed on an
// answer naming the limit of a span.
func (f *fleet) countedAgainstLimit(r *standin.Replica, p limitSpan, excused func(router string, from, to time.Time) bool) (out []time.Time) {
	callers := f.byID()
	told := make(map[string]time.Time)
	runs := r.Runs()
	for _, x := range runs {
		c := callers[x.ID]
		if c == nil || x.At.Before(p.from) || c.answered.IsZero() || c.status != 200 {
			continue
		}
		if at, ok := told[c.router]; !ok || c.answered.Before(at) {
			told[c.router] = c.answered
		}
	}
	for _, x := range runs {
		c := callers[x.ID]
		if c == nil {
			continue
		}
		at, ok := told[c.router]
		if ok && !x.At.Before(p.from) && !x.At.After(p.to) && x.At.Sub(at) >= limitTold && !excused(c.router, at, x.At) {
			out = append(out, x.At)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// checkLimits checks that routers together kept to the limits that servers had named.
func (s *fleetSoak) checkLimits() {
	counted, spans := 0, 0
	for _, r := range s.f.servers() {
		for _, p := range limitSpans(r, time.Now()) {
			spans++
			times := s.f.countedAgainstLimit(r, p, s.disturbedBetween)
			counted += len(times)
			allowed := ruleFactor*p.rate*limitWindow.Seconds() + ruleSlack
			for _, at := range times {
				if at.Before(p.from.Add(limitContact)) {
					continue
				}
				if n := countBetween(times, at, at.Add(limitWindow)); float64(n) > allowed {
					s.breaks("%s named a limit of %v a second and got %d requests in the %v from %v after it, %.1f are allowed",
						r.ID, p.rate, n, limitWindow, at.Sub(p.from).Round(time.Millisecond), allowed)
					break
				}
			}
		}
	}
	s.t.Logf("%d times servers named a limit; %d requests counted against them", spans, counted)
}

func TestLimitSpans(t *testing.T) {
	r := &standin.Replica{ID: "a"}
	r.NameLimit(2)
	r.NameLimit(4)
	r.NameLimit(0)
	now := time.Now().Add(time.Second)
	l := r.Limits()
	want := []limitSpan{{l[0].Since, l[1].Since, 2}, {l[1].Since, l[2].Since, 4}}
	if got := limitSpans(r, now); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	r.NameLimit(3)
	r.StartUnderID()
	got := limitSpans(r, now)
	if last := got[len(got)-1]; last.rate != 3 || !last.to.Before(now) {
		t.Errorf("a limit outlasts the start of its server: %v", last)
	}
}
