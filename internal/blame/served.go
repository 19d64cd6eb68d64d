package blame

import (
	"hash/maphash"
	"sync"
	"time"

	"sumachead"
)

// mostServed bounds what one half of a [Served] holds: 16 bytes for each of the requests of
// half a minute at 270 a second, far above what one router serves.
const mostServed = 8192

// Served remembers which requests have come to a good end within the last servedFor, or half of
// that where there are many. It costs a fast hash for each. It is safe for concurrent use; the zero
// value is ready.
type Served struct {
	once sync.Once
	seed maphash.Seed

	mu sync.Mutex // guards the fields below
	// recent are those since a time, and before those of the span before it.
	recent, before map[uint64]struct{}
	since          time.Time
}

// Note takes in a good end.
func (s *Served) Note(w sumachead.WorkspaceID, r *sumachead.CallerRequest, now time.Time) {
	k := s.key(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == nil || len(s.recent) >= mostServed || now.Sub(s.since) > servedFor/2 {
		s.recent, s.before, s.since = make(map[uint64]struct{}), s.recent, now
	}
	s.recent[k] = struct{}{}
}

// Has reports whether a request has lately come to a good end.
func (s *Served) Has(w sumachead.WorkspaceID, r *sumachead.CallerRequest, now time.Time) bool {
	k := s.key(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, recent := s.recent[k]
	_, before := s.before[k]
	age := now.Sub(s.since)
	return recent && age <= servedFor || before && age <= servedFor/2
}

// key hashes what tells the request from others.
func (s *Served) key(w sumachead.WorkspaceID, r *sumachead.CallerRequest) uint64 {
	s.once.Do(func() { s.seed = maphash.MakeSeed() })
	var h maphash.Hash
	h.SetSeed(s.seed)
	for _, part := range []string{string(w), r.Method, r.Host, r.Path, r.Query} {
		_, _ = h.WriteString(part) // a hash takes everything
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
