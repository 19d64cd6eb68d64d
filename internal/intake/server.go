package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sumachead/internal/tcp"
	"sumachead/internal/telemetry"
)

// Limits are the limits for a single caller. A limit of 0 stands for the default.
type Limits struct {
	// HeaderBytes limits the size of the request line and the headers.
	HeaderBytes int64
	// BodyBytes limits the size of the body.
	BodyBytes int64
	// HeaderTimeout limits the time until the headers of a connection's first request are read.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may be idle between requests.
	IdleTimeout time.Duration
}

// Default limits, for a declaration that sets none.
const (
	// defaultHeaderBytes is a sixteenth of net/http's default.
	defaultHeaderBytes = 64 << 10
	// defaultBodyBytes is compatible with releases in which limits can't be declared.
	defaultBodyBytes = 8 << 20
	// defaultHeaderTimeout equals the header timeout of telemetry.HTTPServer.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is compatible with releases in which limits can't be declared.
	defaultIdleTimeout = 75 * time.Second
	// idleTimeoutMargin is the time that a request may take from its caller to this process: many round
	// trips, or one retransmission.
	idleTimeoutMargin = 500 * time.Millisecond
)

// withDefaults returns the limits with unset ones replaced by the defaults.
func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// announcedIdleTimeout returns the idle timeout that callers are told, in whole seconds; 0 for none. It
// is shorter than the real one, so that requests sent within it do not cross the close of their
// connection.
func (l Limits) announcedIdleTimeout() time.Duration {
	return (l.IdleTimeout - idleTimeoutMargin).Truncate(time.Second)
}

// CloseReason is why the server closes a caller's connection.
type CloseReason string

const (
	// CloseIdle is the reason for a connection without a request for longer than the idle timeout.
	CloseIdle CloseReason = "idle"
	// CloseHeaderTimeout is the reason for a connection whose headers did not arrive in time.
	CloseHeaderTimeout CloseReason = "header_timeout"
	// CloseMaxConns is the reason for a connection that is closed in favor of a new one, or a new one if
	// none is idle.
	CloseMaxConns CloseReason = "max_connections"
	// CloseStopping is the reason for a connection without a request while the server stops.
	CloseStopping CloseReason = "stopping"
)

// CloseReasons lists each reason once.
func CloseReasons() []CloseReason {
	return []CloseReason{CloseIdle, CloseHeaderTimeout, CloseMaxConns, CloseStopping}
}

// Server serves callers. Set the exported fields before Run.
type Server struct {
	Address string
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Handler http.Handler
	// Limits returns the current limits. It is called with the server's mutex held, so
	// it must not block.
	Limits func() Limits
	// MaxConns limits the open connections; 0 for no limit. Above it, the connection
	// that has been idle longest is closed, or the new one if none is idle.
	MaxConns int
	// DrainDeadline returns until when requests in flight may take; it is called when Run's context has
	// ended. The remaining ones are aborted.
	DrainDeadline func() time.Time
	// OnClose is called for each connection that the server closes, and OnLateRequest for each request
	// whose headers were read from a connection that it was closing; nil for none. They must not block.
	OnClose       func(CloseReason)
	OnLateRequest func(CloseReason)

	// draining is set once Run's context has ended.
	draining atomic.Bool

	mu sync.Mutex // guards conns
	// conns are the open connections. drained is closed once there are none while draining.
	conns   map[*conn]struct{}
	drained chan struct{}
}

// connKey is the key of a request's [conn] in its context.
type connKey struct{}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.conns, s.drained = make(map[*conn]struct{}), make(chan struct{})
	h := &telemetry.HTTPServer{
		Address: s.Address, TLS: s.TLS, Handler: http.HandlerFunc(s.serveHTTP), ListenConfig: tcp.PatientListenConfig(), Drain: s.drain,
		WrapConn: func(c net.Conn) net.Conn { return &conn{Conn: c, watch: tcp.Watch{Conn: c}} },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connOf(c))
		},
		ConnState: s.connState,
	}
	return h.Run(ctx)
}

// serveHTTP handles a request unless its connection is being closed, so that it could not be answered.
// Callers are told for how long they may use the connection again.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.in(phaseClosing) {
		s.recordLate(c)
		panic(http.ErrAbortHandler)
	}
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	} else if t := s.limits().announcedIdleTimeout(); t > 0 && !r.Close {
		w.Header().Set("Keep-Alive", "timeout="+strconv.FormatInt(int64(t/time.Second), 10))
	}
	s.Handler.ServeHTTP(w, r)
	if r.ContentLength != 0 {
		// Bounds the time in which net/http reads what the handler has left of the body. If it fails, so do the reads.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(min(s.limits().IdleTimeout, DefaultBodyTimeout)))
	}
}

