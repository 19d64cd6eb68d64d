package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"sumachead"
	"sumachead/api/wire"
)

// loadLives is how long a router's report counts: some reports.
const loadLives = time.Second

// routerLoads is what one router last told, and when.
type routerLoads struct {
	loads []*wire.ServerLoad
	at    time.Time
}

// broughtKept bounds the parts that are kept for routers to be told of: some seconds of
// them, so that a router that misses some exchanges misses none.
const broughtKept = 4096

// broughtPart is a shared part of a prompt that a server has read for a router.
type broughtPart struct {
	router sumachead.NodeID
	server string
	part   uint64
}

// loads is what routers have under way at backend servers, and what these have read;
// soft state of the leader.
type loads struct {
	// history names this state: numbers of another leader's mean nothing here.
	history string

	mu      sync.Mutex // guards the fields below
	routers map[sumachead.NodeID]routerLoads
	// brought are the newest parts, and first the number of the oldest of them.
	brought []broughtPart
	first   uint64
}

func newLoads() *loads {
	return &loads{history: uuid.NewString(), routers: make(map[sumachead.NodeID]routerLoads), first: 1}
}

// exchange takes in one router's part and returns that of the others.
func (l *loads) exchange(r *wire.LoadReport, now time.Time) *wire.LoadReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	self := sumachead.NodeID(r.GetNode())
	l.routers[self] = routerLoads{r.GetLoads(), now}
	sums := make(map[string]*wire.ServerLoad)
	reply := &wire.LoadReply{History: l.history, Brought: l.broughtAfter(r)}
	l.bring(self, r.GetBrought())
	reply.Seen = l.first + uint64(len(l.brought)) - 1
	for n, x := range l.routers {
		if now.Sub(x.at) > loadLives {
			delete(l.routers, n)
			continue
		}
		if n == self {
			continue
		}
		for _, s := range x.loads {
			sum := sums[s.GetId()]
			if sum == nil {
				sum = &wire.ServerLoad{Id: s.GetId()}
				sums[s.GetId()] = sum
				reply.Loads = append(reply.Loads, sum)
			}
			addLoad(sum, s)
		}
	}
	return reply
}

// addLoad adds one router's part to a sum.
func addLoad(sum, s *wire.ServerLoad) {
	sum.Running += s.GetRunning()
	sum.ReadMillis += s.GetReadMillis()
	sum.AtRisk += s.GetAtRisk()
	sum.LongThousandths += s.GetLongThousandths()
	if p := s.GetPauseMillis(); p > 0 && (sum.PauseMillis == 0 || p < sum.PauseMillis) {
		sum.PauseMillis = p
	}
}

// broughtAfter lists what servers have read for other routers after what a router has
// seen. The caller holds mu.
func (l *loads) broughtAfter(r *wire.LoadReport) []*wire.ServerParts {
	from := l.first
	if r.GetHistory() == l.history {
		from = max(from, r.GetSeen()+1)
	}
	at := make(map[string]*wire.ServerParts)
	var out []*wire.ServerParts
	for _, b := range l.brought[min(from-l.first, uint64(len(l.brought))):] {
		if string(b.router) == r.GetNode() {
			continue
		}
		s := at[b.server]
		if s == nil {
			s = &wire.ServerParts{Id: b.server}
			at[b.server] = s
			out = append(out, s)
		}
		s.Parts = append(s.Parts, b.part)
	}
	return out
}

// bring keeps what servers have read for a router. The caller holds mu.
func (l *loads) bring(router sumachead.NodeID, list []*wire.ServerParts) {
	for _, s := range list {
		for _, p := range s.GetParts() {
			l.brought = append(l.brought, broughtPart{router, s.GetId(), p})
		}
	}
	if over := len(l.brought) - broughtKept; over > 0 {
		l.brought = slices.Delete(l.brought, 0, over)
		l.first += uint64(over)
	}
}
