package intake

import (
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"sumachead/internal/tcp"
)

// connPhase is what a connection is used for.
type connPhase int32

const (
	// phaseWaiting means that nothing of the next request has been read.
	phaseWaiting connPhase = iota
	// phaseReading means that the headers of a request are being read.
	phaseReading
	// phaseServing means that the headers of a request have been read.
	phaseServing
	// phaseClosing means that the server is closing the connection; nothing more is read.
	phaseClosing
)

// conn is a caller's connection. A server that closes it in a phase has not left that phase: what was
// read by then is not lost, and what arrives afterwards is not read.
type conn struct {
	net.Conn
	phase atomic.Int32
	// watch closes the connection if its caller loses power during a response.
	watch tcp.Watch

	// The fields below are guarded by the server's mutex.

	// timer closes the connection if it waits too long for a request. A request has
	// arrived once its headers are read.
	timer *time.Timer
	// idleSince is when its last response ended; zero while a request is in flight,
	// and before the first request.
	idleSince time.Time
	// idleTimeout was the idle timeout when its last request came, of which the caller was told.
	idleTimeout time.Duration
	// headersDue is set if the timer limits the time for headers instead of the idle time.
	headersDue bool
	// closeReason is why the server closes the connection; empty while it is open.
	closeReason CloseReason
}

// stop ends the connection's timers.
func (c *conn) stop() {
	c.timer.Stop()
	c.watch.Stop()
}

// connOf returns the connection that net/http serves as c.
func connOf(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return c.(*conn)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.leave(phaseWaiting, phaseReading) && c.in(phaseClosing) {
		return 0, net.ErrClosed
	}
	return n, err
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection on which
// the caller may still be sending.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// in reports whether the connection is in a phase.
func (c *conn) in(p connPhase) bool { return c.phase.Load() == int32(p) }

// leave changes the phase, and reports whether the connection was in the phase from.
func (c *conn) leave(from, to connPhase) bool { return c.phase.CompareAndSwap(int32(from), int32(to)) }

// serve enters phaseServing unless the connection is being closed.
func (c *conn) serve() {
	if !c.leave(phaseReading, phaseServing) {
		c.leave(phaseWaiting, phaseServing) // the request was read ahead
	}
}

// hasUnread reports whether bytes have arrived that have not been read.
func (c *conn) hasUnread() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Control instead of Read, which would wait for the read that is under way.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
