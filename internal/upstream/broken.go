package upstream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"syscall"
	"time"
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

// defaultProbeSettleTime is how long after the beginning of a probe its connection must be open: the
// system accepts connections for a process that is ending until its listener is closed, and resets them
// then.
const defaultProbeSettleTime = 2 * time.Millisecond

// Probe connects to a server to see whether it accepts connections. The connection is kept for the
// next request.
func (p *Pool) Probe(ctx context.Context, s Server) Liveness {
	begun := time.Now()
	l, c := p.probeOnce(ctx, s)
	if l != Accepting {
		return l
	}
	time.Sleep(time.Until(begun.Add(cmp.Or(p.ProbeSettleTime, defaultProbeSettleTime))))
	if !c.reusable(time.Now()) {
		// The server has ended, or it limits its connections: now it is one or the other.
		_ = c.Close()
		if l, c = p.probeOnce(ctx, s); l != Accepting {
			return l
		}
	}
	p.mu.Lock()
	p.connsOf(s).open++
	p.mu.Unlock()
	p.release(s, c)
	return Accepting
}

// probeOnce connects to a server once; the connection is nil if the server does not accept it.
func (p *Pool) probeOnce(ctx context.Context, s Server) (Liveness, *conn) {
	c, err := p.dial(ctx, s.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refusing, nil
	case err != nil:
		return LivenessUnknown, nil
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	return Accepting, c
}
