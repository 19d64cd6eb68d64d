package blame

import (
	"sync"
	"sync/atomic"

	"sumachead"
	"sumachead/api/wire"
)

// Table is what a router knows of how suspects stand. It is safe for concurrent use; the
// zero value is ready.
type Table struct {
	// held counts the suspects of which something is held: none on a usual day, on which a
	// request then costs no hash.
	held atomic.Int64

	mu       sync.Mutex // guards the fields below
	revision uint64
	suspects shelf
}

// Take takes in how suspects stand, and returns those that stand otherwise than was known.
// What is older than what is known changes nothing.
func (t *Table) Take(s *wire.Suspects) (changed []*wire.Suspect) {
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

// put replaces a suspect. The caller holds mu.
func (t *Table) put(f sumachead.Fingerprint, s *wire.Suspect) {
	if t.suspects == nil {
		t.suspects = make(shelf)
	}
	before := t.suspects[f]
	forgotten := t.suspects.put(f, s)
	t.held.Add(held(s) - held(before) - held(forgotten))
}

// held returns 1 for a suspect of which something is held.
func held(s *wire.Suspect) int64 {
	if s.GetStanding() == wire.Standing_STANDING_CLEARED {
		return 0
	}
	return 1
}

// Held counts the suspects of which something is held.
func (t *Table) Held() int { return int(t.held.Load()) }

// Known returns how a request stands; ok is false for one that was never suspected.
func (t *Table) Known(f sumachead.Fingerprint) (s wire.Standing, ok bool) {
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
