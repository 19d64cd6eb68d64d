// Package ratelimit keeps the request limits that backend servers name in their answers, and
// bounds what all routers together send to such a server.
//
// A limit holds for the sum over all routers. A [Table] holds what one process knows of the
// limits; the newest observation wins, whoever made it, so that processes agree once they have
// exchanged theirs.
package ratelimit

import (
	"sync"
	"time"

	"sumachead"
)

// minAbsence is how long a server must have named no limit before its limit ends: it may name
// it in some of its answers only.
const minAbsence = time.Second

// Observation is the request limit of one incarnation of a server as of a time.
type Observation struct {
	// Rate is 0 for no limit.
	Rate sumachead.RequestRate
	// At is when it was known to hold.
	At sumachead.BootTime
}

// Table holds the newest observation for each incarnation of a server. It is safe for concurrent
// use. The zero value is ready.
type Table struct {
	mu sync.Mutex // guards limits
	// limits has no entry for servers that are not known to have named a limit.
	limits map[sumachead.ServerID]Observation
}

// Set records that an answer received at a time named a limit. It reports whether the rate
// differs from the one known.
func (t *Table) Set(id sumachead.ServerID, r sumachead.RequestRate, at sumachead.BootTime) (changed bool) {
	return t.Merge(id, Observation{r, at})
}

// Clear records that an answer to a request sent at a time named no limit. It reports whether
// that ended a limit.
func (t *Table) Clear(id sumachead.ServerID, sentAt sumachead.BootTime) (ended bool) {
	o := t.Get(id)
	if o.Rate == 0 || sentAt.Sub(o.At) < minAbsence {
		return false
	}
	return t.Merge(id, Observation{At: sentAt})
}

// Merge records an observation of this or another process if it is newer than the one known. It
// reports whether the rate changed.
func (t *Table) Merge(id sumachead.ServerID, o Observation) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.limits[id]
	if ok && o.At <= known.At {
		return false
	}
	if t.limits == nil {
		t.limits = make(map[sumachead.ServerID]Observation)
	}
	t.limits[id] = o
	return o.Rate != known.Rate
}

// Get returns what is known of a server; the zero value for one that has named no limit.
func (t *Table) Get(id sumachead.ServerID) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits[id]
}

// Count returns how many servers are limited.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, o := range t.limits {
		if o.Rate > 0 {
			n++
		}
	}
	return n
}

// Len returns how many servers something is known of.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.limits)
}

// Expire drops the servers that gone reports as gone; it must not call the table.
func (t *Table) Expire(gone func(sumachead.ServerID, Observation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.limits {
		if gone(id, o) {
			delete(t.limits, id)
		}
	}
}
