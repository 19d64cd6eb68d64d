package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

// retryShare is the part of the fleet's allowance that routers use. The rest is for
// what they can't know of each other.
const retryShare = 0.6

// retryAllowance bounds what this router sends again, so that all routers
// together stay within the fleet's bound in any window: a bucket that earns with
// each request, and holds this router's part of the fixed number.
type retryAllowance struct {
	// ratio and extra are the fleet's bound: so many repeats for each request, and
	// so many more in any window.
	ratio  float64
	extra  float64
	window time.Duration

	mu sync.Mutex // guards the fields below
	// tokens is how many repeats may be sent now, filled when that was last
	// brought up to date.
	tokens float64
	filled time.Time
}

// most returns how many repeats the bucket holds with so many routers. With many
// routers that is less than one, and take then makes it a chance.
func (a *retryAllowance) most(routers int) float64 {
	return a.extra * retryShare / float64(routers)
}

// refill earns what the time since the last call is worth. The caller holds mu.
func (a *retryAllowance) refill(now time.Time, routers int) {
	most := a.most(routers)
	if a.filled.IsZero() {
		a.tokens = most
	} else {
		// Half of what the bucket holds comes back in a window: with a full one
		// at its start, one and a half times retryShare of the fixed number.
		a.tokens += most * now.Sub(a.filled).Seconds() / a.window.Seconds() / 2
	}
	a.filled = now
	a.tokens = min(a.tokens, most)
}

// note takes in a request that is sent for the first time.
func (a *retryAllowance) note(now time.Time, routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	a.tokens = min(a.tokens+a.ratio*retryShare, a.most(routers))
}

// take reports whether a request may be sent again, and uses up the allowance
// for it. A bucket that can't hold a whole repeat lends one by chance, with the
// probability of the part that it holds, and earns it back.
func (a *retryAllowance) take(now time.Time, routers int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	if a.tokens < 1 && (a.most(routers) >= 1 || rand.Float64() >= a.tokens) {
		return false
	}
	a.tokens--
	return true
}

// nextAt returns when the allowance should hold another repeat.
func (a *retryAllowance) nextAt(now time.Time, routers int) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	perSecond := a.most(routers) / a.window.Seconds() / 2
	if perSecond <= 0 || a.tokens >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - a.tokens) / perSecond * float64(time.Second)))
}
