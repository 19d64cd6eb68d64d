package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
)

// Broke reports whether the server's end of the connection ended before its answer was
// whole, as it does when the server ends. It also does where only the connection was lost.
func (f *Failure) Broke() bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(f.Err, e) {
			return true
		}
	}
	return false
}

// Refuses reports whether nobody takes connections at an address. A host that says nothing
// does not count, since a server may run there.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
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
