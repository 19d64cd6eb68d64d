package gateway

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// maxBufferedBytes limits a response that is read completely before it is passed on.
	maxBufferedBytes = 8 << 20
	// maxEventBytes limits an event of a stream, which is passed on once it is complete.
	maxEventBytes = 256 << 10
	// minBufferBytes is the size of a buffer that needs no reservation.
	minBufferBytes = 16 << 10
	// defaultResponseBytes limits the large responses that are read at a time.
	defaultResponseBytes = 64 << 20
)

var (
	errResponseTooLarge = errors.New("the response is too large")
	errEventTooLarge    = errors.New("an event of the response is too large")
)

// responseMemory limits the memory of all responses that are read before they are passed on, beyond
// minBufferBytes for each. Set the exported field before the first call.
type responseMemory struct {
	MaxBytes int64

	reserved atomic.Int64
}

// Reserved returns the number of reserved bytes.
func (m *responseMemory) Reserved() int64 { return m.reserved.Load() }

// reserve reserves memory and reports whether there was enough.
func (m *responseMemory) reserve(n int64) bool {
	if m.reserved.Add(n) <= m.MaxBytes {
		return true
	}
	m.reserved.Add(-n)
	return false
}

// read reads a response to its end. The caller must call release with the number of reserved bytes, also
// after an error, once it no longer uses the body.
func (m *responseMemory) read(r io.Reader) (body []byte, reserved int64, err error) {
	body = make([]byte, 0, minBufferBytes)
	for {
		if len(body) == cap(body) {
			n := int64(cap(body))
			if n >= maxBufferedBytes || !m.reserve(n) {
				return nil, reserved, errResponseTooLarge
			}
			reserved += n
			body = slices.Grow(body, cap(body))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, reserved, nil
		}
		if err != nil {
			return body, reserved, err
		}
	}
}

// release releases reserved memory.
func (m *responseMemory) release(n int64) { m.reserved.Add(-n) }
