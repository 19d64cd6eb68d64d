package agent

import (
	"sync"
	"time"
)

const (
	// suspectPart is the part of a pool's stuck_after, one in so many, for which
	// a busy server may bring nothing at all before new work goes elsewhere.
	suspectPart = 2
	// firstRest and longestRest bound how long a server that was found stuck
	// gets no work; the time doubles until an answer is whole again.
	firstRest   = time.Second
	longestRest = 30 * time.Second
)

// health judges the backend server by the bytes that it sends, over all
// requests: one that is stuck is found by missing tokens, not by a time-out on
// the whole answer.
type health struct {
	mu       sync.Mutex // guards the fields below
	running  int
	lastByte time.Time
	rest     time.Duration
	restTo   time.Time
}

// began notes that a request was sent to the server.
func (h *health) began(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == 0 {
		h.lastByte = now
	}
	h.running++
}

// ended notes a request's end.
func (h *health) ended(whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if whole {
		h.rest, h.restTo = 0, time.Time{}
	}
}

// heard notes that the server sent something.
func (h *health) heard(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastByte = now
}

// stuck notes that a request was given up for want of bytes. Requests that were
// stuck together count once.
func (h *health) stuck(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.restTo) {
		return
	}
	h.rest = min(max(2*h.rest, firstRest), longestRest)
	h.restTo = now.Add(h.rest)
}

// suspect reports whether new work should go elsewhere, and until when.
func (h *health) suspect(stuckAfter time.Duration, now time.Time) (until time.Time, yes bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.restTo) {
		return h.restTo, true
	}
	silent := stuckAfter / suspectPart
	return now.Add(silent), h.running > 0 && now.Sub(h.lastByte) > silent
}
