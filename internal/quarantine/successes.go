package quarantine

import (
	"hash/maphash"
	"sync"
	"time"

	"sumachead"
)

// maxSuccesses bounds each half of a [RecentSuccesses] or [SurvivedBlocks]: 16 bytes for each request of
// half a minute at 270 a second, far more than one router serves.
const maxSuccesses = 8192

// RecentSuccesses remembers the requests that have succeeded within the last successTTL, or within
// less if there are many. Each costs a fast hash. It is safe for concurrent use; the zero value is
// ready to use.
type RecentSuccesses struct{ set recentSet }

// Add records that a request has succeeded.
func (s *RecentSuccesses) Add(w sumachead.WorkspaceID, r *sumachead.CallerRequest, now time.Time) {
	s.set.add(s.key(w, r), now)
}

// Contains reports whether a request has succeeded recently.
func (s *RecentSuccesses) Contains(w sumachead.WorkspaceID, r *sumachead.CallerRequest, now time.Time) bool {
	return s.set.contains(s.key(w, r), now)
}

// key returns a hash of what identifies a request.
func (s *RecentSuccesses) key(w sumachead.WorkspaceID, r *sumachead.CallerRequest) uint64 {
	return s.set.hash(r.Body, string(w), r.Method, r.Host, r.Path, r.Query)
}

// SurvivedBlocks remembers the prompt blocks that servers have responded to within the last successTTL
// without a crash, by the version of the servers. It is safe for concurrent use; the zero value is
// ready to use.
type SurvivedBlocks struct{ set recentSet }

// Add records that a server of a version has responded to a prompt with a block.
func (s *SurvivedBlocks) Add(service, software, id string, now time.Time) {
	s.set.add(s.set.hash(nil, service, software, id), now)
}

// Contains reports whether a server of a version has responded to a prompt with a block recently.
func (s *SurvivedBlocks) Contains(service, software, id string, now time.Time) bool {
	return s.set.contains(s.set.hash(nil, service, software, id), now)
}

// recentSet holds hashes for successTTL, or for less if there are many.
type recentSet struct {
	once sync.Once
	seed maphash.Seed

	mu sync.Mutex // guards the fields below
	// recent are the hashes that were added after since, and previous those of the interval before.
	recent, previous map[uint64]struct{}
	since            time.Time
}

// add adds a hash.
func (s *recentSet) add(k uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == nil || len(s.recent) >= maxSuccesses || now.Sub(s.since) > successTTL/2 {
		s.recent, s.previous, s.since = make(map[uint64]struct{}), s.recent, now
	}
	s.recent[k] = struct{}{}
}

// contains reports whether a hash was added recently.
func (s *recentSet) contains(k uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, recent := s.recent[k]
	_, previous := s.previous[k]
	age := now.Sub(s.since)
	return recent && age <= successTTL || previous && age <= successTTL/2
}

// hash returns a hash of a body and some strings.
func (s *recentSet) hash(body []byte, parts ...string) uint64 {
	s.once.Do(func() { s.seed = maphash.MakeSeed() })
	var h maphash.Hash
	h.SetSeed(s.seed)
	for _, part := range parts {
		_, _ = h.WriteString(part) // a hash never returns an error
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(body)
	return h.Sum64()
}
