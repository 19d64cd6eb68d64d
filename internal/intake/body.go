package intake

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"sumachead"
)

const (
	// comeBack is how long a caller that was refused for want of memory should wait:
	// some bodies are done with by then.
	comeBack = 300 * time.Millisecond
	// firstRoom is the room in bytes for a body whose length is not told, which is
	// doubled as need be.
	firstRoom = 16 << 10
)

// Memory bounds the bytes of bodies that are held at a time.
type Memory struct {
	// Most is the bound in bytes; 0 for none.
	Most int64

	held atomic.Int64
}

// Body is a body that was read whole.
type Body struct {
	Data []byte
	// HeaderBytes is the size of the request's line and headers as they were sent.
	HeaderBytes int64

	memory *Memory
	// size is how many bytes are counted for it.
	size int64
}

// Release gives the body's memory back. It may be called once.
func (b *Body) Release() { b.memory.held.Add(-b.size) }

// Read reads a request's body, if its headers and the body are within the limits. The
// error is a [*sumachead.Refusal]; nothing is held then.
func (m *Memory) Read(r *http.Request, l Limits) (*Body, error) {
	l = l.orDefault()
	n := headerSize(r)
	if n > l.HeaderBytes {
		return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonHeadersTooLarge, "the headers are too large", time.Time{})
	}
	if r.ContentLength > l.BodyBytes {
		return nil, tooLarge()
	}
	b := &Body{HeaderBytes: n, memory: m}
	if r.ContentLength == 0 {
		return b, nil
	}
	if err := b.read(r.Body, r.ContentLength, l.BodyBytes); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// read reads to the end, or until there are more than most bytes. The length is below
// 0 when it was not told. What is counted after an error is given back by Release.
func (b *Body) read(from io.Reader, length, most int64) error {
	size := int64(firstRoom)
	if length >= 0 {
		size = length + 1 // room to see the end
	}
	if err := b.grow(size); err != nil {
		return err
	}
	b.Data = make([]byte, 0, size)
	for {
		if len(b.Data) == cap(b.Data) {
			if err := b.grow(int64(cap(b.Data))); err != nil {
				return err
			}
			b.Data = slices.Grow(b.Data, cap(b.Data))
		}
		n, err := from.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if int64(len(b.Data)) > most {
			return tooLarge()
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBadRequest, "the body broke off", time.Time{})
		}
	}
}

// grow counts n bytes more, also where the error says that they are too many.
func (b *Body) grow(n int64) error {
	b.size += n
	if held := b.memory.held.Add(n); b.memory.Most > 0 && held > b.memory.Most {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonRouterFull, "callers' bodies take all memory that they may", time.Now().Add(comeBack))
	}
	return nil
}

// tooLarge is the refusal of a body that is over its limit.
func tooLarge() error {
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonTooLarge, "the body is too large", time.Time{})
}

// headerSize returns the size of a request's line and headers as they were sent,
// but for spaces.
func headerSize(r *http.Request) int64 {
	const line = 4 // a colon, a space and the two bytes that end the line
	n := int64(len(r.Method)+len(r.RequestURI)+len(r.Proto)) + line + int64(len("Host")+len(r.Host)) + line
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name)+len(v)) + line
		}
	}
	return n
}
