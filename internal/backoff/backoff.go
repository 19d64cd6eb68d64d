// Package backoff keeps until when backend servers want nothing from this process.
//
// A server that turns a request away may ask to be left alone for a time. It asks the process
// that sent the request, and no other: the same server may take what others send. So a
// [Table] belongs to one process. What a server asked for holds for the life that asked, and
// for nothing less than that time: a shorter wish that comes later does not end a longer one.
// Times are by [sumachead.Clock], since a rest goes on while this host is suspended.
package backoff

import (
	"sync"
	"time"

	"sumachead"
)

// Table holds the wishes of backend servers. It is safe for concurrent use. Set the exported
// field before the first call.
type Table struct {
	Clock sumachead.Clock

	mu sync.Mutex // guards until
	// until is until when lives of servers want nothing.
	until map[sumachead.ServerID]sumachead.BootTime
}

// Ask takes in that a life of a server wants nothing for a time. It reports whether that is
// longer than what was known.
func (t *Table) Ask(id sumachead.ServerID, rest time.Duration) (longer bool) {
	if rest <= 0 {
		return false
	}
	until := t.Clock.Now().Add(rest)
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

// Left returns for how much longer a life of a server wants nothing; 0 for one that may be
// sent to.
func (t *Table) Left(id sumachead.ServerID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.until[id]
	if !ok {
		return 0 // without a look at the clock, since that is so for nearly all
	}
	return max(until.Sub(t.Clock.Now()), 0)
}

// Count returns how many servers want nothing at present.
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

// Forget drops what is over.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for id, until := range t.until {
		if until <= now {
			delete(t.until, id)
		}
	}
}
