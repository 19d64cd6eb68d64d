package gateway

import (
	"time"

	"sumachead"
)

const (
	// comeBackSoon is when to come back after a refusal that should pass
	// quickly.
	comeBackSoon = 300 * time.Millisecond
	// escrowShare is the part of the objective, in percent, for which a request
	// waits for escrow: a refusal after a quarter is too late to be made good.
	escrowShare = 22
	// defaultObjective stands in for a route that has none.
	defaultObjective = time.Second
)

// settingsFilter fixes the declaration that the request is dealt with under.
func (g *Gateway) settingsFilter(next handler) handler {
	return func(x *exchange) error {
		x.view = g.client.View()
		if x.view == nil {
			return refuse(sumachead.ReasonSettingsStale, "no declaration is known yet", comeBackSoon)
		}
		return next(x)
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
		objective := x.objective()
		if objective == 0 {
			objective = defaultObjective
		}
		wait := x.arrived.Add(objective * escrowShare / 100)
		money, err := g.wallet.Reserve(x.ctx, x.workspace(), bound, wait)
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
