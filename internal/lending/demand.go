package lending

import (
	"math"
	"sync"
	"time"

	"sumachead"
)

const (
	// minHoldRate is the demand, in requests per second, from which a router holds a
	// workspace's tokens itself. Below minKeepRate it borrows again. A holder with this demand
	// has more available than one request needs, and few routers can reach it for the same
	// workspace, so that its tokens are not split too finely. Callers of a busy workspace that
	// use one router also avoid a call per request. When a small router, one of 102, borrowed
	// for each of 50 requests per second of one workspace, 57 percent of them were refused.
	minHoldRate = 4.0
	minKeepRate = 2.0
	// demandTimeConstant is the time constant of the demand average, the same as in a wallet.
	demandTimeConstant = 4 * time.Second
)

// demand tracks a router's own demand for tokens by workspace. The zero value is ready to use.
type demand struct {
	mu          sync.Mutex // guards byWorkspace
	byWorkspace map[sumachead.WorkspaceID]*workspaceDemand
}

// workspaceDemand is the demand for one workspace.
type workspaceDemand struct {
	// rate is in requests per second, as of at.
	rate float64
	at   time.Time
	// holds is set while the router holds the workspace's tokens itself.
	holds bool
}

// record counts a request and reports whether the router should hold the workspace's tokens.
func (d *demand) record(id sumachead.WorkspaceID, now time.Time) (holds bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byWorkspace == nil {
		d.byWorkspace = make(map[sumachead.WorkspaceID]*workspaceDemand)
	}
	w := d.byWorkspace[id]
	if w == nil {
		w = &workspaceDemand{at: now}
		d.byWorkspace[id] = w
	}
	w.rate = w.rate*math.Exp(-now.Sub(w.at).Seconds()/demandTimeConstant.Seconds()) + 1/demandTimeConstant.Seconds()
	w.at = now
	switch {
	case w.rate >= minHoldRate:
		w.holds = true
	case w.rate < minKeepRate:
		w.holds = false
	}
	return w.holds
}
