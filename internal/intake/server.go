package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"sumachead/internal/telemetry"
)

// Limits bound what one caller may do. A limit of 0 stands for the default.
type Limits struct {
	// HeaderBytes bounds the request line and the headers.
	HeaderBytes int64
	// BodyBytes bounds the body.
	BodyBytes int64
	// Header is how long the first request of a connection may take to come.
	Header time.Duration
	// Idle is how long a connection may rest between requests.
	Idle time.Duration
}

// The defaults, for callers of which no declaration says anything.
const (
	// defaultHeaderBytes is a sixteenth of net/http's own bound.
	defaultHeaderBytes = 64 << 10
	// defaultBodyBytes is what bodies were bounded by before limits could be declared.
	defaultBodyBytes = 8 << 20
	// defaultHeader is the bound that telemetry.HTTPServer has for all servers.
	defaultHeader = 10 * time.Second
	// defaultIdle is how long connections could rest before limits could be declared.
	defaultIdle = 75 * time.Second
)

// orDefault returns the limits with defaults where they say nothing.
func (l Limits) orDefault() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.Header <= 0 {
		l.Header = defaultHeader
	}
	if l.Idle <= 0 {
		l.Idle = defaultIdle
	}
	return l
}

// Server serves callers. Set the exported fields before Run.
type Server struct {
	Address string
	Handler http.Handler
	Listen  *net.ListenConfig
	// Limits returns the limits in force. It is called while a connection is noted,
	// so that it must not block.
	Limits func() Limits
	// MaxConns bounds the connections at a time; 0 for no bound. Above it the one
	// that has rested longest is closed, or the new one where none rests.
	MaxConns int
	// Finish bounds how long requests under way may take once Run's context ends;
	// what is left is broken off.
	Finish time.Duration

	mu sync.Mutex // guards conns
	// conns are the open connections.
	conns map[net.Conn]*connection
}

// connection is what is known of one connection.
type connection struct {
	// timer closes the connection while it waits for a request, which has come when
	// its headers are read.
	timer *time.Timer
	// restingSince is when its last answer ended; zero while a request is under
	// way, and before the first.
	restingSince time.Time
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.conns = make(map[net.Conn]*connection)
	h := &telemetry.HTTPServer{
		Address: s.Address, Handler: s.Handler, ListenConfig: s.Listen, Drain: s.Finish, ForceClose: true, ConnState: s.connState,
	}
	return h.Run(ctx)
}

// connState follows a connection's life.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = &connection{timer: closeAfter(conn, s.limits().Header)}
		s.makeRoom(conn)
	case http.StateActive:
		if c := s.conns[conn]; c != nil {
			c.timer.Stop()
			c.restingSince = time.Time{}
		}
	case http.StateIdle:
		if c := s.conns[conn]; c != nil {
			c.restingSince = time.Now()
			c.timer = closeAfter(conn, s.limits().Idle)
		}
	case http.StateClosed, http.StateHijacked:
		if c := s.conns[conn]; c != nil {
			c.timer.Stop()
			delete(s.conns, conn)
		}
	}
}

// limits returns the limits in force, without gaps.
func (s *Server) limits() Limits { return s.Limits().orDefault() }

// closeAfter closes a connection some time from now.
func closeAfter(conn net.Conn, after time.Duration) *time.Timer {
	// Whoever reads or writes on a closed connection gets an error from that.
	return time.AfterFunc(after, func() { _ = conn.Close() })
}

// makeRoom closes a connection if a new one makes too many: the one that has rested
// longest, or else the new one. The caller holds mu.
func (s *Server) makeRoom(added net.Conn) {
	if s.MaxConns <= 0 || len(s.conns) <= s.MaxConns {
		return
	}
	victim := added
	var since time.Time
	for conn, c := range s.conns {
		if rests := c.restingSince; !rests.IsZero() && (since.IsZero() || rests.Before(since)) {
			victim, since = conn, rests
		}
	}
	s.conns[victim].timer.Stop()
	delete(s.conns, victim)
	_ = victim.Close() // as in closeAfter
}
