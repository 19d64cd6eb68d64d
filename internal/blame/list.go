package blame

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// mostListed bounds the suspects that a fleet holds; beyond it the ones that changed first
// are forgotten. A fleet has as many of them only where servers end by the dozen.
const mostListed = 1024

// shelf holds suspects by fingerprint, those that are cleared included; the messages are
// replaced, never changed. It forgets the one that changed first where there are too many.
type shelf map[sumachead.Fingerprint]*wire.Suspect

// put puts a suspect in, and returns the one that is forgotten for it; nil for none.
func (s shelf) put(f sumachead.Fingerprint, x *wire.Suspect) (forgotten *wire.Suspect) {
	s[f] = x
	if len(s) <= mostListed {
		return nil
	}
	forgotten = slices.MinFunc(slices.Collect(maps.Values(s)), byRevision)
	delete(s, sumachead.Fingerprint(forgotten.GetFingerprint()))
	return forgotten
}

// byRevision orders suspects by their changes.
func byRevision(a, b *wire.Suspect) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) }

// parse reads a fingerprint; ok is false for bytes that are none.
func parse(b []byte) (f sumachead.Fingerprint, ok bool) {
	if len(b) != len(f) {
		return f, false
	}
	return sumachead.Fingerprint(b), true
}

// List is how suspects stand, as the fleet's log has it. It reads no clock. It is not safe
// for concurrent use; the zero value is ready.
type List struct {
	revision uint64
	suspects shelf
}

// Apply sets how some suspects stand.
func (l *List) Apply(s *wire.Suspects) {
	for _, x := range s.GetSuspects() {
		f, ok := parse(x.GetFingerprint())
		if !ok {
			continue
		}
		next := proto.CloneOf(x)
		l.revision++
		next.Revision = l.revision
		l.put(f, next)
	}
}

// put puts a suspect in.
func (l *List) put(f sumachead.Fingerprint, s *wire.Suspect) {
	if l.suspects == nil {
		l.suspects = make(shelf)
	}
	l.suspects.put(f, s)
}

// Standing returns how a request stands.
func (l *List) Standing(f sumachead.Fingerprint) wire.Standing { return l.suspects[f].GetStanding() }

// Some returns the requests of a report that are listed, with no revision of the whole.
func (l *List) Some(r *wire.EndsReport) *wire.Suspects {
	out := &wire.Suspects{}
	add := func(fingerprint []byte) {
		if f, ok := parse(fingerprint); ok && l.suspects[f] != nil {
			out.Suspects = append(out.Suspects, l.suspects[f])
		}
	}
	for _, e := range r.GetEnds() {
		add(e.GetFingerprint())
	}
	for _, f := range r.GetSurvived() {
		add(f)
	}
	return out
}

// Count returns how many suspects stand in a way.
func (l *List) Count(s wire.Standing) int {
	n := 0
	for _, x := range l.suspects {
		if x.GetStanding() == s {
			n++
		}
	}
	return n
}

// Revision returns that of the newest change.
func (l *List) Revision() uint64 { return l.revision }

// Since returns the suspects that changed after a revision, oldest change first. The
// messages must not be changed.
func (l *List) Since(revision uint64) *wire.Suspects {
	out := &wire.Suspects{Revision: l.revision}
	for _, s := range l.suspects {
		if s.GetRevision() > revision {
			out.Suspects = append(out.Suspects, s)
		}
	}
	slices.SortFunc(out.Suspects, byRevision)
	return out
}

// Restore replaces everything by what [List.Since] of revision 0 has returned.
func (l *List) Restore(s *wire.Suspects) {
	*l = List{revision: s.GetRevision()}
	for _, x := range s.GetSuspects() {
		if f, ok := parse(x.GetFingerprint()); ok {
			l.put(f, x)
		}
	}
}