// recordLate reports a request that is not handled because its connection is being closed.
func (s *Server) recordLate(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.OnLateRequest != nil {
		s.OnLateRequest(c.closeReason)
	}
}

// connState tracks the state of a connection and sets its timer.
func (s *Server) connState(nc net.Conn, state http.ConnState) {
	c := connOf(nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		c.headersDue = true
		c.timer = time.AfterFunc(s.limits().HeaderTimeout, func() { s.expire(c) })
		s.conns[c] = struct{}{}
		s.enforceMaxConns(c)
	case http.StateActive:
		c.timer.Stop()
		c.idleSince, c.idleTimeout = time.Time{}, s.limits().IdleTimeout
		c.serve()
		c.watch.Start()
		// Bounds writes for which the handler sets no deadline. If it fails, so do the writes.
		_ = c.SetWriteDeadline(time.Now().Add(s.limits().IdleTimeout))
	case http.StateIdle:
		c.leave(phaseServing, phaseWaiting)
		c.idleSince, c.headersDue = time.Now(), false
		c.watch.Stop()
		c.timer = time.AfterFunc(s.idleTimeout(c), func() { s.expire(c) })
	case http.StateClosed, http.StateHijacked:
		c.stop()
		s.remove(c)
	}
}

// limits returns the current limits, with defaults.
func (s *Server) limits() Limits { return s.Limits().withDefaults() }

// idleTimeout returns the idle timeout of a connection: the current one, or a longer one that its caller
// was told. The caller must hold mu.
func (s *Server) idleTimeout(c *conn) time.Duration {
	if s.draining.Load() {
		return drainIdleTimeout
	}
	return max(c.idleTimeout, s.limits().IdleTimeout)
}

// timeoutReason returns why a connection is closed when its timer fires. The caller must hold mu.
func (s *Server) timeoutReason(c *conn) CloseReason {
	switch {
	case c.headersDue:
		return CloseHeaderTimeout
	case s.draining.Load():
		return CloseStopping
	}
	return CloseIdle
}

// expire closes a connection whose timer has fired, unless the idle timeout has been raised since, or
// its next request has arrived: then its headers must be read in time.
func (s *Server) expire(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := time.Until(c.idleSince.Add(s.idleTimeout(c))); !c.headersDue && c.in(phaseWaiting) && left > 0 {
		c.timer.Reset(left)
		return
	}
	if s.closeWaiting(c, s.timeoutReason(c)) || c.in(phaseServing) || c.in(phaseClosing) {
		return
	}
	if c.headersDue && s.close(c, phaseReading, CloseHeaderTimeout) {
		return
	}
	c.headersDue = true
	c.timer.Reset(s.limits().HeaderTimeout)
}

// closeWaiting closes a connection unless something of its next request has arrived, and reports
// whether it did. The caller must hold mu.
func (s *Server) closeWaiting(c *conn, why CloseReason) bool {
	return !c.hasUnread() && s.close(c, phaseWaiting, why)
}

// close closes a connection that is in a phase, and reports whether it did. The caller must hold mu.
func (s *Server) close(c *conn, in connPhase, why CloseReason) bool {
	if !c.leave(in, phaseClosing) {
		return false
	}
	c.closeReason = why
	c.stop()
	s.remove(c)
	if s.OnClose != nil {
		s.OnClose(why)
	}
	_ = c.Close() // readers and writers of the connection get errors of their own
	return true
}

// enforceMaxConns closes a connection if a new one exceeds MaxConns: the one that has been
// idle longest, or else the new one. The caller must hold mu.
func (s *Server) enforceMaxConns(added *conn) {
	if s.MaxConns <= 0 || len(s.conns) <= s.MaxConns {
		return
	}
	for {
		c := s.longestIdle()
		if c == nil {
			break
		}
		if s.closeWaiting(c, CloseMaxConns) {
			return
		}
		c.idleSince = time.Time{} // its next request has arrived
	}
	s.close(added, phaseWaiting, CloseMaxConns)
}

// longestIdle returns the connection that has been idle longest, nil if none is. The caller must hold
// mu.
func (s *Server) longestIdle() *conn {
	var longest *conn
	for c := range s.conns {
		if !c.idleSince.IsZero() && (longest == nil || c.idleSince.Before(longest.idleSince)) {
			longest = c
		}
	}
	return longest
}
