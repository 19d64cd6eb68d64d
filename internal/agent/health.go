package agent

import (
	"sync"
	"time"
)

const (
	// silenceDivisor divides a pool's stuck_after: a busy server that sends nothing
	// for that fraction of it gets no new requests.
	silenceDivisor = 2
	// minStuckBackoff and maxStuckBackoff are the bounds of the backoff of a stuck server.
	// It doubles each time until a response completes.
	minStuckBackoff = time.Second
	maxStuckBackoff = 30 * time.Second
)

// health detects a stuck backend server by the bytes that it sends, over all
// requests: by missing tokens rather than by a timeout of the complete response.
type health struct {
	mu           sync.Mutex // guards the fields below
	running      int
	lastByte     time.Time
	backoff      time.Duration
	backoffUntil time.Time
}

// requestStarted records that a request was sent to the server.
func (h *health) requestStarted(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == 0 {
		h.lastByte = now
	}
	h.running++
}

// requestEnded records the end of a request, and whether its response was complete.
func (h *health) requestEnded(complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if complete {
		h.backoff, h.backoffUntil = 0, time.Time{}
	}
}

// dataReceived records that the server sent something.
func (h *health) dataReceived(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastByte = now
}

// requestStuck records that a request was cancelled because no bytes arrived. Requests
// that get stuck during a backoff do not extend it.
func (h *health) requestStuck(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.backoffUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, minStuckBackoff), maxStuckBackoff)
	h.backoffUntil = now.Add(h.backoff)
}

// presumedStuck reports whether the server is presumed stuck and should get no new
// requests, and until when.
func (h *health) presumedStuck(stuckAfter time.Duration, now time.Time) (until time.Time, yes bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.backoffUntil) {
		return h.backoffUntil, true
	}
	silent := stuckAfter / silenceDivisor
	return now.Add(silent), h.running > 0 && now.Sub(h.lastByte) > silent
}
