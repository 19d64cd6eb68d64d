package place

import (
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/timeutil"
)

// maxIncarnations is how many incarnations of servers a load tracker keeps: the engine beside
// it, its predecessor, and some that other routers take for it.
const maxIncarnations = 4

const (
	// maxHolders is how many other servers the load tracker of the preferred server keeps for a
	// part: the latest ones, as some may be busy.
	maxHolders = 2
	// holderTTL is how long a server is expected to cache a part that no prompt has used there
	// again: the cache of an engine turns over within some tens of seconds.
	holderTTL = 20 * time.Second
	// maxTrackedParts bounds the parts whose other holders are kept.
	maxTrackedParts = 2048
)

// The load tracker of a prompt's preferred server also knows which other engines have prefilled
// the prompt's shared parts while the preferred one was busy: routers report it, and the next
// router finds the parts there. Without that, 24 million tokens of shared parts were recomputed
// on a day with 106 million prefilled tokens, and 18 million with it; with 12 engines these costs
// fell from 0.083 to 0.065 of the goodput (means of five days).

// LoadTracker tracks the requests of all routers that are in flight at the engine beside it. An
// update is visible to the next query regardless of the number of routers, whereas an exchange
// among routers takes longer the more there are: with some dozens, longer than a prefill. It is
// safe for concurrent use; the zero value is ready.
type LoadTracker struct {
	mu      sync.Mutex // guards the fields below and the fields of servers
	servers map[sumachead.ServerID]*trackedServer
}

// trackedServer is the state of one incarnation of the engine.
type trackedServer struct {
	*server
	requests map[requestKey]*Placement
	// otherHolders holds, by the last shared part, the other servers that have prefilled prompts
	// for which this one is the preferred server, latest last.
	otherHolders map[partKey][]partHolder
	// backoffs holds, by router, until when the engine asked it to back off.
	backoffs map[string]time.Time
}

// partHolder is a server that has prefilled a part.
type partHolder struct {
	server      string
	prefilledAt time.Time
}

// requestKey identifies a request by the router's incarnation and a number within it.
type requestKey struct {
	router string
	number uint64
}

// Query returns the state of a server to a router.
func (g *LoadTracker) Query(q *wire.GaugeQuestion, now time.Time) *wire.GaugeAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(sumachead.ServerID(q.GetServer()), now)
	s.expire(now)
	return &wire.GaugeAnswer{
		Load: s.loadFor(q.GetRouter(), now), Parts: s.cachedParts(q.GetParts()), FactorThousandths: int64(s.slowdown * wireScale),
		Elsewhere: s.holders(q.GetParts(), now), RestMillis: s.sharedBackoff(now).Milliseconds(),
	}
}

// Update applies a router's updates in their order.
func (g *LoadTracker) Update(n *wire.GaugeNotes, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(sumachead.ServerID(n.GetServer()), now)
	for _, x := range n.GetNotes() {
		s.apply(n.GetRouter(), x, now)
	}
}

// server returns the state of an incarnation of the engine and creates it if it is missing. The
// caller holds mu.
func (g *LoadTracker) server(id sumachead.ServerID, now time.Time) *trackedServer {
	if g.servers == nil {
		g.servers = make(map[sumachead.ServerID]*trackedServer)
	}
	s := g.servers[id]
	if s == nil {
		s = &trackedServer{server: newServer(id), requests: make(map[requestKey]*Placement), otherHolders: make(map[partKey][]partHolder)}
		g.servers[id] = s
	}
	s.usedAt = now
	g.evictOldest()
	return s
}

// evictOldest drops the least recently used incarnation if there are too many. The caller holds
// mu.
func (g *LoadTracker) evictOldest() {
	if len(g.servers) <= maxIncarnations {
		return
	}
	var oldest *trackedServer
	for _, s := range g.servers {
		if oldest == nil || s.usedAt.Before(oldest.usedAt) {
			oldest = s
		}
	}
	delete(g.servers, oldest.id)
}

