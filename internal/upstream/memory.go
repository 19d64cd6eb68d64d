package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// minHeadBytes is the memory for a head that needs no reservation.
	minHeadBytes = 16 << 10
	// headCopies is how often the bytes of a head are held while it is parsed, and headLineBytes the
	// overhead of a line: an entry of the map and its slice.
	headCopies    = 2
	headLineBytes = 128
	// revokeTimeout bounds the wait for a revoked reservation.
	revokeTimeout = 100 * time.Millisecond
)

// ErrNoMemory is returned if the responses that are being read leave no memory for a response.
var ErrNoMemory = errors.New("the responses of backend servers take all memory that they may")

// Memory limits the memory that all responses take together, beyond what each needs anyway. If it is short, the
// largest reservation is revoked for a smaller one. It is safe for concurrent use. Set the exported field before
// the first call.
type Memory struct {
	MaxBytes int64

	mu       sync.Mutex // guards the fields below, and those of the reservations
	reserved int64
	// revokedBytes is the part of reserved that holders have to release.
	revokedBytes int64
	// holders are the reservations that are not empty.
	holders map[*Reservation]struct{}
	// changed is closed when a reservation is released or revoked; nil if nobody waits.
	changed chan struct{}
}

// Reserved returns the number of reserved bytes.
func (m *Memory) Reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserved
}

// Reservation is the part of a [Memory] that one holder has reserved. Its methods are not safe for concurrent use.
type Reservation struct {
	memory *Memory
	// revoke makes the holder stop; nil if the reservation is never revoked.
	revoke func()
	// size is what the holder has asked for.
	size int64

	// bytes is what is reserved; guarded by memory.mu, as the fields below.
	bytes           int64
	revoked, pinned bool
}

// NewReservation returns an empty reservation; without a Memory it has no limit. The function revoke makes the
// holder stop and release what it holds; nil if it can't be stopped.
func NewReservation(m *Memory, revoke func()) *Reservation {
	return &Reservation{memory: m, revoke: revoke}
}

// Resize changes the reservation to n bytes, up to revokeTimeout after a larger one was revoked for it. It returns
// [ErrNoMemory], and changes nothing, if there are too few, or if the reservation was revoked.
func (r *Reservation) Resize(n int64) error {
	m := r.memory
	if m == nil || n == r.size {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var timeout <-chan time.Time
	for n > 0 {
		if r.revoked {
			return ErrNoMemory
		}
		missing := m.reserved + n - r.bytes - m.MaxBytes
		if n < r.bytes || missing <= 0 {
			break
		}
		if missing > m.revokedBytes {
			if !m.revokeLargest(n) {
				return ErrNoMemory
			}
			continue
		}
		if timeout == nil {
			t := time.NewTimer(revokeTimeout)
			defer t.Stop()
			timeout = t.C
		}
		if !m.awaitChange(timeout) {
			return ErrNoMemory
		}
	}
	m.set(r, n)
	r.size = n
	return nil
}

// awaitChange waits until a reservation is released or revoked, and reports whether that was before the timeout.
// The caller holds mu, which is released meanwhile.
func (m *Memory) awaitChange(timeout <-chan time.Time) bool {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	changed := m.changed
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-changed:
		return true
	case <-timeout:
		return false
	}
}

// notifyWaiting wakes those that wait for a change. The caller holds mu.
func (m *Memory) notifyWaiting() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Release releases the reservation.
func (r *Reservation) Release() { _ = r.Resize(0) } // never fails to shrink

// Pin keeps the reservation from being revoked until Unpin is called. It returns [ErrNoMemory] if that has happened.
func (r *Reservation) Pin() error {
	if r.size == 0 {
		return nil
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.revoked {
		return ErrNoMemory
	}
	r.pinned = true
	return nil
}

// Unpin ends the effect of Pin.
func (r *Reservation) Unpin() {
	if r.size == 0 {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.pinned = false
}

// set sets what a reservation holds. The caller holds mu.
func (m *Memory) set(r *Reservation, n int64) {
	m.reserved += n - r.bytes
	if r.revoked {
		m.revokedBytes += n - r.bytes
	}
	if n < r.bytes {
		m.notifyWaiting()
	}
	r.bytes = n
	if n == 0 {
		delete(m.holders, r)
		return
	}
	if m.holders == nil {
		m.holders = make(map[*Reservation]struct{})
	}
	m.holders[r] = struct{}{}
}

// revokeLargest revokes the largest reservation of more than n bytes, and reports whether there is one. The
// caller holds mu.
func (m *Memory) revokeLargest(n int64) bool {
	var largest *Reservation
	for r := range m.holders {
		if r.revoke != nil && !r.pinned && !r.revoked && r.bytes > n && (largest == nil || r.bytes > largest.bytes) {
			largest = r
		}
	}
	if largest == nil {
		return false
	}
	largest.revoked = true
	m.revokedBytes += largest.bytes
	m.notifyWaiting()
	go largest.revoke()
	return true
}

// partialHeadSize returns the memory that a part of a head needs, which may be followed by a part of the body.
func partialHeadSize(part []byte) int64 {
	head, _, _ := bytes.Cut(part, []byte("\r\n\r\n"))
	return headCopies*int64(len(head)) + headLineBytes*int64(bytes.Count(head, []byte{'\n'}))
}

// headSize returns the memory that a parsed head needs beyond minHeadBytes.
func headSize(h http.Header) int64 {
	size := int64(0)
	for name, values := range h {
		for _, v := range values {
			size += headCopies*int64(len(name)+len(v)) + headLineBytes
		}
	}
	return max(size-minHeadBytes, 0)
}
