package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
)

// ConnectionLost reports whether the server closed or reset the connection before its response
// was complete, as it does when it crashes. The cause may also be that only the connection was
// lost.
func (f *Failure) ConnectionLost() bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(f.Err, e) {
			return true
		}
	}
	return false
}

// Liveness is what a probe shows about the server at an address.
type Liveness int

const (
	// LivenessUnknown means that the host did not respond at all: a server may run there.
	LivenessUnknown Liveness = iota
	// Accepting means that a server accepts connections.
	Accepting
	// Refusing means that no server accepts connections.
	Refusing
)

// Probe connects to a server to see whether it accepts connections. The connection is kept for the
// next request.
func (p *Pool) Probe(ctx context.Context, s Server) Liveness {
	c, err := dial(ctx, s.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refusing
	case err != nil:
		return LivenessUnknown
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	p.mu.Lock()
	p.connsOf(s).open++
	p.mu.Unlock()
	p.release(s, c)
	return Accepting
}
