// Package ratelimit tracks the request limits that backend servers specify in their responses, and
// bounds the requests that all routers together send to such a server.
//
// A limit applies to the sum over all routers. A [Table] holds the limits that one process knows. The
// newest observation wins, whichever process made it, so that processes agree once they have
// exchanged their observations.
package ratelimit

import (
	"sync"
	"time"

	"sumachead"
)

// minAbsence is how long a server must have specified no limit before its limit ends, since it may
// specify it in only some of its responses.
const minAbsence = time.Second

// Observation is the request limit of one incarnation of a server at a time.
type Observation struct {
	// Rate is the limit, 0 for none.
	Rate sumachead.RequestRate
	// At is when the limit was observed.
	At sumachead.BootTime
}

// Table holds the newest observation for each incarnation of a server. It is safe for concurrent
// use; the zero value is ready to use.
type Table struct {
	mu sync.Mutex // guards limits
	// limits has no entry for servers that are not known to have specified a limit.
	limits map[sumachead.ServerID]Observation
}

// Set records that a response received at a time specified a limit. It reports whether the rate has
// changed.
func (t *Table) Set(id sumachead.ServerID, r sumachead.RequestRate, at sumachead.BootTime) (changed bool) {
	return t.Merge(id, Observation{r, at})
}

// Clear records that a response to a request sent at a time specified no limit. It reports whether
// that ended a limit.
func (t *Table) Clear(id sumachead.ServerID, sentAt sumachead.BootTime) (ended bool) {
	o := t.Get(id)
	if o.Rate == 0 || sentAt.Sub(o.At) < minAbsence {
		return false
	}
	return t.Merge(id, Observation{At: sentAt})
}

// Merge records an observation of this or another process if it is newer than the known one. It
// reports whether the rate has changed.
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

// Get returns the newest observation for a server, or the zero value if it has specified no limit.
func (t *Table) Get(id sumachead.ServerID) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits[id]
}

// Count returns the number of servers with a limit.
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

// Len returns the number of servers with an observation, including those whose limit has ended.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.limits)
}

// Expire removes the servers for which gone returns true; gone must not call the table.
func (t *Table) Expire(gone func(sumachead.ServerID, Observation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.limits {
		if gone(id, o) {
			delete(t.limits, id)
		}
	}
}
