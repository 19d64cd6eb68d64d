package registry

import (
	"time"

	"sumachead/api/wire"
)

// discoveryHeartbeats is the number of heartbeat intervals after which a new leader has heard
// from all servers. After a power failure of everything, the servers of a vacated hall were
// known before the others, and requests that other servers could serve were refused
// permanently: 141 at 200 requests a second.
const discoveryHeartbeats = 3

// hallStatus is what a follower knows of a data hall for which an order was given.
type hallStatus struct {
	// vacated is set if the hall's servers get no new requests.
	vacated bool
	// openedAt is when the hall was reopened; zero if it never was.
	openedAt time.Time
}

// ApplyHalls applies the states of data halls at a follower and returns those that have
// changed. States with a revision that is not above the newest are ignored, so that known state
// never goes back within an incarnation of this process.
func (t *Table) ApplyHalls(s *wire.HallStates, now time.Time) (changed []*wire.HallState) {
	t.lock()
	defer t.mu.Unlock()
	if s.GetRevision() <= t.hallsRevision {
		return nil
	}
	t.hallsRevision = s.GetRevision()
	if t.halls == nil {
		t.halls = make(map[string]hallStatus)
	}
	for _, x := range s.GetHalls() {
		old := t.halls[x.GetHall()]
		next := hallStatus{vacated: x.GetVacated(), openedAt: old.openedAt}
		if !next.vacated && (old.vacated || old.openedAt.IsZero()) {
			next.openedAt = now.Add(-time.Duration(x.GetAgeMillis()) * time.Millisecond)
		}
		t.halls[x.GetHall()] = next
		if old.vacated != next.vacated {
			changed = append(changed, x)
		}
	}
	t.listCache = nil
	t.notify()
	return changed
}

// HallsRevision returns the revision of the newest states of data halls that were applied.
func (t *Table) HallsRevision() uint64 {
	t.lock()
	defer t.mu.Unlock()
	return t.hallsRevision
}

// VacatedCount returns the number of vacated data halls.
func (t *Table) VacatedCount() int {
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

// AllVacated reports whether a service has servers in the given halls, nil for all, and all of
// these are in vacated halls. It returns false while the leader is new to this follower and may
// not have heard from all servers yet.
func (t *Table) AllVacated(service string, halls []string, now time.Time) bool {
	t.lock()
	defer t.mu.Unlock()
	if now.Sub(t.fullSyncAt) < discoveryHeartbeats*t.Heartbeat {
		return false
	}
	found := false
	for _, e := range t.entries {
		if !e.serves(service, halls) {
			continue
		}
		if !t.halls[e.record.GetHall()].vacated {
			return false
		}
		found = true
	}
	return found
}
