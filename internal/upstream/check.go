package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"sumachead"
	"sumachead/internal/boottime"
)

// Check asks a server for its health on a new connection, and returns the response of the
// incarnation at its address. It returns an error if none responds, or one that is unhealthy.
func (p *Pool) Check(ctx context.Context, s Server, path string) (sumachead.HealthResponse, error) {
	var none sumachead.HealthResponse
	if p.OnDial != nil {
		p.OnDial()
	}
	c, err := p.dial(ctx, s.Address)
	if err != nil {
		return none, trace.Wrap(err)
	}
	defer func() {
		_ = c.Close()
		c.memory.Release()
	}()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+path, nil)
	if err != nil {
		return none, trace.Wrap(err)
	}
	r.Close = true
	sentAt := boottime.Clock{}.Now()
	if err := r.Write(c); err != nil {
		return none, trace.Wrap(err)
	}
	//nolint:bodyclose // it is not read
	resp, err := c.readHead(r)
	if err != nil {
		return none, trace.Wrap(err)
	}
	a := p.Dialect.Health(resp.StatusCode, resp.Header, time.Now())
	p.notice(s.ID, a.ServerNotice, sentAt) // applied whichever incarnation sent it: the known one is in no better state
	if a.Server == "" {
		return none, errors.New("the server did not report itself as healthy")
	}
	return a, nil
}
