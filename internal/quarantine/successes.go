package quarantine

import (
	"hash/maphash"
	"sync"
	"time"

	"sumachead"
)

// maxSuccesses bounds each half of a [RecentSuccesses]: 16 bytes for each request of half a minute
// at 270 a second, far more than one router serves.
const maxSuccesses = 8192

// RecentSuccesses remembers the requests that have succeeded within the last successTTL, or within
// less if there are many. Each costs a fast hash. It is safe for concurrent use; the zero value is
// ready to use.
type RecentSuccesses struct {
	once sync.Once
	seed maphash.Seed

	mu sync.Mutex // guards the fields below
	// recent are the hashes of requests that succeeded after since, and previous those of the
	// interval before.
	recent, previous map[uint64]struct{}
	since            time.Time
}

// Add records that a request has succeeded.
func (s *RecentSuccesses) Add(w sumachead.WorkspaceID, r *sumachead.CallerRequest, now time.Time) {
	k := s.key(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == nil || len(s.recent) >= maxSuccesses || now.Sub(s.since) > successTTL/2 {
		s.recent, s.previous, s.since = make(map[uint64]struct{}), s.recent, now
	}
	s.recent[k] = struct{}{}
}

// Contains reports whether a request has succeeded recently.
func (s *RecentSuccesses) Contains(w sumachead.WorkspaceID, r *sumachead.CallerRequest, now time.Time) bool {
	k := s.key(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, recent := s.recent[k]
	_, previous := s.previous[k]
	age := now.Sub(s.since)
	return recent && age <= successTTL || previous && age <= successTTL/2
}

// key returns a hash of what identifies a request.
func (s *RecentSuccesses) key(w sumachead.WorkspaceID, r *sumachead.CallerRequest) uint64 {
	s.once.Do(func() { s.seed = maphash.MakeSeed() })
	var h maphash.Hash
	h.SetSeed(s.seed)
	for _, part := range []string{string(w), r.Method, r.Host, r.Path, r.Query} {
		_, _ = h.WriteString(part) // a hash never returns an error
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
