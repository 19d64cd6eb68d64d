package gateway

import (
	"sync"
	"time"

	"sumachead/internal/bucket"
)

// retryShare is the share of the fleet's retry budget that routers use. The rest covers what they
// cannot know about each other.
const retryShare = 0.6

// retryBudget limits the retries of this router so that all routers together stay within the
// fleet's limit in any window: a token bucket that is credited with each request and holds this
// router's share of the fixed number.
type retryBudget struct {
	// ratio and extra are the fleet's limit: ratio retries per request, plus extra in any window.
	ratio  float64
	extra  float64
	window time.Duration

	mu     sync.Mutex // guards bucket
	bucket bucket.Bucket
}

// capacity returns how many retries the bucket holds with a number of routers. With many routers
// that is less than one, and take then decides at random.
func (a *retryBudget) capacity(routers int) float64 {
	return a.extra * retryShare / float64(routers)
}

// rate returns how many retries per second are refilled: half of the bucket's capacity per window,
// so that with a full bucket at its start a window allows one and a half times retryShare of the
// fixed number.
func (a *retryBudget) rate(routers int) float64 {
	return a.capacity(routers) / a.window.Seconds() / 2
}

// refill credits the time since the last call. The caller holds mu.
func (a *retryBudget) refill(now time.Time, routers int) {
	a.bucket.Refill(a.rate(routers), a.capacity(routers), now)
}

// recordRequest records a request that is sent for the first time.
func (a *retryBudget) recordRequest(now time.Time, routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	a.bucket.Add(a.ratio*retryShare, a.capacity(routers))
}

// take reports whether a request may be retried, and charges the budget for it.
func (a *retryBudget) take(now time.Time, routers int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	return a.bucket.Take(a.capacity(routers))
}

// nextAt returns when the budget should allow another retry.
func (a *retryBudget) nextAt(now time.Time, routers int) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now, routers)
	return now.Add(a.bucket.TimeUntil(1, a.rate(routers)))
}
