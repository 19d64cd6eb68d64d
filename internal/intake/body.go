package intake

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"sumachead"
)

const (
	// memoryRetryDelay is the time until the retry of a caller that was refused for lack
	// of memory: some bodies are released by then.
	memoryRetryDelay = 300 * time.Millisecond
	// initialBufferBytes is the initial buffer size for a body; the buffer doubles as
	// needed, so that a caller who announces a long one and does not send it takes little.
	initialBufferBytes = 16 << 10
	// DefaultBodyTimeout is the time within which a body must arrive: a long one over a slow
	// link.
	DefaultBodyTimeout = 30 * time.Second
)

// LimitBodyTime limits the time to read a request's body, until stop is called.
func LimitBodyTime(w http.ResponseWriter, timeout time.Duration) (stop func()) {
	c := http.NewResponseController(w)
	if c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return func() {} // not a network connection
	}
	return func() { _ = c.SetReadDeadline(time.Time{}) } // a closed connection fails anyway
}

// BodyMemory limits the bytes reserved for request bodies at a time.
type BodyMemory struct {
	// MaxBytes is the limit; 0 for no limit.
	MaxBytes int64
	// Timeout is the time within which a body must arrive; 0 selects the default.
	Timeout time.Duration
	// Accepting ends when the process accepts no more requests: bodies that have not arrived by then are
	// refused. It is nil for a process that always does.
	Accepting context.Context

	reserved atomic.Int64
}

// Body is a request body that was read completely.
type Body struct {
	Data []byte
	// HeaderBytes is the size of the request line and headers as sent.
	HeaderBytes int64

	memory *BodyMemory
	// reserved is the number of bytes reserved in memory for this body.
	reserved int64
}

// Release releases the body's memory. It must be called only once.
func (b *Body) Release() { b.memory.reserved.Add(-b.reserved) }

// Read reads a request's body if its headers and the body are within the limits, and it
// arrives in time. An error is a [*sumachead.Refusal]; no memory stays reserved then.
func (m *BodyMemory) Read(w http.ResponseWriter, r *http.Request, l Limits) (*Body, error) {
	l = l.withDefaults()
	n := headerSize(r)
	if n > l.HeaderBytes {
		return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonHeadersTooLarge, "the headers are too large", time.Time{})
	}
	if r.ContentLength > l.BodyBytes {
		return nil, refuseTooLarge()
	}
	b := &Body{HeaderBytes: n, memory: m}
	if r.ContentLength == 0 {
		return b, nil
	}
	stop := LimitBodyTime(w, cmp.Or(m.Timeout, DefaultBodyTimeout))
	defer stop()
	stillAccepting := m.endReadWithAccepting(w)
	err := b.read(r.Body, r.ContentLength, l.BodyBytes)
	if !stillAccepting() {
		err = sumachead.Refuse(sumachead.NotRun, sumachead.ReasonStopping, "the router is stopping, and the body has not arrived", time.Now())
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// endReadWithAccepting makes reads of a request's body fail when Accepting ends. The function that it returns
// ends that, and reports whether Accepting has not ended.
func (m *BodyMemory) endReadWithAccepting(w http.ResponseWriter) (stillAccepting func() bool) {
	if m.Accepting == nil {
		return func() bool { return true }
	}
	c, done := http.NewResponseController(w), make(chan struct{})
	stop := context.AfterFunc(m.Accepting, func() {
		defer close(done)
		_ = c.SetReadDeadline(time.Now()) // a connection without deadlines is that of a test
	})
	return func() bool {
		if stop() {
			return true
		}
		<-done
		return false
	}
}

// read reads to the end, or until there are more than maxBytes. The length is below 0 if
// it is unknown. After an error, the caller must call Release.
func (b *Body) read(from io.Reader, length, maxBytes int64) error {
	size := int64(initialBufferBytes)
	if length >= 0 {
		size = min(size, length+1) // one more byte to detect the end
	}
	if err := b.reserve(size); err != nil {
		return err
	}
	b.Data = make([]byte, 0, size)
	for {
		if len(b.Data) == cap(b.Data) {
			more := int64(cap(b.Data))
			if length >= 0 {
				more = max(min(more, length+1-more), 1)
			}
			if err := b.reserve(more); err != nil {
				return err
			}
			b.Data = append(make([]byte, 0, int64(cap(b.Data))+more), b.Data...)
		}
		n, err := from.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if int64(len(b.Data)) > maxBytes {
			return refuseTooLarge()
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBadRequest, "the body broke off", time.Time{})
		}
	}
}

// reserve reserves n more bytes, even if it returns an error because they exceed the limit.
func (b *Body) reserve(n int64) error {
	b.reserved += n
	if reserved := b.memory.reserved.Add(n); b.memory.MaxBytes > 0 && reserved > b.memory.MaxBytes {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonRouterFull, "callers' bodies take all memory that they may", time.Now().Add(memoryRetryDelay))
	}
	return nil
}

// refuseTooLarge returns the refusal of a body over its limit.
func refuseTooLarge() error {
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonTooLarge, "the body is too large", time.Time{})
}

// headerSize returns the size of a request's line and headers as sent, except for
// optional whitespace.
func headerSize(r *http.Request) int64 {
	const line = 4 // colon, space, CR and LF
	n := int64(len(r.Method)+len(r.RequestURI)+len(r.Proto)) + line + int64(len("Host")+len(r.Host)) + line
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name)+len(v)) + line
		}
	}
	return n
}
