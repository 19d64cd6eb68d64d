package gateway

import (
	"sync"
	"time"

	"sumachead/internal/bucket"
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

	mu     sync.Mutex // guards bucket
	bucket bucket.Bucket
}

// most returns how many repeats the bucket holds with so many routers. With many
// routers that is less than one, and take then makes it a chance.
func (a *retryAllowance) most(routers int) float64 {
	return a.extra * retryShare / float64(routers)
}

// rate returns how many repeats a second come back: half of what the bucket holds in a
// window, so that with a full one at its start it is one and a half times retryShare of
// the fixed number.
func (a *retryAllowance) rate(routers int) float64 {
	return a.most(routers) / a.window.Seconds() / 2
}

// refill earns what the time since the last call is worth. The caller holds mu.
func (a *retryAllowance) refill(now time.Time, routers int) {
	a.bucket.Fill(a.rate(routers), a.most(routers), now)
}

// note takes in a request that is sent for the first time.
func (a *retryAllowance) note(now time.Time, routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	a.bucket.Add(a.ratio*retryShare, a.most(routers))
}

// take reports whether a request may be sent again, and uses up the allowance
// for it.
func (a *retryAllowance) take(now time.Time, routers int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	return a.bucket.Take(a.most(routers))
}

// nextAt returns when the allowance should hold another repeat.
func (a *retryAllowance) nextAt(now time.Time, routers int) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	return now.Add(a.bucket.Until(1, a.rate(routers)))
}
