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

// server is what is known of one life of a server: at a router by its own evidence and by
// what the server's gauge told, at the gauge by what all routers told.
type server struct {
	id sumachead.ServerID
	// draw is the hash of the id, for affinity.
	draw uint64
	// runs are the requests there, in the order in which they were sent.
	runs []*Placement
	// busyUntil is when what was sent there should have been read.
	busyUntil time.Time
	// factor is how many times longer than usual it takes to read.
	factor float64
	// long counts pauses that are too long for streams there: each prompt by how much it
	// made one more likely.
	long decaying
	// others is what all other routers have there, as the gauge last told.
	others others
	// parts are the prompt parts that requests have brought there, with when each was
	// last brought.
	parts map[partKey]time.Time
	// failures in a row, and until when the server is passed over.
	failures  int
	suspectTo time.Time
	// restTo is until when it wants nothing from two routers at least, as its gauge told.
	restTo time.Time
	// usedAt is when a request was last sent there.
	usedAt time.Time
}

// others is the load of all other routers at a server.
type others struct {
	// at is when it was told.
	at      time.Time
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
	return &server{id: id, draw: drawOf(id), factor: 1, parts: make(map[partKey]time.Time)}
}

// drawOf returns the hash of a server's id, for affinity.
func drawOf(id sumachead.ServerID) uint64 {
	return bits.RotateLeft64(xxhash.Sum64String(string(id)), 32)
}

// backlog returns for how long the server has prompts to read, as far as is known.
func (s *server) backlog(now time.Time) time.Duration {
	return max(s.busyUntil.Sub(now), 0) + max(s.othersAt(now).readUntil.Sub(now), 0)
}

// running returns how many requests all routers have there.
func (s *server) running(now time.Time) int { return len(s.runs) + s.othersAt(now).running }

// longRate returns how many long reads a second the server has had lately.
func (s *server) longRate(now time.Time) float64 {
	return (s.long.value(now, longMemory) + s.othersAt(now).long) / longMemory.Seconds()
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

// bring notes that an attempt brings a part to its server.
func (l *Placement) bring(k partKey, now time.Time) {
	if l.server.bring(k, now) {
		l.brought = append(l.brought, k)
	}
}

// unbring forgets the parts that an attempt was to bring, but for those that others have
// brought since.
func (s *server) unbring(l *Placement) {
	for _, k := range l.brought {
		if s.parts[k].Equal(l.begun) {
			delete(s.parts, k)
		}
	}
	l.brought = nil
}

// trim forgets the half of the parts that was brought longest ago.
func (s *server) trim() {
	keys := slices.Collect(maps.Keys(s.parts))
	slices.SortFunc(keys, func(a, b partKey) int { return s.parts[a].Compare(s.parts[b]) })
	for _, k := range keys[:len(keys)/2] {
		delete(s.parts, k)
	}
}

// noteSpeed learns from how long the server took to read what was expected to take a time
// at the speed that it was thought to have.
func (s *server) noteSpeed(expected, took time.Duration) {
	if expected < factorFrom {
		return
	}
	f := s.factor * float64(took) / float64(expected)
	s.factor += factorWeight * (min(max(f, fastest), slowest) - s.factor)
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

// load is what a router is told of the others': all runs but its own, and the backlog and
// the long reads of all.
func (s *server) load(router string, now time.Time) *wire.ServerLoad {
	l := &wire.ServerLoad{
		ReadMillis:      s.backlog(now).Milliseconds(),
		LongThousandths: int64(s.long.value(now, longMemory) * thousand),
	}
	for _, r := range s.runs {
		if r.router == router {
			continue
		}
		l.Running++
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

// told takes in what the gauge says of the server. Of what it says of all routers
// together, this router's own is taken off, since it changes from now on.
func (s *server) told(a *wire.GaugeAnswer, now time.Time) {
	l := a.GetLoad()
	read := time.Duration(l.GetReadMillis()) * time.Millisecond
	s.others = others{
		at:        now,
		running:   int(l.GetRunning()),
		readUntil: now.Add(max(read-max(s.busyUntil.Sub(now), 0), 0)),
		atRisk:    worth(l.GetAtRisk()),
		pause:     time.Duration(l.GetPauseMillis()) * time.Millisecond,
		long:      max(float64(l.GetLongThousandths())/thousand-s.long.value(now, longMemory), 0),
	}
	s.factor = float64(a.GetFactorThousandths()) / thousand
	s.restTo = now.Add(time.Duration(a.GetRestMillis()) * time.Millisecond)
}

// othersAt returns what other routers have there; nothing once that was told too long ago.
func (s *server) othersAt(now time.Time) others {
	if now.Sub(s.others.at) > othersFor {
		return others{}
	}
	return s.others
}
