package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/timeutil"
)

const (
	// remoteLoadTTL is how long a reported load of other routers is believed.
	remoteLoadTTL = 3 * time.Second
	// minFetchTokens is how many more tokens of the shared parts than the chosen server another
	// one must have cached for them to be fetched: setting up a fetch takes as long as the
	// prefill of fewer tokens.
	minFetchTokens = 1000
	// initialStreamDuration is assumed for a route until one of its streams has ended, and
	// streamDurationWeight is the weight of each stream in the moving average.
	initialStreamDuration = 2 * time.Second
	streamDurationWeight  = 0.05
	// meanPromptWeight is the weight of a prompt in the moving average of prompt sizes.
	meanPromptWeight = 0.02
)

// Request holds the properties of a request that matter for scheduling.
type Request struct {
	Route string
	// PromptTokens is the size of the prompt, and MaxOutputTokens the maximum size of the
	// response.
	PromptTokens    sumachead.Tokens
	MaxOutputTokens sumachead.Tokens
	Parts           []sumachead.PromptPart
	// FirstEventDeadline is until when the first event is in time; zero for no objective.
	FirstEventDeadline time.Time
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time
	// MaxEventGap is the objective for gaps between events; 0 for none.
	MaxEventGap time.Duration
	// Engine is nil for a plain service.
	Engine *wire.EngineLimits

	// preferred is the server to which all routers send prompts with the same shared parts
	// first, and otherHolders are servers that its load tracker named. Both are guarded by the
	// scheduler's mu.
	preferred    *wire.ServerRecord
	otherHolders []string
}

// hasSharedParts reports whether the prompt has parts that other prompts may share.
func (w *Request) hasSharedParts() bool { return len(w.Parts) >= minPartsToShare }

// Scheduler chooses backend servers of a declared fleet by the lowest expected loss to callers.
// It is safe for concurrent use.
type Scheduler struct {
	// SendUpdate sends an update about a request to the load tracker of its server; it must not
	// block. Nil if there are no load trackers.
	SendUpdate func(r *wire.ServerRecord, n *wire.GaugeNote)
	// Backoff returns for how much longer this process must not send to a server; nil if no
	// server ever asks for backoff.
	Backoff func(sumachead.ServerID) time.Duration
	// Limited reports whether a server limits the number of its requests, regardless of their
	// size; nil if none does.
	Limited func(sumachead.ServerID) bool

	hall sumachead.HallID
	// tieBreakSeed differs between routers; it orders servers of a plain service that have equal
	// costs.
	tieBreakSeed uint64

	mu      sync.Mutex // guards the fields below and the fields of servers
	servers map[sumachead.ServerID]*server
	prefill *PrefillModel
	// streamDurations holds, by route, the mean time from a stream's first event to its end.
	streamDurations map[string]time.Duration
	// index was built from the servers of the last scheduling decision.
	index serverIndex
	// lastNumber is the number of the last placement.
	lastNumber uint64
	// meanPrompt is the moving average of prompt sizes, in tokens.
	meanPrompt float64
}

// NewScheduler returns a scheduler for a router in a data hall.
func NewScheduler(h sumachead.HallID) *Scheduler {
	return &Scheduler{
		hall: h, tieBreakSeed: rand.Uint64(), servers: make(map[sumachead.ServerID]*server), prefill: newPrefillModel(), streamDurations: make(map[string]time.Duration),
	}
}

// rank orders servers; the lowest is chosen.
type rank struct {
	// healthTier is 0 for a healthy server, 1 for one that was ejected after a failure, is in
	// backoff or is reserved for larger requests, and 2 for one whose heartbeats are missing.
	healthTier int
	// cost is in tokens for engines, and in percent of the slots for servers of a plain service;
	// only servers of one service are compared.
	cost float64
	// tieBreak orders servers of equal cost. For engines it is the same at all routers, so that
	// prompts with the same parts go to one server. For servers of a plain service it differs
	// between routers: they don't know each other's requests, and must not all prefer the same
	// server.
	tieBreak uint64
}

