// Package upstream sends requests directly to backend servers that speak HTTP/1.1 and have no
// agent beside them.
//
// A [Pool] keeps the connections. [Pool.Send] sends one request on one connection, once, and
// reports for each failure whether the request may have run. It never retries: that is up to the
// caller, who knows which requests are idempotent. Bytes that belong to no request, or to
// another one, never reach a caller.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"sumachead/internal/stricthttp"
	"sumachead/internal/tcp"
)

const (
	// dialTimeout bounds the time for a new connection: many round trips between data halls, and
	// less than the retransmission timeout of a lost SYN.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long a connection may be idle if the server has not announced
	// its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how long before the announced end of the idle timeout a connection is
	// no longer reused.
	idleTimeoutMargin = 700 * time.Millisecond
	// readBufferSize holds the head of a response and some events.
	readBufferSize = 4 << 10
	// maxFramingBytes and maxFramingRatio bound the bytes by which the end of a body is marked: a server
	// could send chunks of a byte without end.
	maxFramingBytes = 64 << 10
	maxFramingRatio = 4
)

// errFramingTooLong is returned if a body consists mostly of the marks of its chunks.
var errFramingTooLong = errors.New("the chunks of the response are too small")

// conn is one connection to a backend server.
type conn struct {
	*tcp.Conn
	br *bufio.Reader
	// watch lets the server pause reading a request.
	watch tcp.Watch
	// readingHead is set while the head of a response is read; headSize is the memory that the part of
	// it needs that was read so far.
	readingHead bool
	headSize    int64
	// memory is the reservation for the head.
	memory *Reservation
	// received counts the bytes read.
	received int64
	// ended is set once the server has closed the connection.
	ended bool
	// reuseUntil is until when the connection may be reused; updated after each response.
	reuseUntil time.Time
}

// dial opens a connection to an address.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := tcp.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tc, err := tcp.NewConn(nc.(*net.TCPConn))
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	c := &conn{Conn: tc, reuseUntil: time.Now().Add(defaultIdleTimeout)}
	c.memory = NewReservation(p.Memory, func() { _ = c.Close() })
	c.watch.Conn, c.watch.UserTimeout = tc, true
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.watch.Stop()
	return c.Conn.Close()
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	if c.readingHead {
		c.headSize += partialHeadSize(p[:n])
		if err := c.memory.Resize(max(c.headSize-minHeadBytes, 0)); err != nil {
			return 0, err
		}
	}
	c.ended = c.ended || errors.Is(err, io.EOF)
	return n, err
}

// readHead reads the head of a response. The caller must release the connection's memory once it no longer
// uses the head.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.readingHead, c.headSize = true, 0
	defer func() { c.readingHead = false }()
	resp, err := stricthttp.ReadResponse(c.br, r)
	if err != nil {
		return nil, cmp.Or(c.memory.Pin(), err)
	}
	if err := c.memory.Resize(headSize(resp.Header)); err != nil {
		return nil, err
	}
	return resp, nil
}

// reusable reports whether the connection is open, within its idle timeout, and has no
// unsolicited bytes.
func (c *conn) reusable(now time.Time) bool {
	if c.br.Buffered() > 0 || now.After(c.reuseUntil) {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
