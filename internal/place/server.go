package place

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// partsKept bounds the parts remembered for each server.
	partsKept = 4096
	// forgetState is how long the state of a server that is not used is kept.
	forgetState = 2 * time.Minute
	// suspectFirst and suspectMost bound for how long a server that failed is
	// passed over; the time doubles with each failure in a row.
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 8 * time.Second
	// suspectDoublings is more doublings than reach suspectMost, and few enough
	// not to overflow.
	suspectDoublings = 8
	// longMemory is the time constant by which long reads of an engine are forgotten:
	// some lengths of a stream, so that engines keep their role for a while.
	longMemory = 4 * time.Second
)

// server is what this router knows of one life of a server by its own evidence, and
// what other routers have told.
type server struct {
	id sumachead.ServerID
	// draw is the hash of the id, for affinity.
	draw uint64
	// runs are this router's requests there, in the order in which they were sent.
	runs []*Placement
	// busyUntil is when what this router sent there should have been read.
	busyUntil time.Time
	// factor is how many times longer than usual it takes to read.
	factor float64
	// long counts pauses that are too long for streams there: each prompt of this
	// router by how much it made one more likely.
	long decaying
	// others is what all other routers have there, as they last told.
	others others
	// parts are the prompt parts that requests have brought there, with when each was
	// last brought.
	parts map[partKey]time.Time
	// failures in a row, and until when the server is passed over.
	failures  int
	suspectTo time.Time
	// usedAt is when a request was last sent there.
	usedAt time.Time
}

// others is the load of all other routers at a server.
type others struct {
	running int
	// readUntil is when what they sent there should have been read.
	readUntil time.Time
	// atRisk is the worth of their streams there that are in time so far, and pause
	// the least of their objectives for pauses.
	atRisk worth
	pause  time.Duration
	// long counts their long reads.
	long float64
}

// newServer returns the state of a server that nothing is known of.
func newServer(id sumachead.ServerID) *server {
	return &server{id: id, draw: bits.RotateLeft64(xxhash.Sum64String(string(id)), 32), factor: 1, parts: make(map[partKey]time.Time)}
}

// backlog returns for how long the server has prompts to read, as far as is known.
func (s *server) backlog(now time.Time) time.Duration {
	return max(s.busyUntil.Sub(now), 0) + max(s.others.readUntil.Sub(now), 0)
}

// running returns how many requests all routers have there.
func (s *server) running() int { return len(s.runs) + s.others.running }

// longRate returns how many long reads a second the server has had lately.
func (s *server) longRate(now time.Time) float64 {
	return (s.long.value(now, longMemory) + s.others.long) / longMemory.Seconds()
}

// cached returns how many tokens of the parts the server should still have.
func (s *server) cached(parts []part) sumachead.Tokens {
	var sum sumachead.Tokens
	for _, p := range parts {
		if _, ok := s.parts[p.key]; !ok {
			break
		}
		sum += p.tokens
	}
	return sum
}

// bring notes that a part is there from now on, and reports whether it was not.
func (s *server) bring(k partKey, now time.Time) bool {
	_, known := s.parts[k]
	s.parts[k] = now
	if len(s.parts) > partsKept {
		s.trim()
	}
	return !known
}

// trim forgets the half of the parts that was brought longest ago.
func (s *server) trim() {
	keys := slices.Collect(maps.Keys(s.parts))
	slices.SortFunc(keys, func(a, b partKey) int { return s.parts[a].Compare(s.parts[b]) })
	for _, k := range keys[:len(keys)/2] {
		delete(s.parts, k)
	}
}

// read brings busyUntil up to date after a prompt has been read or given up.
func (s *server) read(now time.Time) {
	left := time.Duration(0)
	for _, l := range s.runs {
		if l.firstAt.IsZero() {
			left += l.read
		}
	}
	s.busyUntil = now.Add(min(left, max(s.busyUntil.Sub(now), 0)))
}

// drop takes a request off.
func (s *server) drop(l *Placement, now time.Time) {
	if i := slices.Index(s.runs, l); i >= 0 {
		s.runs = slices.Delete(s.runs, i, i+1)
	}
	s.read(now)
}

// suspect passes the server over for a while after a failure.
func (s *server) suspect(now time.Time) {
	rest := min(suspectFirst<<min(s.failures, suspectDoublings), suspectMost)
	s.failures++
	s.suspectTo = now.Add(rest)
}

// load is what other routers are told.
func (s *server) load(now time.Time) *wire.ServerLoad {
	l := &wire.ServerLoad{
		Id: string(s.id), Running: int64(len(s.runs)),
		ReadMillis:      max(s.busyUntil.Sub(now), 0).Milliseconds(),
		LongThousandths: int64(s.long.value(now, longMemory) * thousand),
	}
	for _, r := range s.runs {
		if !r.inTime() {
			continue
		}
		l.AtRisk += int64(r.worth)
		if p := r.work.Pause.Milliseconds(); p > 0 && (l.PauseMillis == 0 || p < l.PauseMillis) {
			l.PauseMillis = p
		}
	}
	return l
}

// thousand is by how much counts are multiplied that are told as whole numbers.
const thousand = 1000

// told takes in what other routers have there.
func (s *server) told(l *wire.ServerLoad, now time.Time) {
	s.others = others{
		running:   int(l.GetRunning()),
		readUntil: now.Add(time.Duration(l.GetReadMillis()) * time.Millisecond),
		atRisk:    worth(l.GetAtRisk()),
		pause:     time.Duration(l.GetPauseMillis()) * time.Millisecond,
		long:      float64(l.GetLongThousandths()) / thousand,
	}
}
