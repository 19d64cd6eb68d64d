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

// Check asks a server, on a connection of its own, for its health, and returns what the life
// answers that is at its address. It is an error if none does, or none that is well.
func (p *Pool) Check(ctx context.Context, s Server, path string) (sumachead.HealthAnswer, error) {
	var none sumachead.HealthAnswer
	if p.OnDial != nil {
		p.OnDial()
	}
	c, err := dial(ctx, s.Address)
	if err != nil {
		return none, trace.Wrap(err)
	}
	defer func() { _ = c.Close() }()
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
	resp, err := http.ReadResponse(c.br, r)
	if err != nil {
		return none, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	a := p.Dialect.Health(resp.StatusCode, resp.Header, time.Now())
	p.notice(s.ID, a.ServerNotice, sentAt) // whatever it is, the one that is known is no better off
	if a.Server == "" {
		return none, errors.New("the server is not well")
	}
	return a, nil
}
