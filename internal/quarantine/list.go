package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// maxSuspects bounds the suspects that a fleet keeps; beyond it, cleared ones are removed first and
// barred ones last, each by the oldest change. A fleet has that many only if servers crash by the dozen.
const maxSuspects = 1024

// suspectMap holds suspects by fingerprint, including cleared ones; the messages are replaced, never
// modified. It evicts one if there are too many.
type suspectMap map[sumachead.Fingerprint]*wire.Suspect

// put sets a suspect and returns the one that is evicted for it; nil for none.
func (s suspectMap) put(f sumachead.Fingerprint, x *wire.Suspect) (evicted *wire.Suspect) {
	s[f] = x
	if len(s) <= maxSuspects {
		return nil
	}
	evicted = slices.MinFunc(slices.Collect(maps.Values(s)), byStanding)
	delete(s, sumachead.Fingerprint(evicted.GetFingerprint()))
	return evicted
}

// byRevision compares suspects by the revisions of their last changes.
func byRevision(a, b *wire.Suspect) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) }

// byStanding compares suspects by what is held against them, and then by revision.
func byStanding(a, b *wire.Suspect) int {
	return cmp.Or(cmp.Compare(a.GetStanding(), b.GetStanding()), byRevision(a, b))
}

// parse parses a fingerprint; ok is false if the length is wrong.
func parse(b []byte) (f sumachead.Fingerprint, ok bool) {
	if len(b) != len(f) {
		return f, false
	}
	return sumachead.Fingerprint(b), true
}

// List is the replicated state of the standings of suspects, to which the fleet's log is applied.
// It reads no clock. It is not safe for concurrent use; the zero value is ready to use.
type List struct {
	revision uint64
	suspects suspectMap
}

// Apply sets the standings of some suspects.
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

// put sets a suspect.
func (l *List) put(f sumachead.Fingerprint, s *wire.Suspect) {
	if l.suspects == nil {
		l.suspects = make(suspectMap)
	}
	l.suspects.put(f, s)
}

// Standing returns the standing of a request.
func (l *List) Standing(f sumachead.Fingerprint) wire.Standing { return l.suspects[f].GetStanding() }

// ForReport returns the suspects that a report mentions. The result has no revision, since it is
// only a part of the list.
func (l *List) ForReport(r *wire.EndsReport) *wire.Suspects {
	out := &wire.Suspects{}
	add := func(fingerprint []byte) {
		if f, ok := parse(fingerprint); ok && l.suspects[f] != nil {
			out.Suspects = append(out.Suspects, l.suspects[f])
		}
	}
	for _, e := range r.GetEnds() {
		add(e.GetFingerprint())
		for _, b := range e.GetBlocks() {
			f := BlockFingerprint(blockOf(e, b))
			add(f[:])
		}
	}
	for _, f := range slices.Concat(r.GetSurvived(), r.GetRecalled()) {
		add(f)
	}
	return out
}

// Count returns the number of suspects with a standing.
func (l *List) Count(s wire.Standing) int {
	n := 0
	for _, x := range l.suspects {
		if x.GetStanding() == s {
			n++
		}
	}
	return n
}

// Revision returns the revision of the newest change.
func (l *List) Revision() uint64 { return l.revision }

// Since returns the suspects that changed after a revision, oldest change first. The
// messages must not be modified.
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

// Restore replaces the state with what [List.Since] has returned for revision 0.
func (l *List) Restore(s *wire.Suspects) {
	*l = List{revision: s.GetRevision()}
	for _, x := range s.GetSuspects() {
		if f, ok := parse(x.GetFingerprint()); ok {
			l.put(f, x)
		}
	}
}
