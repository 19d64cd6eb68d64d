package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/gravitational/trace"

	"sumachead/internal/tcp"
)

// Server serves registered receivers on one address. Set the exported fields
// and call [Server.Register] before [Server.Run].
type Server struct {
	// Address is host:port.
	Address string
	// TLS is the TLS configuration; nil means plaintext connections.
	TLS *tls.Config

	rpcServer rpc.Server
	listener  net.Listener

	mu     sync.Mutex // guards conns and closed
	conns  map[net.Conn]struct{}
	closed bool
}

// Register registers the exported methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	return trace.Wrap(s.rpcServer.RegisterName(name, receiver))
}

// Listen binds the address, so that an address in use is reported before Run.
func (s *Server) Listen() error {
	lis, err := tcp.ListenConfig().Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return trace.Wrap(err, "listening for calls on %s", s.Address)
	}
	if s.TLS != nil {
		lis = tls.NewListener(lis, s.TLS)
	}
	s.listener = lis
	s.conns = make(map[net.Conn]struct{})
	return nil
}

// Run accepts and serves connections until Close is called.
func (s *Server) Run() error {
	tcp.Accept(s.listener, func(conn net.Conn) {
		if !s.track(conn) {
			return
		}
		go func() {
			defer s.untrack(conn)
			s.rpcServer.ServeCodec(&serverCodec{newFramedConn(conn)})
		}()
	})
	return nil
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close stops accepting connections and closes the open ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
}
