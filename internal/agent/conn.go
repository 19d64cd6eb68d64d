package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"sumachead/internal/tcp"
)

// uploadTimeout bounds the time for the rest of a request once the server has ended its response.
const uploadTimeout = 300 * time.Millisecond

// requestConn is a connection for one request. Its reads end with io.EOF only if the server has received the
// whole request: a server that gives up on an upload may have cut off its response, too.
type requestConn struct {
	*tcp.Conn
	// bodySize is the size of the request's body, set before the first write; below 0 if the request is
	// encrypted and its end is not visible here.
	bodySize atomic.Int64
	// head is what was written up to the end of the request's head, and nil after it; bodySent counts the
	// bytes after it.
	head     []byte
	bodySent int64
	// sent is closed once the whole request is written.
	sent     chan struct{}
	sentOnce sync.Once
}

// dialRequest opens a connection for one request.
func dialRequest(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tc, err := tcp.NewConn(c.(*net.TCPConn))
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	rc := &requestConn{Conn: tc, head: []byte{}, sent: make(chan struct{})}
	rc.bodySize.Store(-1)
	return rc, nil
}

// traceRequest returns a context that tells the connection of a request the size of its body.
func traceRequest(ctx context.Context, bodySize int) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*requestConn); ok {
			c.bodySize.Store(int64(bodySize))
		}
	}})
}

// Write implements io.Writer. It must not be called concurrently.
func (c *requestConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bodySize := c.bodySize.Load()
	switch {
	case bodySize < 0:
		return n, err
	case c.head == nil:
		c.bodySent += int64(n)
	default:
		c.head = append(c.head, p[:n]...)
		if _, body, ok := bytes.Cut(c.head, headEnd); ok {
			c.head, c.bodySent = nil, int64(len(body))
		}
	}
	if c.head == nil && c.bodySent >= bodySize {
		c.sentOnce.Do(func() { close(c.sent) })
	}
	return n, err
}

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// Read implements io.Reader.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if c.bodySize.Load() >= 0 && !c.awaitSent() {
		return n, fmt.Errorf("the request was not written: %w", io.ErrUnexpectedEOF)
	}
	if ackErr := c.AwaitAcks(uploadTimeout); ackErr != nil {
		return n, fmt.Errorf("the request was not received: %w", ackErr)
	}
	return n, err
}

// awaitSent waits up to uploadTimeout until the whole request is written, and reports whether it is.
func (c *requestConn) awaitSent() bool {
	t := time.NewTimer(uploadTimeout)
	defer t.Stop()
	select {
	case <-c.sent:
		return true
	case <-t.C:
		return false
	}
}
