package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// othersFor is how long what other routers told is believed.
	othersFor = time.Second
	// partsKept bounds the parts remembered for each server.
	partsKept = 4096
	// fetchLeast is how many more tokens of the shared parts than the chosen server
	// another one must have for them to be fetched: less is read as fast as a fetch
	// is set up.
	fetchLeast = 1000
	// forgetState is how long the state of a server that is not used is kept.
	forgetState = 2 * time.Minute
)

// placer chooses backend servers. It is safe for concurrent use.
type placer struct {
	// hall is where this router is.
	hall sumachead.HallID

	mu     sync.Mutex // guards the fields below, and what states hold
	states map[sumachead.ServerID]*serverState
	// othersAt is when other routers' loads were told.
	othersAt time.Time
	// speed is how many tokens of prompts servers read in a millisecond.
	speed float64
}

// newPlacer returns a placer for a router of a data hall.
func newPlacer(h sumachead.HallID) *placer {
	return &placer{hall: h, states: make(map[sumachead.ServerID]*serverState), speed: firstSpeed}
}

// place chooses among servers, passing over those that were tried; nil when none
// is left.
func (p *placer) place(servers []*wire.ServerRecord, tried []sumachead.ServerID, x *exchange) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var best *wire.ServerRecord
	var bestScore score
	homeID := home(servers, x.request.Parts)
	for _, s := range servers {
		id := sumachead.ServerID(s.GetId())
		if slices.Contains(tried, id) {
			continue
		}
		c := p.score(s, p.state(id), x, homeID, now)
		if best == nil || c.less(bestScore) {
			best, bestScore = s, c
		}
	}
	if best == nil {
		return nil
	}
	source := p.source(servers, best, x, homeID, now)
	l := p.begin(best, x, now)
	l.home, l.fetchFrom = best.GetId() == homeID, source
	return l
}

// source returns the address of the server that a request's shared parts are best
// fetched from; empty where the chosen one has them, as far as is known here, or
// nobody has much more. The caller holds mu.
func (p *placer) source(servers []*wire.ServerRecord, chosen *wire.ServerRecord, x *exchange, homeID string, now time.Time) string {
	shared := sharedParts(x.request.Parts)
	if x.service.GetEngine().GetFetchTokensPerSecond() == 0 || len(shared) == 0 {
		return ""
	}
	// most is what the best source so far has, and at first the least that is worth it.
	address, most := "", p.state(sumachead.ServerID(chosen.GetId())).cached(shared)+fetchLeast
	for _, s := range servers {
		st := p.state(sumachead.ServerID(s.GetId()))
		if s == chosen || s.GetState() != wire.ServerState_SERVER_STATE_READY || now.Before(st.suspectTo) {
			continue
		}
		has := st.cached(shared)
		if s.GetId() == homeID {
			has = total(shared) // other routers have brought them
		}
		if has >= most {
			address, most = s.GetAddress(), has
		}
	}
	return address
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
	// parts are the prompt parts that requests have brought there, by id, with
	// when each was last brought.
	parts map[string]time.Time
	// failures in a row, and until when the server is passed over.
	failures  int
	suspectTo time.Time
	// usedAt is when a request was last sent there.
	usedAt time.Time
}

// state returns what is known of a server, making it if need be. The caller holds
// mu.
func (p *placer) state(id sumachead.ServerID) *serverState {
	s := p.states[id]
	if s == nil {
		s = &serverState{id: id, parts: make(map[string]time.Time)}
		p.states[id] = s
	}
	return s
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
