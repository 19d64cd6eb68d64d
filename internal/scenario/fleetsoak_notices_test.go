package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sumachead/internal/standin"
)

// Servers that say of themselves in answers what their heartbeats do not say.

const (
	// restsMost is how many requests may reach a server from one router within a rest, beyond
	// those that come within restSettles.
	restsMost = 2
	// longestSoakRest bounds the rests: half of what the system has at the end, without faults.
	longestSoakRest = settle / 2
)

// noticeFault makes a server, or all of its service, ask for rest for a time, or one say in its
// answers that it leaves.
func (s *fleetSoak) noticeFault(r *rand.Rand) {
	name, server := s.anyServer(r)
	lasts := time.Duration(1000+r.IntN(3000)) * time.Millisecond
	rest := longestSoakRest / time.Duration(1+r.IntN(12))
	if r.IntN(4) == 0 {
		rest = 100 * time.Millisecond // over before much comes
	}
	kinds := []struct {
		name string
		do   func()
	}{
		{"a server asks for rest", func() { s.turnAway(rest, lasts, server) }},
		{"all servers of a service ask for rest", func() {
			var all []*standin.Replica
			for _, x := range s.servers() {
				if x.Service == server.Service {
					all = append(all, x)
				}
			}
			s.turnAway(min(rest, time.Second), lasts/2, all...)
		}},
		{"a server says in answers that it leaves", func() {
			s.addLike(r, name, server)
			server.SayLeaving()
			time.Sleep(drainWithin + lasts)
			s.letGo(server)
		}},
	}
	k := kinds[r.IntN(len(kinds))]
	s.note(s.faults, k.name)
	k.do()
}

// turnAway makes servers turn away all that comes to them for a time.
func (s *fleetSoak) turnAway(rest, lasts time.Duration, servers ...*standin.Replica) {
	for _, x := range servers {
		x.TurnAway(rest)
	}
	time.Sleep(lasts)
	for _, x := range servers {
		x.TurnAway(0)
	}
}

// disturbedBetween reports whether a fault dealt with a process between two times: what it
// knew may be lost.
func (s *fleetSoak) disturbedBetween(process string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.disturbed[process], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// checkNotices checks that routers kept to what servers had said in answers.
func (s *fleetSoak) checkNotices() {
	asked := 0
	for _, r := range s.f.servers() {
		asked += len(r.TurnedAway())
		for _, sent := range s.f.sentWithinRests(r, s.disturbedBetween) {
			if len(sent) > restsMost {
				s.breaks("%d requests within a rest: %s", len(sent), strings.Join(sent, "; "))
			}
		}
		for _, x := range s.f.sentAfterLeaving(r, drainWithin, s.disturbedBetween) {
			s.breaks("%s", x)
		}
	}
	s.t.Logf("%d requests were turned away with a rest", asked)
}
