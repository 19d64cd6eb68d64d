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

// RefusesConnections reports whether an address refuses connections. A host that does not
// respond at all does not count, since a server may run there.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	c, err := dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	if p.OnDial != nil {
		p.OnDial()
	}
	return false
}
