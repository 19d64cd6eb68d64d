package gateway

import (
	"errors"
	"io"

	"sumachead/internal/upstream"
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

// readBody reads a response to its end. The caller must release the reservation, also after an error, once it
// no longer uses the body.
func readBody(r io.Reader, reserved *upstream.Reservation) (body []byte, err error) {
	body = make([]byte, 0, minBufferBytes)
	for {
		if len(body) == cap(body) {
			if cap(body) >= maxBufferedBytes {
				return nil, errResponseTooLarge
			}
			size := 2 * cap(body)
			if err := reserved.Resize(bufferSize(size)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// bufferSize returns what must be reserved for a buffer.
func bufferSize(capacity int) int64 { return int64(max(capacity-minBufferBytes, 0)) }
