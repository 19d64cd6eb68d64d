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
	// maxPartsPerServer bounds the cached parts known for each server.
	maxPartsPerServer = 4096
	// unusedStateTTL is how long the state of an unused server is kept.
	unusedStateTTL = 2 * time.Minute
	// minEjection and maxEjection bound how long a server is ejected after a failure; the time
	// doubles with each consecutive failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// maxEjectionDoublings is more doublings than it takes to reach maxEjection, and few enough
	// not to overflow.
	maxEjectionDoublings = 8
	// stallDecayTime is the time constant with which stalls at an engine decay: several stream
	// durations, so that engines stay either with long prompts or with streams for a while.
	stallDecayTime = 4 * time.Second
)

// server is the state of one incarnation of a server: at a router from its own requests and the
// reports of the server's load tracker, at the load tracker from the updates of all routers.
type server struct {
	id sumachead.ServerID
	// hash is the hash of the id, for affinity.
	hash uint64
	// inFlight holds the requests there, in the order in which they were sent.
	inFlight []*Placement
	// prefillDoneAt is when all prompts sent there should be prefilled.
	prefillDoneAt time.Time
	// slowdown is the factor by which a prefill takes longer than predicted.
	slowdown float64
	// stalls is the expected number of gaps that exceed the objective: each prompt adds by how
	// much it raised their probability.
	stalls decayingSum
	// remote is the load of all other routers, as last reported by the load tracker.
	remote remoteLoad
	// parts holds the prompt parts that should be cached there, with when each was last used.
	parts map[partKey]time.Time
	// failures counts consecutive failures, and ejectedUntil is when the ejection ends.
	failures     int
	ejectedUntil time.Time
	// backoffUntil is until when the server is in backoff for at least two routers, as reported
	// by its load tracker.
	backoffUntil time.Time
	// usedAt is when a request was last sent there.
	usedAt time.Time
}

// remoteLoad is the load of all other routers at a server.
type remoteLoad struct {
	// at is when it was reported.
	at      time.Time
	running int
	// prefillDoneAt is when the prompts they sent should be prefilled.
	prefillDoneAt time.Time
	// atRisk is the value of their streams that have been in time so far, and gapObjective the
	// minimum of these streams' objectives for gaps.
	atRisk       value
	gapObjective time.Duration
	// stalls is the expected number of gaps caused by their prompts.
	stalls float64
}

// newServer returns the state of a server about which nothing is known.
func newServer(id sumachead.ServerID) *server {
	return &server{id: id, hash: hashOf(id), slowdown: 1, parts: make(map[partKey]time.Time)}
}

// hashOf returns the hash of a server's id, for affinity.
func hashOf(id sumachead.ServerID) uint64 {
	return bits.RotateLeft64(xxhash.Sum64String(string(id)), 32)
}

// backlog returns how long the server takes for the prefills that are known to be queued.
func (s *server) backlog(now time.Time) time.Duration {
	return max(s.prefillDoneAt.Sub(now), 0) + max(s.remoteAt(now).prefillDoneAt.Sub(now), 0)
}

// running returns how many requests of all routers are in flight there.
func (s *server) running(now time.Time) int { return len(s.inFlight) + s.remoteAt(now).running }

// stallRate returns the recent number of expected stalls per second.
func (s *server) stallRate(now time.Time) float64 {
	return (s.stalls.value(now, stallDecayTime) + s.remoteAt(now).stalls) / stallDecayTime.Seconds()
}

// cachedTokens returns how many tokens of the parts the server should have cached.
func (s *server) cachedTokens(parts []part) sumachead.Tokens {
	var sum sumachead.Tokens
	for _, p := range parts {
		if _, ok := s.parts[p.key]; !ok {
			break
		}
		sum += p.tokens
	}
	return sum
}

// addPart records that a part is cached as of now, and reports whether it was not before.
func (s *server) addPart(k partKey, now time.Time) bool {
	_, known := s.parts[k]
	s.parts[k] = now
	if len(s.parts) > maxPartsPerServer {
		s.evictParts()
	}
	return !known
}

