package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
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

// Server serves callers. Set the exported fields before Run.
type Server struct {
	Address string
	Handler http.Handler
	// Limits returns the current limits. It is called with the server's mutex held, so
	// it must not block.
	Limits func() Limits
	// MaxConns limits the open connections; 0 for no limit. Above it, the connection
	// that has been idle longest is closed, or the new one if none is idle.
	MaxConns int
	// DrainTimeout limits how long requests in flight may take once Run's context ends;
	// the remaining ones are aborted.
	DrainTimeout time.Duration

	mu sync.Mutex // guards conns
	// conns are the open connections.
	conns map[net.Conn]*connection
}

// connection is the state of one connection.
type connection struct {
	// timer closes the connection if it waits too long for a request. A request has
	// arrived once its headers are read.
	timer *time.Timer
	// idleSince is when its last response ended; zero while a request is in flight,
	// and before the first request.
	idleSince time.Time
	// watch closes the connection if its caller loses power during a response.
	watch tcp.Watch
}

// stop ends the connection's timers.
func (c *connection) stop() {
	c.timer.Stop()
	c.watch.Stop()
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.conns = make(map[net.Conn]*connection)
	h := &telemetry.HTTPServer{
		Address: s.Address, Handler: s.Handler, ListenConfig: tcp.PatientListenConfig(), DrainTimeout: s.DrainTimeout, ForceClose: true, ConnState: s.connState,
	}
	return h.Run(ctx)
}

// connState tracks the state of a connection and sets its timer.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = &connection{timer: closeAfter(conn, s.limits().HeaderTimeout), watch: tcp.Watch{Conn: conn}}
		s.enforceMaxConns(conn)
	case http.StateActive:
		if c := s.conns[conn]; c != nil {
			c.timer.Stop()
			c.idleSince = time.Time{}
			c.watch.Start()
			// Bounds writes for which the handler sets no deadline. If it fails, so do the writes.
			_ = conn.SetWriteDeadline(time.Now().Add(s.limits().IdleTimeout))
		}
	case http.StateIdle:
		if c := s.conns[conn]; c != nil {
			c.idleSince = time.Now()
			c.watch.Stop()
			c.timer = closeAfter(conn, s.limits().IdleTimeout)
		}
	case http.StateClosed, http.StateHijacked:
		if c := s.conns[conn]; c != nil {
			c.stop()
			delete(s.conns, conn)
		}
	}
}

// limits returns the current limits, with defaults.
func (s *Server) limits() Limits { return s.Limits().withDefaults() }

// closeAfter returns a timer that closes a connection after a delay.
func closeAfter(conn net.Conn, delay time.Duration) *time.Timer {
	// The error is ignored: readers and writers of the connection get errors of their own.
	return time.AfterFunc(delay, func() { _ = conn.Close() })
}

// enforceMaxConns closes a connection if a new one exceeds MaxConns: the one that has been
// idle longest, or else the new one. The caller must hold mu.
func (s *Server) enforceMaxConns(added net.Conn) {
	if s.MaxConns <= 0 || len(s.conns) <= s.MaxConns {
		return
	}
	victim := added
	var since time.Time
	for conn, c := range s.conns {
		if idleSince := c.idleSince; !idleSince.IsZero() && (since.IsZero() || idleSince.Before(since)) {
			victim, since = conn, idleSince
		}
	}
	s.conns[victim].stop()
	delete(s.conns, victim)
	_ = victim.Close() // as in closeAfter
}
