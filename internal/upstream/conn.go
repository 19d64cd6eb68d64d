// Package upstream sends requests straight to backend servers that speak
// HTTP/1.1 and have no agent beside them.
//
// A [Pool] keeps the connections. [Pool.Send] sends one request on one
// connection, once, and says of each failure whether the request may have run.
// It never repeats a request: that is for the caller, who knows what may be
// repeated. Bytes that belong to no request, or to another one, never reach a
// caller.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"sumachead/internal/tcp"
)

const (
	// dialTimeout bounds a new connection: many round trips between data halls,
	// and less than a lost opening packet takes to be sent again.
	dialTimeout = 500 * time.Millisecond
	// restUnstated is how long a connection may rest whose server has not said
	// when it closes.
	restUnstated = 4 * time.Second
	// restMargin is how long before the server's stated time a connection is no
	// longer used.
	restMargin = 700 * time.Millisecond
	// bufferSize holds the head of an answer and some events.
	bufferSize = 4 << 10
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	br *bufio.Reader
	// usable is until when it may rest; set anew after each answer.
	usable time.Time
}

// dial opens a connection to an address.
func dial(ctx context.Context, address string) (*conn, error) {
	c, err := tcp.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, br: bufio.NewReaderSize(c, bufferSize), usable: time.Now().Add(restUnstated)}, nil
}

// clean reports whether the connection is open and holds no byte that nobody
// asked for.
func (c *conn) clean(now time.Time) bool {
	if c.br.Buffered() > 0 || now.After(c.usable) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
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
