package scenario

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// Servers report request limits while faults hit routers and the load trackers that grant
// permits.

const (
	// limitLearnTime is how long after a server first reported a limit routers must keep to it,
	// and limitGrace how long after a router has forwarded a response with the limit its requests
	// count.
	limitLearnTime = 3 * time.Second
	limitGrace     = 500 * time.Millisecond
	// soakLimitFactor and soakLimitSlack bound the requests per window of such routers to a
	// server.
	soakLimitFactor = 1.5
	soakLimitSlack  = 5
)

// limitFault makes a server, or all servers of its service, report a limit for a while. The limit
// may change meanwhile, and the server may restart, after which it reports none.
func (s *fleetSoak) limitFault(r *rand.Rand) {
	_, server := s.randomServer(r)
	servers := []*standin.Replica{server}
	s.count(s.faults, "a server reports a limit")
	if r.IntN(3) == 0 {
		s.count(s.faults, "all servers of a service report a limit")
		servers = nil
		for _, x := range s.servers() {
			if x.Service == server.Service {
				servers = append(servers, x)
			}
		}
	}
	rate := []float64{0.2, 0.5, 1, 3}[r.IntN(4)]
	duration := limitLearnTime + limitWindow + time.Duration(r.IntN(4000))*time.Millisecond
	changes := r.IntN(3) == 0
	for _, x := range servers {
		x.ReportLimit(rate)
	}
	time.Sleep(duration / 2)
	if changes {
		s.count(s.faults, "a limit changes")
		for _, x := range servers {
			x.ReportLimit(rate * 2)
		}
	}
	time.Sleep(duration / 2)
	for _, x := range servers {
		x.ReportLimit(0)
	}
}

// limitSpan is a period in which a server reports a limit.
type limitSpan struct {
	from, to time.Time
	rate     float64
}

// limitSpans returns the periods in which one incarnation of a server reports a limit, up to now.
func limitSpans(r *standin.Replica, now time.Time) (out []limitSpan) {
	limits, starts := r.Limits(), r.RestartTimes()
	for i, l := range limits {
		if l.Rate == 0 {
			continue
		}
		to := now
		if i+1 < len(limits) {
			to = limits[i+1].Since
		}
		if len(starts) > l.Incarnation && starts[l.Incarnation].Before(to) {
			to = starts[l.Incarnation]
		}
		out = append(out, limitSpan{l.Since, to, l.Rate})
	}
	return out
}

// requestsAgainstLimit returns the arrival times of requests from routers that had forwarded a
// response with the limit of a span.
func (f *fleet) requestsAgainstLimit(r *standin.Replica, p limitSpan, excused func(router string, from, to time.Time) bool) (out []time.Time) {
	callers := f.callersByID()
	learned := make(map[string]time.Time)
	runs := r.Runs()
	for _, x := range runs {
		c := callers[x.ID]
		if c == nil || x.At.Before(p.from) || c.respondedAt.IsZero() || c.status != 200 {
			continue
		}
		if at, ok := learned[c.router]; !ok || c.respondedAt.Before(at) {
			learned[c.router] = c.respondedAt
		}
	}
	for _, x := range runs {
		c := callers[x.ID]
		if c == nil {
			continue
		}
		at, ok := learned[c.router]
		if ok && !x.At.Before(p.from) && !x.At.After(p.to) && x.At.Sub(at) >= limitGrace && !excused(c.router, at, x.At) {
			out = append(out, x.At)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// checkLimits checks that routers together kept to the limits that servers had reported.
func (s *fleetSoak) checkLimits() {
	counted, spans := 0, 0
	for _, r := range s.f.servers() {
		for _, p := range limitSpans(r, time.Now()) {
			spans++
			times := s.f.requestsAgainstLimit(r, p, s.hadFaultBetween)
			counted += len(times)
			allowed := soakLimitFactor*p.rate*limitWindow.Seconds() + soakLimitSlack
			for _, at := range times {
				if at.Before(p.from.Add(limitLearnTime)) {
					continue
				}
				if n := countBetween(times, at, at.Add(limitWindow)); float64(n) > allowed {
					s.recordViolation("%s reported a limit of %v/s and got %d requests within %v, starting %v after it; %.1f are allowed",
						r.ID, p.rate, n, limitWindow, at.Sub(p.from).Round(time.Millisecond), allowed)
					break
				}
			}
		}
	}
	s.t.Logf("servers reported a limit %d times; %d requests counted against them", spans, counted)
}

func TestLimitSpans(t *testing.T) {
	r := &standin.Replica{ID: "a"}
	r.ReportLimit(2)
	r.ReportLimit(4)
	r.ReportLimit(0)
	now := time.Now().Add(time.Second)
	l := r.Limits()
	want := []limitSpan{{l[0].Since, l[1].Since, 2}, {l[1].Since, l[2].Since, 4}}
	if got := limitSpans(r, now); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	r.ReportLimit(3)
	r.RestartSameID()
	got := limitSpans(r, now)
	if last := got[len(got)-1]; last.rate != 3 || !last.to.Before(now) {
		t.Errorf("a limit outlasts the restart of its server: %v", last)
	}
}