// less orders by healthTier, then cost, then tieBreak.
func (a rank) less(b rank) bool {
	if a.healthTier != b.healthTier {
		return a.healthTier < b.healthTier
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.tieBreak < b.tieBreak
}

// Place chooses a server that is not excluded and counts the request there; it returns nil if
// none is left.
func (c *Scheduler) Place(records []*wire.ServerRecord, tried []sumachead.ServerID, w *Request, now time.Time) *Placement {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *wire.ServerRecord
	var bestRank rank
	var expected estimate
	o := c.locateParts(records, w, now)
	c.updateMeanPrompt(w)
	for _, r := range records {
		id := sumachead.ServerID(r.GetId())
		if c.excluded(id, tried) {
			continue
		}
		s := c.server(id)
		e := c.estimate(r, s, w, &o, now)
		if k := c.rank(r, s, w, &o, e, now); best == nil || k.less(bestRank) {
			best, bestRank, expected = r, k, e
		}
	}
	if best == nil {
		return nil
	}
	l := &Placement{
		Record: best, Preferred: best.GetId() == o.preferred,
		scheduler: c, server: c.server(sumachead.ServerID(best.GetId())), request: w, estimate: expected,
	}
	if l.fetched > 0 {
		l.FetchFrom = o.sourceFor(best).address
	}
	c.begin(l, &o, now)
	return l
}

// excluded reports whether a server was already tried or is in backoff.
func (c *Scheduler) excluded(id sumachead.ServerID, tried []sumachead.ServerID) bool {
	return slices.Contains(tried, id) || c.backoff(id) > 0
}

// backoff returns for how much longer a server is in backoff.
func (c *Scheduler) backoff(id sumachead.ServerID) time.Duration {
	if c.Backoff == nil {
		return 0
	}
	return c.Backoff(id)
}

// BackoffEnd returns when the first backoff of the servers that were not tried ends, if all of
// them are in backoff; the zero time otherwise.
func (c *Scheduler) BackoffEnd(records []*wire.ServerRecord, tried []sumachead.ServerID, now time.Time) time.Time {
	var ends time.Time
	for _, r := range records {
		id := sumachead.ServerID(r.GetId())
		if slices.Contains(tried, id) {
			continue
		}
		backoff := c.backoff(id)
		if backoff == 0 {
			return time.Time{}
		}
		if at := now.Add(backoff); ends.IsZero() || at.Before(ends) {
			ends = at
		}
	}
	return ends
}

// AvailableAt returns when a server should be able to take a request: now, unless all of them
// are ejected or in backoff; the zero time if there are none.
func (c *Scheduler) AvailableAt(records []*wire.ServerRecord, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var earliest time.Time
	for _, r := range records {
		id := sumachead.ServerID(r.GetId())
		at := timeutil.Later(c.server(id).ejectedUntil, now.Add(c.backoff(id)))
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// rank computes the rank of one server. The caller holds mu.
func (c *Scheduler) rank(r *wire.ServerRecord, s *server, w *Request, o *partLocations, e estimate, now time.Time) rank {
	k := rank{tieBreak: affinityHash(affinityKey(o.parts), s)}
	if now.Before(s.ejectedUntil) || now.Before(s.backoffUntil) || c.reservedForLarger(s, w) {
		k.healthTier = 1
	}
	if r.GetState() == wire.ServerState_SERVER_STATE_SILENT {
		k.healthTier = 2
	}
	otherHall := r.GetHall() != string(c.hall)
	if w.Engine == nil {
		k.cost, k.tieBreak = plainServiceCost(r, s, otherHall), mixBits(c.tieBreakSeed^s.hash)
		return k
	}
	k.cost = c.cost(s, w, e, otherHall, now)
	return k
}

// updateMeanPrompt adds a prompt to the moving average. The caller holds mu.
func (c *Scheduler) updateMeanPrompt(w *Request) {
	if c.meanPrompt == 0 {
		c.meanPrompt = float64(w.PromptTokens)
	}
	c.meanPrompt += meanPromptWeight * (float64(w.PromptTokens) - c.meanPrompt)
}

// reservedForLarger reports whether a request should avoid a server because that limits the
// number of its requests: a larger request there takes more load off the other servers. The
// caller holds mu.
func (c *Scheduler) reservedForLarger(s *server, w *Request) bool {
	return w.Engine != nil && c.Limited != nil && float64(w.PromptTokens) < c.meanPrompt && c.Limited(s.id)
}

// estimate predicts how a request runs at a server. The caller holds mu.
func (c *Scheduler) estimate(r *wire.ServerRecord, s *server, w *Request, o *partLocations, now time.Time) estimate {
	has := s.cachedTokens(o.shared)
	own := max(s.cachedTokens(o.parts)-has, 0) // a continued prompt has its own part cached there too
	e := estimate{backlog: s.backlog(now)}
	var fetchTime time.Duration
	if source := o.sourceFor(r); w.Engine.GetFetchTokensPerSecond() > 0 && source.cached >= has+minFetchTokens {
		e.fetched = source.cached - has
		fetchTime = c.prefill.FetchTime(e.fetched)
	}
	e.uncached = max(w.PromptTokens-has-e.fetched-own, 0)
	e.recomputed = o.recomputedTokens(s, has+e.fetched)
	e.prefill = time.Duration(s.slowdown * float64(c.prefill.PrefillTime(e.uncached, w.PromptTokens)))
	e.wait = c.prefill.Base() + e.backlog + e.prefill + fetchTime + c.slotWait(s, w, now)
	return e
}

// slotWait returns how long a request waits for a free slot of a server: the time in which the
// requests above slotWaitThreshold end. The caller holds mu.
func (c *Scheduler) slotWait(s *server, w *Request, now time.Time) time.Duration {
	slots := float64(w.Engine.GetSlots())
	if slots == 0 {
		return 0
	}
	excess := float64(s.running(now)) - slotWaitThreshold*slots
	return time.Duration(max(excess, 0) / slots * float64(c.streamDuration(w.Route)))
}

// begin counts a request at its server. The caller holds mu.
func (c *Scheduler) begin(l *Placement, o *partLocations, now time.Time) {
	s := l.server
	l.startedAt, l.value, l.Running = now, valueOf(l.request), s.running(now)
	l.uncontended = l.backlog == 0
	l.LoadAge = -1
	if !s.remote.at.IsZero() {
		l.LoadAge = now.Sub(s.remote.at)
	}
	s.inFlight = append(s.inFlight, l)
	s.prefillDoneAt = timeutil.Later(s.prefillDoneAt, now).Add(l.prefill)
	l.prefillDoneAt = s.prefillDoneAt
	l.stallRisk = gapMissProbability(l.backlog+l.prefill, l.request.MaxEventGap) - gapMissProbability(l.backlog, l.request.MaxEventGap)
	s.stalls.add(l.stallRisk, now, stallDecayTime)
	s.usedAt = now
	for _, p := range o.parts {
		l.addPart(p.key, now)
	}
	c.sendRun(l, o.parts, now)
}

// server returns the state of a server and creates it if it is missing. The caller holds mu.
func (c *Scheduler) server(id sumachead.ServerID) *server {
	s := c.servers[id]
	if s == nil {
		s = newServer(id)
		c.servers[id] = s
	}
	return s
}

// streamDuration returns how long streams of a route last. The caller holds mu.
func (c *Scheduler) streamDuration(route string) time.Duration {
	if d, ok := c.streamDurations[route]; ok {
		return d
	}
	return initialStreamDuration
}

// updateStreamDuration adds a stream that has ended to the moving average. The caller holds mu.
func (c *Scheduler) updateStreamDuration(route string, d time.Duration) {
	old := c.streamDuration(route)
	c.streamDurations[route] = old + time.Duration(streamDurationWeight*float64(d-old))
}

// Prune drops the state of servers that are no longer used.
func (c *Scheduler) Prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.servers {
		if len(s.inFlight) == 0 && now.Sub(s.usedAt) > unusedStateTTL {
			delete(c.servers, id)
		}
	}
}

// ApplyReport applies the response of a server's load tracker to a query about the parts of a
// prompt.
func (c *Scheduler) ApplyReport(id sumachead.ServerID, w *Request, a *wire.GaugeAnswer, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(id)
	s.applyReport(a, now)
	for i, p := range partsOf(w) {
		if i < int(a.GetParts()) {
			s.addPart(p.key, now)
			continue
		}
		delete(s.parts, p.key)
	}
	if w.preferred != nil && w.preferred.GetId() == string(id) {
		w.otherHolders = a.GetElsewhere()
	}
}

// MoreCandidates returns further servers to query: those that the load tracker of the preferred
// server named, if no candidate has all shared parts cached.
func (c *Scheduler) MoreCandidates(records, candidates []*wire.ServerRecord, tried []sumachead.ServerID, w *Request, now time.Time) []*wire.ServerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(w.otherHolders) == 0 {
		return nil
	}
	shared := sharedParts(partsOf(w))
	if slices.ContainsFunc(candidates, func(r *wire.ServerRecord) bool {
		return c.server(sumachead.ServerID(r.GetId())).cachedTokens(shared) == totalTokens(shared)
	}) {
		return nil
	}
	r := c.indexFor(records)
	var out []*wire.ServerRecord
	for i, x := range records {
		if slices.Contains(w.otherHolders, x.GetId()) && !slices.Contains(candidates, x) && c.eligible(r, i, tried, now) {
			out = append(out, x)
		}
	}
	return out
}
