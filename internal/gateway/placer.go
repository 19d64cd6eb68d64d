package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// hallPenalty is what sending a prompt to another data hall weighs: its bytes
	// cost far less than reading its parts again, so that it decides only between
	// servers that are alike.
	hallPenalty = 5 * time.Millisecond
	// latePart is the part of the objective, in percent, up to which an expected
	// first event counts as in time; the rest is for what this router can't see.
	latePart = 150
	// latePenalty is what an expected late first event weighs, in objectives:
	// more than reading any prompt again.
	latePenalty = 4
	// waitShare is the part, one in so many, of the time to the first event that
	// counts while it is in time.
	waitShare = 4
	// firstSpeed is how many tokens of prompts a server reads in a millisecond, as
	// long as nothing was measured; slowest and fastest bound what is measured.
	firstSpeed = 30.0
	slowest    = 1.0
	fastest    = 1000.0
	// speedWeight is the weight of one measurement.
	speedWeight = 0.05
	// measureFrom is the least number of tokens that a measurement needs to say
	// anything of the speed.
	measureFrom = 2000
	// othersFor is how long what other routers told is believed.
	othersFor = time.Second
	// runSlows is how much each request that runs beside slows a first event.
	runSlows = time.Millisecond
	// partsKept bounds the parts remembered for each server.
	partsKept = 4096
	// suspectFirst and suspectMost bound for how long a server that failed is
	// passed over; the time doubles with each failure in a row.
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 8 * time.Second
	// forgetState is how long the state of a server that is not used is kept.
	forgetState = 2 * time.Minute
	// fullPart is the part, in percent, of a plain service's slots that one
	// router fills before it goes to another data hall.
	fullPart = 50
)

// serverState is what this router knows of one life of a server by its own
// evidence.
type serverState struct {
	id sumachead.ServerID
	// running counts this router's requests there.
	running int
	// prefill is the sum of tokens of its requests that have no first event yet.
	prefill sumachead.Tokens
	// otherRunning and otherPrefill are the same of all other routers, as they
	// last told.
	otherRunning int
	otherPrefill sumachead.Tokens
	// parts are the prompt parts that requests have brought there.
	parts map[string]time.Time
	// failures in a row, and until when the server is passed over.
	failures  int
	suspectTo time.Time
	usedAt    time.Time
}

// placer chooses backend servers. It is safe for concurrent use.
type placer struct {
	hall sumachead.HallID

	mu     sync.Mutex // guards the fields below, and what states hold
	states map[sumachead.ServerID]*serverState
	// othersAt is when other routers' loads were told.
	othersAt time.Time
	// speed is how many tokens of prompts servers read in a millisecond.
	speed float64
}

func newPlacer(h sumachead.HallID) *placer {
	return &placer{hall: h, states: make(map[sumachead.ServerID]*serverState), speed: firstSpeed}
}

func (p *placer) state(id sumachead.ServerID) *serverState {
	s := p.states[id]
	if s == nil {
		s = &serverState{id: id, parts: make(map[string]time.Time)}
		p.states[id] = s
	}
	return s
}

// placement is one attempt's place; end it with done.
type placement struct {
	placer *placer
	record *wire.ServerRecord
	state  *serverState
	// unread is what the server is expected to have to read of the prompt, and
	// waiting the same until the first event, when it becomes 0.
	unread  sumachead.Tokens
	waiting sumachead.Tokens
	// queued and running are what all routers had there before, as far as this
	// one knew.
	queued  sumachead.Tokens
	running int
	begun   time.Time
	// home: the server is the first choice for the prompt's shared parts.
	home bool
}

// place chooses among servers, passing over those that were tried; nil when none
// is left.
func (p *placer) place(servers []*wire.ServerRecord, tried []sumachead.ServerID, x *exchange) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var best *wire.ServerRecord
	var bestScore score
	first := home(servers, x.request.Parts)
	for _, s := range servers {
		id := sumachead.ServerID(s.GetId())
		if slices.Contains(tried, id) {
			continue
		}
		c := p.score(s, p.state(id), x, first, now)
		if best == nil || c.less(bestScore) {
			best, bestScore = s, c
		}
	}
	if best == nil {
		return nil
	}
	l := p.begin(best, x, now)
	l.home = best.GetId() == first
	return l
}

// score orders servers; the least is chosen.
type score struct {
	// doubt is 0 for a server that is trusted.
	doubt int
	cost  time.Duration
	rank  uint64
}

