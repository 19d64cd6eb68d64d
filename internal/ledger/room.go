package ledger

import (
	"sync"
	"time"
)

// Room tells those who wait for tokens when some may have become free. The
// zero value is ready for use.
type Room struct {
	mu sync.Mutex // guards ch
	ch chan struct{}
}

// Next returns a channel that closes when tokens may have become free.
func (r *Room) Next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ch == nil {
		r.ch = make(chan struct{})
	}
	return r.ch
}

// Freed wakes those who wait.
func (r *Room) Freed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ch != nil {
		close(r.ch)
		r.ch = nil
	}
}

// Await waits until fits holds, at the latest until the deadline; it reports
// whether fits held.
func (r *Room) Await(deadline time.Time, fits func() bool) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		next := r.Next()
		if fits() {
			return true
		}
		select {
		case <-next:
		case <-timer.C:
			return false
		}
	}
}
