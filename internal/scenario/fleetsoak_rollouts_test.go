package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sumachead/internal/standin"
)

// Rollouts in the soak test: an operator moves a service to servers of another version, good or
// bad, among all other faults.

const (
	// soakRolloutDuration is the duration of an order, and rolloutStateTimeout how much longer
	// its state is polled.
	soakRolloutDuration = 5 * time.Second
	rolloutStateTimeout = recoveryTimeout
)

// finishedRollout is one rollout of the soak test.
type finishedRollout struct {
	service, version string
	bad              bool
	added            []*standin.Replica
	ordered, ended   time.Time
	state            string
}

// runRollouts orders one rollout after the other until the given time.
func (s *fleetSoak) runRollouts(r *rand.Rand, until time.Time) {
	for i := 2; time.Now().Before(until); i++ {
		x := &finishedRollout{service: []string{"desk", "pool"}[r.IntN(2)], version: fmt.Sprintf("v%d", i), bad: r.IntN(2) == 0}
		s.count(s.faults, "rollout")
		s.runRollout(r, x)
		time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
	}
}

// runRollout orders one rollout, waits for its end and stops the servers of the version that
// lost.
func (s *fleetSoak) runRollout(r *rand.Rand, x *finishedRollout) {
	x.ordered = time.Now()
	if err := s.f.orderRollout(x.service, x.version, soakRolloutDuration, recoveryTimeout); err != nil {
		s.recordViolation("%v", err)
		return
	}
	faults := standin.ReplicaFaults{}
	if x.bad {
		faults = []standin.ReplicaFaults{{BadOneIn: 2}, {BadOneIn: 1, Slower: 6}, {BadOneIn: 3}}[r.IntN(3)]
	}
	old := s.serversOf(x.service)
	for _, o := range old {
		name := strings.Split(strings.TrimPrefix(o.ID, "i-"), "+")[0]
		x.added = append(x.added, s.f.addVersionOf(o, fmt.Sprintf("i-%s+%s-%d", name, x.version, len(x.added)), x.version, faults))
	}
	s.await(x)
	s.mu.Lock()
	s.rollouts = append(s.rollouts, x)
	s.mu.Unlock()
	switch x.state {
	case rolloutComplete:
		for _, o := range s.serversOf(x.service) {
			if o.Version != x.version {
				o.Stop()
			}
		}
	case rolloutRolledBack:
		for _, n := range x.added {
			s.drain(n)
		}
	default:
		s.recordViolation("the rollout of %s to %s did not end: %q", x.service, x.version, x.state)
	}
}

// await polls the keepers in turn until the state is final. Afterwards no keeper may report
// another state.
func (s *fleetSoak) await(x *finishedRollout) {
	controls := s.f.controlAddresses()
	until := time.Now().Add(soakRolloutDuration + rolloutStateTimeout)
	for i := 0; time.Now().Before(until); i++ {
		state, version := s.f.rolloutAt(controls[i%len(controls)], x.service)
		if version == x.version {
			x.state, x.ended = state, time.Now()
		}
		if x.state == rolloutComplete || x.state == rolloutRolledBack {
			break
		}
		time.Sleep(30 * time.Millisecond)
	}
	for _, c := range controls {
		if state, version := s.f.rolloutAt(c, x.service); state != "" && (state != x.state || version != x.version) {
			s.recordViolation("%s reports the rollout of %s as %q at %s after it was %q at %s", c, x.service, state, version, x.state, x.version)
		}
	}
}

// serversOf lists the servers of a service that have not left, sorted by id.
func (s *fleetSoak) serversOf(service string) (out []*standin.Replica) {
	for _, x := range s.servers() {
		if x.Service == service {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b *standin.Replica) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// checkRollouts checks the exposure to bad versions and that nothing reached a version after it
// was rolled back.
func (s *fleetSoak) checkRollouts() {
	callers := s.f.callersByID()
	outcomes := make(map[string]int)
	for _, x := range s.rollouts {
		outcomes[fmt.Sprintf("%s, bad: %t", x.state, x.bad)]++
		all, exposed := 0, 0
		for _, server := range s.f.servers() {
			isNew := slices.Contains(x.added, server)
			for _, run := range server.Runs() {
				inProgress := server.Service == x.service && run.At.After(x.ordered) && run.At.Before(x.ended)
				switch {
				case inProgress && isNew:
					all, exposed = all+1, exposed+1
				case inProgress:
					all++
				case isNew && x.state == rolloutRolledBack && run.At.After(x.ended.Add(maxDrainDelay)) &&
					!s.hadFaultBetween(callers[run.ID].router, x.ended, run.At):
					s.recordViolation("%s ran %s %v after its version was rolled back", server.ID, run.ID, run.At.Sub(x.ended))
				}
			}
		}
		if allowed := exposureShare*float64(all) + exposureSlack; x.state == rolloutRolledBack && float64(exposed) > allowed {
			s.recordViolation("%d of %d requests for %s went to %s, which was rolled back; at most %v may", exposed, all, x.service, x.version, allowed)
		}
	}
	s.t.Logf("rollouts %v", outcomes)
}
