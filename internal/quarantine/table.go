package quarantine

import (
	"sync"
	"sync/atomic"

	"sumachead"
	"sumachead/api/wire"
)

// Table is a router's copy of the standings of suspects. It is safe for concurrent use; the zero
// value is ready to use.
type Table struct {
	// active is the number of suspects that are not cleared. It is usually 0, in which case requests
	// need not be hashed.
	active atomic.Int64

	mu       sync.Mutex // guards the fields below
	revision uint64
	suspects suspectMap
}

// Merge merges standings into the table and returns the suspects whose standing changed. Older
// revisions than the known ones are ignored.
func (t *Table) Merge(s *wire.Suspects) (changed []*wire.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = max(t.revision, s.GetRevision())
	for _, x := range s.GetSuspects() {
		f, ok := parse(x.GetFingerprint())
		if !ok || x.GetRevision() <= t.suspects[f].GetRevision() {
			continue
		}
		if x.GetStanding() != t.suspects[f].GetStanding() {
			changed = append(changed, x)
		}
		t.put(f, x)
	}
	return changed
}

// put sets a suspect. The caller holds mu.
func (t *Table) put(f sumachead.Fingerprint, s *wire.Suspect) {
	if t.suspects == nil {
		t.suspects = make(suspectMap)
	}
	before := t.suspects[f]
	evicted := t.suspects.put(f, s)
	t.active.Add(activeCount(s) - activeCount(before) - activeCount(evicted))
}

// activeCount returns 1 for a suspect that is not cleared, otherwise 0.
func activeCount(s *wire.Suspect) int64 {
	if s.GetStanding() == wire.Standing_STANDING_CLEARED {
		return 0
	}
	return 1
}

// ActiveCount returns the number of suspects that are not cleared.
func (t *Table) ActiveCount() int { return int(t.active.Load()) }

// Standing returns the standing of a request; ok is false if it was never suspected.
func (t *Table) Standing(f sumachead.Fingerprint) (s wire.Standing, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.suspects[f]
	return x.GetStanding(), x != nil
}

// Revision returns the revision up to which all changes are known.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}
