package ledger

import (
	"sync"
	"time"
)

// Notifier wakes goroutines that wait for tokens when some may have become
// available. The zero value is ready for use.
type Notifier struct {
	mu sync.Mutex // guards ch
	ch chan struct{}
}

// Changed returns a channel that is closed by the next call of Broadcast.
func (r *Notifier) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ch == nil {
		r.ch = make(chan struct{})
	}
	return r.ch
}

// Broadcast wakes all waiting goroutines.
func (r *Notifier) Broadcast() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ch != nil {
		close(r.ch)
		r.ch = nil
	}
}

// Await waits until cond is true or the deadline has passed, and reports whether
// cond was true. It evaluates cond after each Broadcast.
func (r *Notifier) Await(deadline time.Time, cond func() bool) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		next := r.Changed()
		if cond() {
			return true
		}
		select {
		case <-next:
		case <-timer.C:
			return false
		}
	}
}