// addPart records a part that an attempt adds to the cache of its server.
func (l *Placement) addPart(k partKey, now time.Time) {
	if l.server.addPart(k, now) {
		l.addedParts = append(l.addedParts, k)
	}
}

// removeAddedParts removes the parts that an attempt was to add, except for those that later
// attempts have added again.
func (s *server) removeAddedParts(l *Placement) {
	for _, k := range l.addedParts {
		if s.parts[k].Equal(l.startedAt) {
			delete(s.parts, k)
		}
	}
	l.addedParts = nil
}

// evictParts removes the least recently used half of the parts.
func (s *server) evictParts() {
	keys := slices.Collect(maps.Keys(s.parts))
	slices.SortFunc(keys, func(a, b partKey) int { return s.parts[a].Compare(s.parts[b]) })
	for _, k := range keys[:len(keys)/2] {
		delete(s.parts, k)
	}
}

// updateSlowdown updates the slowdown from the time that a prefill took and the time expected
// with the current slowdown.
func (s *server) updateSlowdown(expected, took time.Duration) {
	if expected < minPrefillForSlowdown {
		return
	}
	f := s.slowdown * float64(took) / float64(expected)
	s.slowdown += slowdownWeight * (min(max(f, minSlowdown), maxSlowdown) - s.slowdown)
}

// updateBacklog updates prefillDoneAt after a prefill has ended or was cancelled.
func (s *server) updateBacklog(now time.Time) {
	left := time.Duration(0)
	for _, l := range s.inFlight {
		if l.firstEventAt.IsZero() {
			left += l.prefill
		}
	}
	s.prefillDoneAt = now.Add(min(left, max(s.prefillDoneAt.Sub(now), 0)))
}

// remove removes a request.
func (s *server) remove(l *Placement, now time.Time) {
	if i := slices.Index(s.inFlight, l); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	s.updateBacklog(now)
}

// eject excludes the server for a while after a failure.
func (s *server) eject(now time.Time) {
	ejection := min(minEjection<<min(s.failures, maxEjectionDoublings), maxEjection)
	s.failures++
	s.ejectedUntil = now.Add(ejection)
}

// loadFor returns the load reported to a router: the running requests of other routers, and the
// backlog and stalls of all.
func (s *server) loadFor(router string, now time.Time) *wire.ServerLoad {
	l := &wire.ServerLoad{
		ReadMillis:      s.backlog(now).Milliseconds(),
		LongThousandths: int64(s.stalls.value(now, stallDecayTime) * wireScale),
	}
	for _, r := range s.inFlight {
		if r.router == router {
			continue
		}
		l.Running++
		if !r.inTime() {
			continue
		}
		l.AtRisk += int64(r.value)
		if p := r.request.MaxEventGap.Milliseconds(); p > 0 && (l.PauseMillis == 0 || p < l.PauseMillis) {
			l.PauseMillis = p
		}
	}
	return l
}

// wireScale is the factor for fractions that are sent as integers.
const wireScale = 1000

// applyReport applies a report of the load tracker. Where the report covers all routers, the own
// share is subtracted because it is tracked separately from now on.
func (s *server) applyReport(a *wire.GaugeAnswer, now time.Time) {
	l := a.GetLoad()
	read := time.Duration(l.GetReadMillis()) * time.Millisecond
	s.remote = remoteLoad{
		at:            now,
		running:       int(l.GetRunning()),
		prefillDoneAt: now.Add(max(read-max(s.prefillDoneAt.Sub(now), 0), 0)),
		atRisk:        value(l.GetAtRisk()),
		gapObjective:  time.Duration(l.GetPauseMillis()) * time.Millisecond,
		stalls:        max(float64(l.GetLongThousandths())/wireScale-s.stalls.value(now, stallDecayTime), 0),
	}
	s.slowdown = float64(a.GetFactorThousandths()) / wireScale
	s.backoffUntil = now.Add(time.Duration(a.GetRestMillis()) * time.Millisecond)
}

// remoteAt returns the load of other routers; zero if the last report is older than
// remoteLoadTTL.
func (s *server) remoteAt(now time.Time) remoteLoad {
	if now.Sub(s.remote.at) > remoteLoadTTL {
		return remoteLoad{}
	}
	return s.remote
}
