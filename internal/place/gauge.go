package place

import (
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/moment"
)

// keptServers is how many lives of servers a gauge knows: that of the engine beside it, the
// one before it, and some that other routers take for it.
const keptServers = 4

const (
	// holdersTold is how many other servers a home names for a part: the newest ones, of
	// which some may be busy.
	holdersTold = 2
	// holderLives is for how long a server is expected to keep a part that no prompt has
	// brought there again: engines read their whole memory anew within some tens of
	// seconds.
	holderLives = 20 * time.Second
	// elsewhereMost bounds the parts of which a home knows other holders.
	elsewhereMost = 2048
)

// The gauge of a prompt's home also knows at which other engines the prompt's shared parts
// were read while the home was busy: routers tell it, and the next one finds them there.
// Without that, 24 million tokens of shared parts were read again on a day with 106 million
// that were read; with it 18 million, and where there are 12 engines prices fell from 0.083
// to 0.065 of the worth (means of five days).

// Gauge knows what all routers have under way at the engine beside it. What it is told is
// there when the next router asks, however many routers there are: an exchange among them
// takes longer the more there are, and longer than a prompt takes from some dozens on. It
// is safe for concurrent use; the zero value is ready.
type Gauge struct {
	mu      sync.Mutex // guards the fields below, and what servers hold
	servers map[sumachead.ServerID]*gauged
}

// gauged is one life of the engine.
type gauged struct {
	*server
	told map[runKey]*Placement
	// elsewhere are the other servers at which prompts were read of which this one is the
	// home, by the last shared part, newest last.
	elsewhere map[partKey][]holder
	// rests is until when the engine wants nothing from routers that it has asked for rest.
	rests map[string]time.Time
}

// holder is a server that has read a part.
type holder struct {
	server string
	at     time.Time
}

// runKey names a request: the router's life, and a number within it.
type runKey struct {
	router string
	number uint64
}

// Answer returns what a router asks of a server.
func (g *Gauge) Answer(q *wire.GaugeQuestion, now time.Time) *wire.GaugeAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(sumachead.ServerID(q.GetServer()), now)
	s.expire(now)
	return &wire.GaugeAnswer{
		Load: s.load(q.GetRouter(), now), Parts: s.held(q.GetParts()), FactorThousandths: int64(s.factor * thousand),
		Elsewhere: s.holders(q.GetParts(), now), RestMillis: s.restOfAll(now).Milliseconds(),
	}
}

// Note takes in what a router tells, in its order.
func (g *Gauge) Note(n *wire.GaugeNotes, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(sumachead.ServerID(n.GetServer()), now)
	for _, x := range n.GetNotes() {
		s.note(n.GetRouter(), x, now)
	}
}

// server returns a life of the engine. The caller holds mu.
func (g *Gauge) server(id sumachead.ServerID, now time.Time) *gauged {
	if g.servers == nil {
		g.servers = make(map[sumachead.ServerID]*gauged)
	}
	s := g.servers[id]
	if s == nil {
		s = &gauged{server: newServer(id), told: make(map[runKey]*Placement), elsewhere: make(map[partKey][]holder)}
		g.servers[id] = s
	}
	s.usedAt = now
	g.trim()
	return s
}

// trim forgets the life that was not used for longest where there are too many. The caller
// holds mu.
func (g *Gauge) trim() {
	if len(g.servers) <= keptServers {
		return
	}
	var oldest *gauged
	for _, s := range g.servers {
		if oldest == nil || s.usedAt.Before(oldest.usedAt) {
			oldest = s
		}
	}
	delete(g.servers, oldest.id)
}