func (a score) less(b score) bool {
	if a.doubt != b.doubt {
		return a.doubt < b.doubt
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.rank < b.rank
}

// score weighs one server for a request. The caller holds mu.
func (p *placer) score(s *wire.ServerRecord, st *serverState, x *exchange, home string, now time.Time) score {
	c := score{rank: affinity(x.request.Parts, s.GetId())}
	if now.Before(st.suspectTo) {
		c.doubt = 1
	}
	if s.GetState() == wire.ServerState_SERVER_STATE_SILENT {
		c.doubt = 2
	}
	away := s.GetHall() != string(p.hall)
	if x.service.GetEngine() == nil {
		c.cost = plainCost(s, st, away)
		return c
	}
	c.cost = p.engineCost(st, x, s.GetId() == home, now)
	if away {
		c.cost += hallPenalty
	}
	return c
}

// engineCost weighs an engine by when the first event is to be expected and by
// what would have to be read again. The caller holds mu.
func (p *placer) engineCost(st *serverState, x *exchange, home bool, now time.Time) time.Duration {
	shared := sharedParts(x.request.Parts)
	again := total(shared) - st.cached(shared)
	if home {
		again = 0 // other routers have brought them
	}
	unread := again + x.request.PromptTokens - total(shared)
	queued, running := st.prefill, st.running
	if now.Sub(p.othersAt) < othersFor {
		queued += st.otherPrefill
		running += st.otherRunning
	}
	wait := p.readTime(queued+unread) + time.Duration(running)*runSlows
	cost := wait/waitShare + p.readTime(again)
	objective := x.objective()
	if objective > 0 && wait > objective*latePart/100 {
		cost += latePenalty*objective + wait
	}
	return cost
}

// readTime returns how long a server takes to read tokens of prompts. The caller
// holds mu.
func (p *placer) readTime(n sumachead.Tokens) time.Duration {
	return time.Duration(float64(n) / p.speed * float64(time.Millisecond))
}

// home returns the server that all routers send a prompt to first, so that its
// shared parts are read once; empty for a prompt without parts.
func home(servers []*wire.ServerRecord, parts []sumachead.PromptPart) string {
	if len(parts) == 0 {
		return ""
	}
	best := ""
	var rank uint64
	for _, s := range servers {
		if s.GetState() != wire.ServerState_SERVER_STATE_READY {
			continue
		}
		if r := affinity(parts, s.GetId()); best == "" || r < rank {
			best, rank = s.GetId(), r
		}
	}
	return best
}

// sharedParts are a prompt's parts without the last, which is the request's own.
func sharedParts(parts []sumachead.PromptPart) []sumachead.PromptPart {
	return parts[:max(len(parts)-1, 0)]
}

func total(parts []sumachead.PromptPart) sumachead.Tokens {
	var sum sumachead.Tokens
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// plainCost weighs a server of a plain service: the own hall first while it has
// free slots.
func plainCost(s *wire.ServerRecord, st *serverState, away bool) time.Duration {
	slots := max(int(s.GetSlots()), 1)
	load := st.running * 100 / slots
	if away {
		load += fullPart
	}
	return time.Duration(load)
}

// affinity ranks a server for a prompt: all routers rank alike, so that requests
// with the same shared parts meet. The last part is the request's own.
func affinity(parts []sumachead.PromptPart, server string) uint64 {
	key := ""
	if len(parts) > 0 {
		key = parts[max(len(parts)-2, 0)].ID
	}
	return xxhash.Sum64String(key + "\x00" + server)
}

// cached returns how many tokens of the prompt the server should still have.
func (s *serverState) cached(parts []sumachead.PromptPart) sumachead.Tokens {
	var sum sumachead.Tokens
	for _, p := range parts {
		if _, ok := s.parts[p.ID]; !ok {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// begin counts an attempt at a server. The caller holds mu.
func (p *placer) begin(r *wire.ServerRecord, x *exchange, now time.Time) *placement {
	s := p.state(sumachead.ServerID(r.GetId()))
	unread := x.request.PromptTokens - s.cached(x.request.Parts)
	l := &placement{
		placer: p, record: r, state: s, unread: unread, waiting: unread,
		queued: s.prefill + s.otherPrefill, running: s.running + s.otherRunning, begun: now,
	}
	s.running++
	s.prefill += l.waiting
	s.usedAt = now
	for _, part := range x.request.Parts {
		s.parts[part.ID] = now
	}
	s.trim()
	return l
}

// trim forgets the parts used longest ago when there are too many.
func (s *serverState) trim() {
	if len(s.parts) <= partsKept {
		return
	}
	ids := make([]string, 0, len(s.parts))
	for id := range s.parts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(s.parts[a].UnixNano(), s.parts[b].UnixNano()) })
	for _, id := range ids[:len(ids)/2] {
		delete(s.parts, id)
	}
}

// first notes that the answer has begun.
func (l *placement) first() {
	p := l.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := l.queued + l.waiting; l.waiting > 0 && n >= measureFrom {
		measured := float64(n) / max(float64(time.Since(l.begun))/float64(time.Millisecond), 1)
		p.speed += speedWeight * (min(max(measured, slowest), fastest) - p.speed)
	}
	l.read()
}

// read takes the prompt off what the server has to read. The caller holds mu.
func (l *placement) read() {
	l.state.prefill -= l.waiting
	l.waiting = 0
}

// done ends an attempt; healthy says that the server did its work.
func (l *placement) done(healthy bool) {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	s := l.state
	l.read()
	s.running--
	if healthy {
		s.failures, s.suspectTo = 0, time.Time{}
		return
	}
	rest := min(suspectFirst<<min(s.failures, 8), suspectMost)
	s.failures++
	s.suspectTo = time.Now().Add(rest)
}

// cancel ends an attempt that says nothing of the server.
func (l *placement) cancel() {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	l.read()
	l.state.running--
}

// tidy forgets servers that are not used any more.
func (p *placer) tidy(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if s.running == 0 && now.Sub(s.usedAt) > forgetState {
			delete(p.states, id)
		}
	}
}
