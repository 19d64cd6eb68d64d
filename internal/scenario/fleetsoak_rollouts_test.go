package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sumachead/internal/standin"
)

// Roll-outs in the soak: an operator moves a service to servers of another version, good or bad,
// while everything else happens.

const (
	// soakRollout is the time of an order, and afterRollout how much longer its state is asked for.
	soakRollout  = 5 * time.Second
	afterRollout = settle
)

// rolledOut is one roll-out of the soak.
type rolledOut struct {
	service, version string
	bad              bool
	added            []*standin.Replica
	ordered, ended   time.Time
	state            string
}

// rollOuts orders roll-outs one after the other until a moment.
func (s *fleetSoak) rollOuts(r *rand.Rand, until time.Time) {
	for i := 2; time.Now().Before(until); i++ {
		x := &rolledOut{service: []string{"desk", "pool"}[r.IntN(2)], version: fmt.Sprintf("v%d", i), bad: r.IntN(2) == 0}
		s.note(s.faults, "a roll-out")
		s.rollOut(r, x)
		time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
	}
}

// rollOut orders one roll-out, asks for its end, and ends the servers that are left.
func (s *fleetSoak) rollOut(r *rand.Rand, x *rolledOut) {
	x.ordered = time.Now()
	if err := s.f.rollOut(x.service, x.version, soakRollout, settle); err != nil {
		s.breaks("%v", err)
		return
	}
	faults := standin.ReplicaFaults{}
	if x.bad {
		faults = []standin.ReplicaFaults{{BadOneIn: 2}, {BadOneIn: 1, Slower: 6}, {BadOneIn: 3}}[r.IntN(3)]
	}
	old := s.ofService(x.service)
	for _, o := range old {
		name := strings.Split(strings.TrimPrefix(o.ID, "i-"), "+")[0]
		x.added = append(x.added, s.f.addVersionOf(o, fmt.Sprintf("i-%s+%s-%d", name, x.version, len(x.added)), x.version, faults))
	}
	s.await(x)
	s.mu.Lock()
	s.rolledOut = append(s.rolledOut, x)
	s.mu.Unlock()
	switch x.state {
	case rolloutComplete:
		for _, o := range s.ofService(x.service) {
			if o.Version != x.version {
				o.Stop()
			}
		}
	case rolloutRolledBack:
		for _, n := range x.added {
			s.letGo(n)
		}
	default:
		s.breaks("the roll-out of %s to %s has no end: %q", x.service, x.version, x.state)
	}
}

// await asks for the state until it is final, at random keepers: none may take it back.
func (s *fleetSoak) await(x *rolledOut) {
	controls := s.f.controls()
	until := time.Now().Add(soakRollout + afterRollout)
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
			s.breaks("%s says that the roll-out of %s is %q at %s, after it was %q at %s", c, x.service, state, version, x.state, x.version)
		}
	}
}

// ofService lists the servers of a service that have not left, by their addresses.
func (s *fleetSoak) ofService(service string) (out []*standin.Replica) {
	for _, x := range s.servers() {
		if x.Service == service {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b *standin.Replica) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// checkRollouts checks what bad versions got, and that nothing reached a version after it was
// rolled back.
func (s *fleetSoak) checkRollouts() {
	callers := s.f.byID()
	ends := make(map[string]int)
	for _, x := range s.rolledOut {
		ends[fmt.Sprintf("%s, bad: %t", x.state, x.bad)]++
		all, exposed := 0, 0
		for _, server := range s.f.servers() {
			isNew := slices.Contains(x.added, server)
			for _, run := range server.Runs() {
				within := server.Service == x.service && run.At.After(x.ordered) && run.At.Before(x.ended)
				switch {
				case within && isNew:
					all, exposed = all+1, exposed+1
				case within:
					all++
				case isNew && x.state == rolloutRolledBack && run.At.After(x.ended.Add(drainWithin)) &&
					!s.disturbedBetween(callers[run.ID].router, x.ended, run.At):
					s.breaks("%s ran %s %v after its version was rolled back", server.ID, run.ID, run.At.Sub(x.ended))
				}
			}
		}
		if most := exposureShare*float64(all) + exposureSlack; x.state == rolloutRolledBack && float64(exposed) > most {
			s.breaks("%d of %d requests for %s went to %s, which was rolled back; %v may", exposed, all, x.service, x.version, most)
		}
	}
	s.t.Logf("roll-outs %v", ends)
}