// note takes in one note of a router.
func (s *gauged) note(router string, n *wire.GaugeNote, now time.Time) {
	switch x := n.GetNote().(type) {
	case *wire.GaugeNote_Run:
		s.begin(router, x.Run, now)
	case *wire.GaugeNote_Read:
		if l := s.told[runKey{router, x.Read.GetNumber()}]; l != nil && l.firstAt.IsZero() {
			l.firstAt = now
			s.noteSpeed(l.backlog+l.read, time.Duration(x.Read.GetTookMicros())*time.Microsecond)
			s.read(now)
		}
	case *wire.GaugeNote_Late:
		if l := s.told[runKey{router, x.Late}]; l != nil {
			l.late = true
		}
	case *wire.GaugeNote_NotRun:
		if l := s.told[runKey{router, x.NotRun}]; l != nil {
			s.unbring(l)
		}
	case *wire.GaugeNote_RestMillis:
		s.noteRest(router, time.Duration(x.RestMillis)*time.Millisecond, now)
	case *wire.GaugeNote_Ended:
		s.end(runKey{router, x.Ended}, now)
	case *wire.GaugeNote_Elsewhere:
		s.noteHolder(partKey(x.Elsewhere.GetPart()), x.Elsewhere.GetServer(), now)
	}
}

// noteRest notes that the engine wants nothing from a router for a time.
func (s *gauged) noteRest(router string, rest time.Duration, now time.Time) {
	if s.rests == nil {
		s.rests = make(map[string]time.Time)
	}
	s.rests[router] = moment.Later(s.rests[router], now.Add(rest))
}

// restOfAll returns for how much longer all routers should prefer other engines: as long as it
// rests from two of them. One alone may be asked since it sends too much.
func (s *gauged) restOfAll(now time.Time) time.Duration {
	var longest, second time.Duration
	for router, to := range s.rests {
		left := to.Sub(now)
		if left <= 0 {
			delete(s.rests, router)
			continue
		}
		second = max(second, min(left, longest))
		longest = max(longest, left)
	}
	return second
}

// noteHolder notes that a part is read at another server.
func (s *gauged) noteHolder(k partKey, server string, now time.Time) {
	if len(s.elsewhere) >= elsewhereMost && s.elsewhere[k] == nil {
		clear(s.elsewhere) // it fills again with what is in use
	}
	hs := slices.DeleteFunc(s.elsewhere[k], func(h holder) bool { return h.server == server })
	hs = append(hs, holder{server, now})
	s.elsewhere[k] = hs[max(len(hs)-holdersTold, 0):]
}

// holders returns the other servers that should have the last shared part of a prompt,
// newest first.
func (s *gauged) holders(keys []uint64, now time.Time) []string {
	if len(keys) < leastShared {
		return nil
	}
	var out []string
	for _, h := range slices.Backward(s.elsewhere[partKey(keys[len(keys)-leastShared])]) {
		if now.Sub(h.at) < holderLives {
			out = append(out, h.server)
		}
	}
	return out
}

// begin counts a request.
func (s *gauged) begin(router string, r *wire.GaugeRun, now time.Time) {
	l := &Placement{
		server: s.server, router: router, number: r.GetNumber(), worth: worth(r.GetWorth()), begun: now,
		work: &Work{
			Pause:    time.Duration(r.GetPauseMillis()) * time.Millisecond,
			Deadline: now.Add(time.Duration(r.GetDeadlineMicros()) * time.Microsecond),
		},
		estimate: estimate{read: time.Duration(r.GetReadMicros()) * time.Microsecond, backlog: s.backlog(now)},
	}
	s.told[runKey{router, r.GetNumber()}] = l
	s.runs = append(s.runs, l)
	s.busyUntil = moment.Later(s.busyUntil, now).Add(l.read)
	s.long.add(float64(r.GetLongThousandths())/thousand, now, longMemory)
	for _, k := range r.GetParts() {
		l.bring(partKey(k), now)
	}
}

// end takes a request off.
func (s *gauged) end(k runKey, now time.Time) {
	if l := s.told[k]; l != nil {
		delete(s.told, k)
		s.drop(l, now)
	}
}

// expire takes off requests whose callers' time is over: their routers have ended without
// a word.
func (s *gauged) expire(now time.Time) {
	for k, l := range s.told {
		if now.After(l.work.Deadline) {
			s.end(k, now)
		}
	}
}

// held returns how many parts are there, from the first on.
func (s *gauged) held(keys []uint64) uint32 {
	var n uint32
	for _, k := range keys {
		if _, ok := s.parts[partKey(k)]; !ok {
			break
		}
		n++
	}
	return n
}
