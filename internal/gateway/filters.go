package gateway

import (
	"time"
	"unicode/utf8"

	"sumachead"
	"sumachead/internal/catalog"
	"sumachead/internal/escrow"
	"sumachead/internal/loop"
	"sumachead/internal/waitpolicy"
)

// firstDeclarationDelay is how long after the start of the process the first declaration is
// expected: after a restart of a whole fleet it arrived within 0.7 s, or not at all while the host
// was cut off.
const firstDeclarationDelay = time.Second

// maxBlockIDBytes bounds the ID of a prompt block, as the leading keeper's log holds that of one that crashes servers.
const maxBlockIDBytes = 256

// textFilter refuses a request whose IDs cannot be part of a message to other processes.
func textFilter(next handler) handler {
	return func(x *exchange) error {
		for _, p := range x.request.Parts {
			if len(p.ID) > maxBlockIDBytes || !utf8.ValidString(p.ID) {
				return refusePermanently(sumachead.ReasonBadRequest, "the ID of a prompt block is longer than 256 bytes or not valid UTF-8")
			}
		}
		return next(x)
	}
}

// settingsFilter selects the declaration under which the request is handled. A process that has
// just started waits for its first one.
func (g *Gateway) settingsFilter(next handler) handler {
	return func(x *exchange) error {
		if x.view = g.client.View(); x.view == nil {
			err := g.awaitDeclaration(x)
			g.metrics.recordWait(waitDeclaration, x.arrived, err == nil)
			if err != nil {
				return err
			}
		}
		return next(x)
	}
}

// awaitDeclaration waits for the first declaration while that is useful.
func (g *Gateway) awaitDeclaration(x *exchange) error {
	p := waitpolicy.TypicalEstimate{Since: g.startedAt, By: g.startedAt.Add(firstDeclarationDelay)}
	u := x.deadlines()
	for {
		now := time.Now()
		retryAt, wait := waitpolicy.ShouldWait(p, u, now)
		if !wait {
			return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonSettingsStale, "no declaration is known yet", waitpolicy.RetryAt(p, u, 0, now))
		}
		if !loop.Pause(x.ctx, g.client.Declared(), retryAt) {
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
			return refusePermanently(sumachead.ReasonUnknownRoute, "no route has this host and path")
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
			return refusePermanently(sumachead.ReasonUnauthorized, "no workspace has this key")
		}
		return next(x)
	}
}

// deadlineFilter sets the deadline of the request: the caller's or the route's, whichever is
// earlier.
func (g *Gateway) deadlineFilter(next handler) handler {
	return func(x *exchange) error {
		x.deadline = x.arrived.Add(time.Duration(x.route.GetTimeoutMillis()) * time.Millisecond)
		if d := x.request.Deadline; !d.IsZero() && d.Before(x.deadline) {
			x.deadline = d
		}
		return next(x)
	}
}

// serviceFilter picks the service and records the request for its retry budget.
func (g *Gateway) serviceFilter(next handler) handler {
	return func(x *exchange) error {
		x.service = x.view.Service(catalog.PickService(x.route))
		g.metrics.serviceRequests.WithLabelValues(x.service.GetName()).Inc()
		g.retries.RecordRequest(x.service.GetName())
		return next(x)
	}
}

// escrowFilter reserves the upper bound of the request's cost and settles it when the request has
// ended.
func (g *Gateway) escrowFilter(next handler) handler {
	return func(x *exchange) error {
		bound := x.request.PromptTokens + x.request.MaxOutputTokens
		if x.access == nil || x.access.Prepaid == nil || bound == 0 {
			return next(x)
		}
		begun := time.Now()
		reservation, err := g.borrower.Reserve(x.ctx, escrow.Request{
			Workspace: x.workspace(), Bound: bound, Deadlines: x.deadlines(), Urgency: x.urgency(), Urgent: x.view.IsUrgent(x.route),
		})
		g.metrics.recordWait(waitEscrow, begun, err == nil)
		if err != nil {
			return err
		}
		defer func() {
			x.billed = x.bill()
			reservation.Settle(x.billed)
		}()
		return next(x)
	}
}
