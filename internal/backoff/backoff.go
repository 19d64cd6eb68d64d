// Package backoff tracks the backoff windows that backend servers have requested.
//
// A server that rejects a request may ask the process that sent it to send nothing for some time;
// the request does not apply to other processes. A window belongs to the incarnation that requested
// it and never shrinks. Times are read from [sumachead.Clock], which keeps running while the host is
// suspended.
package backoff

import (
	"sync"
	"time"

	"sumachead"
)

// Table holds the backoff windows of servers. It is safe for concurrent use. Set the exported
// field before the first call.
type Table struct {
	Clock sumachead.Clock

	mu sync.Mutex // guards until
	// until is when each server's window ends.
	until map[sumachead.ServerID]sumachead.BootTime
}

// Set starts a backoff window for a server. It reports whether the new window ends later than the
// current one; otherwise the current one stays.
func (t *Table) Set(id sumachead.ServerID, window time.Duration) (extended bool) {
	if window <= 0 {
		return false
	}
	until := t.Clock.Now().Add(window)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.until == nil {
		t.until = make(map[sumachead.ServerID]sumachead.BootTime)
	}
	if until <= t.until[id] {
		return false
	}
	t.until[id] = until
	return true
}

// Remaining returns how much of a server's backoff window is left, or 0 if there is none.
func (t *Table) Remaining(id sumachead.ServerID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.until[id]
	if !ok {
		return 0 // the common case: avoids reading the clock
	}
	return max(until.Sub(t.Clock.Now()), 0)
}

// Count returns how many servers are in a backoff window.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, n := t.Clock.Now(), 0
	for _, until := range t.until {
		if until > now {
			n++
		}
	}
	return n
}

// Expire removes the windows that have ended.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for id, until := range t.until {
		if until <= now {
			delete(t.until, id)
		}
	}
}
