package gateway

import (
	"time"

	"sumachead"
	"sumachead/internal/loop"
	"sumachead/internal/patience"
)

// startMost is how long after the start of the process a declaration is expected: in
// played recoveries of a whole fleet the first came within 0.7 s of it, or not at all
// while the host was cut off.
const startMost = time.Second

// settingsFilter fixes the declaration that the request is dealt with under. A process
// that has just started waits for its first.
func (g *Gateway) settingsFilter(next handler) handler {
	return func(x *exchange) error {
		if x.view = g.client.View(); x.view == nil {
			err := g.awaitDeclaration(x)
			g.metrics.noteWait(waitDeclaration, x.arrived, err == nil)
			if err != nil {
				return err
			}
		}
		return next(x)
	}
}

// awaitDeclaration waits for the first declaration while that is of use.
func (g *Gateway) awaitDeclaration(x *exchange) error {
	p := patience.TypicalEstimate{Since: g.startedAt, By: g.startedAt.Add(startMost)}
	u := x.use()
	for {
		now := time.Now()
		again, wait := patience.ShouldWait(p, u, now)
		if !wait {
			return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonSettingsStale, "no declaration is known yet", patience.RetryAt(p, u, 0, now))
		}
		if !loop.Pause(x.ctx, g.client.Known(), again) {
			return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the caller has gone", time.Time{})
		}
		if x.view = g.client.View(); x.view != nil {
			return nil
		}
	}
}

// routeFilter finds the route and the service.
func (g *Gateway) routeFilter(next handler) handler {
	return func(x *exchange) error {
		x.route = x.view.Route(x.request.Host, x.request.Path)
		if x.route == nil {
			return refuseFinally(sumachead.ReasonUnknownRoute, "no route has this host and path")
		}
		return next(x)
	}
}

// workspaceFilter finds the workspace by its key.
func (g *Gateway) workspaceFilter(next handler) handler {
	return func(x *exchange) error {
		if x.request.Key != "" {
			x.access = x.view.Authenticate(x.request.Key)
		}
		if x.access == nil && !x.route.GetPublic() && x.view.Catalog.GetKeysNeeded() {
			return refuseFinally(sumachead.ReasonUnauthorized, "no workspace has this key")
		}
		return next(x)
	}
}

// deadlineFilter sets until when the request is worked on: the caller's time or
// the route's, whichever ends first.
func (g *Gateway) deadlineFilter(next handler) handler {
	return func(x *exchange) error {
		x.deadline = x.arrived.Add(time.Duration(x.route.GetTimeoutMillis()) * time.Millisecond)
		if d := x.request.Deadline; !d.IsZero() && d.Before(x.deadline) {
			x.deadline = d
		}
		return next(x)
	}
}

// escrowFilter holds the upper bound of the request's cost, and settles it when
// the request has ended.
func (g *Gateway) escrowFilter(next handler) handler {
	return func(x *exchange) error {
		bound := x.request.PromptTokens + x.request.AnswerTokens
		if x.access == nil || x.access.Prepaid == nil || bound == 0 {
			return next(x)
		}
		begun := time.Now()
		money, err := g.borrower.Reserve(x.ctx, x.workspace(), bound, x.use(), x.urgency())
		g.metrics.noteWait(waitEscrow, begun, err == nil)
		if err != nil {
			return err
		}
		defer func() {
			x.billed = x.bill()
			money.Settle(x.billed)
		}()
		return next(x)
	}
}
