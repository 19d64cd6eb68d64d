package registry

import (
	"time"

	"sumachead/api/wire"
)

// heardOfAll is how many heartbeats a leader that is new has heard of all servers after.
// After a loss of power of everything the servers of a vacated hall were known before the
// others, and requests were refused for good that others could serve (141 on one such day
// with 200 requests a second).
const heardOfAll = 3

// hallView is what a follower knows of a data hall for which there was an order.
type hallView struct {
	// vacated: the hall's servers get nothing new.
	vacated bool
	// openedAt is when the hall was opened again; zero for one that never was.
	openedAt time.Time
}

// TakeHalls puts the states of data halls in force at a follower, and returns those that
// have changed. States with a lower revision than the newest are passed over: what is
// known never goes back within a life of this process.
func (t *Table) TakeHalls(s *wire.HallStates, now time.Time) (changed []*wire.HallState) {
	t.lock()
	defer t.mu.Unlock()
	if s.GetRevision() <= t.hallsRevision {
		return nil
	}
	t.hallsRevision = s.GetRevision()
	if t.halls == nil {
		t.halls = make(map[string]hallView)
	}
	for _, x := range s.GetHalls() {
		old := t.halls[x.GetHall()]
		next := hallView{vacated: x.GetVacated(), openedAt: old.openedAt}
		if !next.vacated && (old.vacated || old.openedAt.IsZero()) {
			next.openedAt = now.Add(-time.Duration(x.GetAgeMillis()) * time.Millisecond)
		}
		t.halls[x.GetHall()] = next
		if old.vacated != next.vacated {
			changed = append(changed, x)
		}
	}
	t.lists = nil
	t.notify()
	return changed
}

// HallsRevision returns the revision of the newest states of data halls that were taken.
func (t *Table) HallsRevision() uint64 {
	t.lock()
	defer t.mu.Unlock()
	return t.hallsRevision
}

// Vacated counts the data halls that are vacated.
func (t *Table) Vacated() int {
	t.lock()
	defer t.mu.Unlock()
	n := 0
	for _, h := range t.halls {
		if h.vacated {
			n++
		}
	}
	return n
}

// OnlyVacated reports whether a service has servers in some halls, nil for all, and all of
// them are in vacated halls. While the leader may not have heard of all servers yet, since
// it is new to this follower, that is not known.
func (t *Table) OnlyVacated(service string, halls []string, now time.Time) bool {
	t.lock()
	defer t.mu.Unlock()
	if now.Sub(t.wholeAt) < heardOfAll*t.Heartbeat {
		return false
	}
	found := false
	for _, e := range t.entries {
		if !e.of(service, halls) {
			continue
		}
		if !t.halls[e.record.GetHall()].vacated {
			return false
		}
		found = true
	}
	return found
}