// apply applies one update of a router.
func (s *trackedServer) apply(router string, n *wire.GaugeNote, now time.Time) {
	switch x := n.GetNote().(type) {
	case *wire.GaugeNote_Run:
		s.begin(router, x.Run, now)
	case *wire.GaugeNote_Read:
		if l := s.requests[requestKey{router, x.Read.GetNumber()}]; l != nil && l.firstEventAt.IsZero() {
			l.firstEventAt = now
			s.updateSlowdown(l.backlog+l.prefill, time.Duration(x.Read.GetTookMicros())*time.Microsecond)
			s.updateBacklog(now)
		}
	case *wire.GaugeNote_Late:
		if l := s.requests[requestKey{router, x.Late}]; l != nil {
			l.late = true
		}
	case *wire.GaugeNote_NotRun:
		if l := s.requests[requestKey{router, x.NotRun}]; l != nil {
			s.removeAddedParts(l)
		}
	case *wire.GaugeNote_RestMillis:
		s.recordBackoff(router, time.Duration(x.RestMillis)*time.Millisecond, now)
	case *wire.GaugeNote_Ended:
		s.end(requestKey{router, x.Ended}, now)
	case *wire.GaugeNote_Elsewhere:
		s.recordHolder(partKey(x.Elsewhere.GetPart()), x.Elsewhere.GetServer(), now)
	}
}

// recordBackoff records that the engine asked a router to back off for a time.
func (s *trackedServer) recordBackoff(router string, backoff time.Duration, now time.Time) {
	if s.backoffs == nil {
		s.backoffs = make(map[string]time.Time)
	}
	s.backoffs[router] = timeutil.Later(s.backoffs[router], now.Add(backoff))
}

// sharedBackoff returns for how much longer all routers should avoid the engine: as long as at
// least two routers are asked to back off. A single one may be asked because it sends too much
// itself.
func (s *trackedServer) sharedBackoff(now time.Time) time.Duration {
	var longest, second time.Duration
	for router, to := range s.backoffs {
		left := to.Sub(now)
		if left <= 0 {
			delete(s.backoffs, router)
			continue
		}
		second = max(second, min(left, longest))
		longest = max(longest, left)
	}
	return second
}

// recordHolder records that another server has prefilled a part.
func (s *trackedServer) recordHolder(k partKey, server string, now time.Time) {
	if len(s.otherHolders) >= maxTrackedParts && s.otherHolders[k] == nil {
		clear(s.otherHolders) // entries in use are added again
	}
	hs := slices.DeleteFunc(s.otherHolders[k], func(h partHolder) bool { return h.server == server })
	hs = append(hs, partHolder{server, now})
	s.otherHolders[k] = hs[max(len(hs)-maxHolders, 0):]
}

// holders returns the other servers that should have the last shared part of a prompt cached,
// latest first.
func (s *trackedServer) holders(keys []uint64, now time.Time) []string {
	if len(keys) < minPartsToShare {
		return nil
	}
	var out []string
	for _, h := range slices.Backward(s.otherHolders[partKey(keys[len(keys)-minPartsToShare])]) {
		if now.Sub(h.prefilledAt) < holderTTL {
			out = append(out, h.server)
		}
	}
	return out
}

// begin adds a request.
func (s *trackedServer) begin(router string, r *wire.GaugeRun, now time.Time) {
	l := &Placement{
		server: s.server, router: router, number: r.GetNumber(), value: value(r.GetWorth()), startedAt: now,
		request: &Request{
			MaxEventGap: time.Duration(r.GetPauseMillis()) * time.Millisecond,
			Deadline:    now.Add(time.Duration(r.GetDeadlineMicros()) * time.Microsecond),
		},
		estimate: estimate{prefill: time.Duration(r.GetReadMicros()) * time.Microsecond, backlog: s.backlog(now)},
	}
	s.requests[requestKey{router, r.GetNumber()}] = l
	s.inFlight = append(s.inFlight, l)
	s.prefillDoneAt = timeutil.Later(s.prefillDoneAt, now).Add(l.prefill)
	s.stalls.add(float64(r.GetLongThousandths())/wireScale, now, stallDecayTime)
	for _, k := range r.GetParts() {
		l.addPart(partKey(k), now)
	}
}

// end removes a request.
func (s *trackedServer) end(k requestKey, now time.Time) {
	if l := s.requests[k]; l != nil {
		delete(s.requests, k)
		s.remove(l, now)
	}
}

// expire removes requests whose deadline has passed: their routers have ended without reporting
// the end.
func (s *trackedServer) expire(now time.Time) {
	for k, l := range s.requests {
		if now.After(l.request.Deadline) {
			s.end(k, now)
		}
	}
}

// cachedParts returns how many leading parts are cached.
func (s *trackedServer) cachedParts(keys []uint64) uint32 {
	var n uint32
	for _, k := range keys {
		if _, ok := s.parts[partKey(k)]; !ok {
			break
		}
		n++
	}
	return n
}
