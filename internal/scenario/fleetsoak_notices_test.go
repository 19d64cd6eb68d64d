package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sumachead/internal/standin"
)

// Servers report in responses what their heartbeats do not say.

const (
	// maxInBackoff is how many requests of one router may reach a server within its backoff,
	// beyond those within backoffGrace.
	maxInBackoff = 2
	// maxSoakBackoff bounds backoffs to half of the time that the system has to recover at the
	// end.
	maxSoakBackoff = recoveryTimeout / 2
)

// noticeFault makes a server, or all of its service, request backoff for a while, or makes a
// server announce in its responses that it leaves.
func (s *fleetSoak) noticeFault(r *rand.Rand) {
	name, server := s.randomServer(r)
	duration := time.Duration(1000+r.IntN(3000)) * time.Millisecond
	backoff := maxSoakBackoff / time.Duration(1+r.IntN(12))
	if r.IntN(4) == 0 {
		backoff = 100 * time.Millisecond // ends before much arrives
	}
	kinds := []struct {
		name string
		do   func()
	}{
		{"a server requests backoff", func() { s.rejectRequests(backoff, duration, server) }},
		{"all servers of a service request backoff", func() {
			var all []*standin.Replica
			for _, x := range s.servers() {
				if x.Service == server.Service {
					all = append(all, x)
				}
			}
			s.rejectRequests(min(backoff, time.Second), duration/2, all...)
		}},
		{"a server announces in responses that it leaves", func() {
			s.addReplacement(r, name, server)
			server.AnnounceLeaving()
			time.Sleep(maxDrainDelay + duration)
			s.drain(server)
		}},
	}
	k := kinds[r.IntN(len(kinds))]
	s.count(s.faults, k.name)
	k.do()
}

// rejectRequests makes servers reject all requests for a while.
func (s *fleetSoak) rejectRequests(backoff, duration time.Duration, servers ...*standin.Replica) {
	for _, x := range servers {
		x.RejectRequests(backoff)
	}
	time.Sleep(duration)
	for _, x := range servers {
		x.RejectRequests(0)
	}
}

// hadFaultBetween reports whether a fault hit a process between two times, which may have lost
// what the process knew.
func (s *fleetSoak) hadFaultBetween(process string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.faultTimes[process], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// checkNotices checks that routers kept to what servers had said in responses.
func (s *fleetSoak) checkNotices() {
	rejected := 0
	for _, r := range s.f.servers() {
		rejected += len(r.Rejections())
		for _, sent := range s.f.sentByBackoff(r, s.hadFaultBetween) {
			if len(sent) > maxInBackoff {
				s.recordViolation("%d requests within a backoff: %s", len(sent), strings.Join(sent, "; "))
			}
		}
		for _, x := range s.f.sentAfterLeaving(r, maxDrainDelay, s.hadFaultBetween) {
			s.recordViolation("%s", x)
		}
	}
	s.t.Logf("%d requests were rejected with a backoff", rejected)
}
