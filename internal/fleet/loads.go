package fleet

import (
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// loadLives is how long a router's report counts: some reports.
const loadLives = time.Second

// tellFrom is from how many queued tokens on a load is worth telling: less is read
// within some milliseconds.
const tellFrom = 500

// routerLoads is what one router last told, and when.
type routerLoads struct {
	loads []*wire.ServerLoad
	at    time.Time
}

// loads is what routers have under way at backend servers; soft state of the
// leader.
type loads struct {
	mu      sync.Mutex // guards routers
	routers map[sumachead.NodeID]routerLoads
}

func newLoads() *loads { return &loads{routers: make(map[sumachead.NodeID]routerLoads)} }

// exchange takes in one router's part and returns that of the others.
func (l *loads) exchange(r *wire.LoadReport, now time.Time) *wire.LoadReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	self := sumachead.NodeID(r.GetNode())
	l.routers[self] = routerLoads{r.GetLoads(), now}
	sums := make(map[string]*wire.ServerLoad)
	reply := &wire.LoadReply{}
	for n, x := range l.routers {
		if now.Sub(x.at) > loadLives {
			delete(l.routers, n)
			continue
		}
		if n == self {
			continue
		}
		for _, s := range x.loads {
			if s.GetQueued() < tellFrom {
				continue
			}
			sum := sums[s.GetId()]
			if sum == nil {
				sum = &wire.ServerLoad{Id: s.GetId()}
				sums[s.GetId()] = sum
				reply.Loads = append(reply.Loads, sum)
			}
			sum.Queued += s.GetQueued()
			sum.Running += s.GetRunning()
		}
	}
	return reply
}
