package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"sync/atomic"
)

const (
	// minHeadBytes is the memory for a head that needs no reservation.
	minHeadBytes = 16 << 10
	// headCopies is how often the bytes of a head are held while it is parsed, and headLineBytes the
	// overhead of a line: an entry of the map and its slice.
	headCopies    = 2
	headLineBytes = 128
)

// ErrNoMemory is returned if the responses that are being read leave no memory for a response.
var ErrNoMemory = errors.New("the responses of backend servers take all memory that they may")

// Memory limits the memory that all responses take together, beyond what each needs anyway. It is safe for
// concurrent use. Set the exported field before the first call.
type Memory struct {
	MaxBytes int64

	reserved atomic.Int64
}

// Reserved returns the number of reserved bytes.
func (m *Memory) Reserved() int64 { return m.reserved.Load() }

// Reservation is the part of a [Memory] that one holder has reserved. It is not safe for concurrent use.
type Reservation struct {
	memory *Memory
	bytes  int64
}

// NewReservation returns an empty reservation; without a Memory it has no limit.
func NewReservation(m *Memory) Reservation { return Reservation{memory: m} }

// Resize changes the reservation to n bytes. It returns [ErrNoMemory], and changes nothing, if there are too few.
func (r *Reservation) Resize(n int64) error {
	if r.memory == nil {
		return nil
	}
	more := n - r.bytes
	if total := r.memory.reserved.Add(more); more > 0 && total > r.memory.MaxBytes {
		r.memory.reserved.Add(-more)
		return ErrNoMemory
	}
	r.bytes = n
	return nil
}

// Release releases the reservation.
func (r *Reservation) Release() { _ = r.Resize(0) } // never fails to shrink

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
