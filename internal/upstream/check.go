package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"sumachead"
)

// Check asks the server at an address, on a connection of its own, for its health, and
// returns what it answers. It is an error if none does, or none that is well.
func (p *Pool) Check(ctx context.Context, address, path string) (sumachead.HealthAnswer, error) {
	var none sumachead.HealthAnswer
	if p.OnDial != nil {
		p.OnDial()
	}
	c, err := dial(ctx, address)
	if err != nil {
		return none, trace.Wrap(err)
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return none, trace.Wrap(err)
	}
	r.Close = true
	if err := r.Write(c); err != nil {
		return none, trace.Wrap(err)
	}
	resp, err := http.ReadResponse(c.br, r)
	if err != nil {
		return none, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	a := p.Dialect.Health(resp.StatusCode, resp.Header, time.Now())
	if a.Server == "" {
		return none, errors.New("the server is not well")
	}
	return a, nil
}
