package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/catalog"
	"sumachead/internal/chain"
	"sumachead/internal/place"
	"sumachead/internal/timeutil"
	"sumachead/internal/upstream"
	"sumachead/internal/waitpolicy"
)

// maxReadDelay is how long after its deadline a ready response waits for the caller to read it:
// then what a caller that does not read holds here, including its escrow, is released.
const maxReadDelay = 3 * time.Second

// exchange is one request on its way through the filters. Each filter fills in its part.
type exchange struct {
	ctx      context.Context
	request  *sumachead.CallerRequest
	response sumachead.CallerResponse
	arrived  time.Time
	// stoppable is what a planned stop must know.
	stoppable stoppable
	// view is the declaration under which the request is handled.
	view  *catalog.View
	route *wire.Route
	// access describes the request's workspace; nil if none is needed.
	access *wire.WorkspaceAccess
	// service is picked by a filter, once for all attempts.
	service *wire.Service
	// deadline is when the handling of the request ends.
	deadline time.Time

	// started is set once the head of the response has been sent to the caller.
	started bool
	// attempts counts the servers that received the request and may have run it or reported that
	// they did not.
	attempts int
	// firstByteAt is when the first byte was sent to the caller; zero before.
	firstByteAt time.Time
	// placement is where the last attempt was sent; nil before the first.
	placement *place.Placement
	// limit is the request limit of the last attempt's server; 0 for none.
	limit sumachead.RequestRate
	// events counts the events sent to the caller.
	events int64
	// framing is how the end of the last response of a server is marked, and partialBytes how many
	// bytes followed its last complete event.
	framing      upstream.Framing
	partialBytes int
	// cachedFingerprint is the request's fingerprint if hasFingerprint is set; most requests need
	// none.
	cachedFingerprint sumachead.Fingerprint
	hasFingerprint    bool
	// billed is what the request has cost its workspace, once known.
	billed sumachead.Tokens
	// lastEventAt is when the last event was sent, and maxGap the longest gap between two events.
	lastEventAt time.Time
	maxGap      time.Duration
}

// recordEvent updates the longest gap between events. It reports whether a gap exceeded the
// objective for the first time.
func (x *exchange) recordEvent(now time.Time) (late bool) {
	if !x.lastEventAt.IsZero() {
		gap, maxGap := now.Sub(x.lastEventAt), x.gapObjective()
		late = maxGap > 0 && x.maxGap <= maxGap && gap > maxGap
		x.maxGap = max(x.maxGap, gap)
	}
	x.lastEventAt = now
	return late
}

// outcome returns the outcome of a request with a complete response.
func (x *exchange) outcome() string {
	objective, maxGap := x.firstEventObjective(), x.gapObjective()
	switch {
	case objective > 0 && x.firstByteAt.Sub(x.arrived) > objective:
		return outcomeLateFirstEvent
	case maxGap > 0 && x.maxGap > maxGap:
		return outcomeLateGap
	}
	return outcomeInTime
}

// start sends the head of the response.
func (x *exchange) start(status int, header http.Header, size int) {
	x.started, x.firstByteAt = true, time.Now()
	x.response.Start(status, header, size, timeutil.Later(x.deadline, x.firstByteAt).Add(maxReadDelay))
}

type handler = chain.Handler[*exchange]

// Serve serves one request. The error is a [*sumachead.Refusal] if there is no complete response;
// started then reports whether part of one has been sent, in which case the caller's connection
// must be aborted.
func (g *Gateway) Serve(ctx context.Context, r *sumachead.CallerRequest, a sumachead.CallerResponse) (started bool, err error) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{ctx: ctx, request: r, response: a, arrived: time.Now()}
	g.requestStopper.add(&x.stoppable, cancel)
	defer g.requestStopper.remove(&x.stoppable)
	if err := g.handle(x); err != nil {
		f := sumachead.AsRefusal(err)
		if f.Verdict == sumachead.NotRun && errors.Is(context.Cause(ctx), errStopping) {
			f = RefuseStopping()
		}
		g.recordRefusal(x, f)
		return x.started, f
	}
	g.metrics.recordServed(x)
	g.logServed(x)
	return x.started, nil
}

// refusePermanently refuses a request for which a retry does not help.
func refusePermanently(reason sumachead.Reason, detail string) error {
	return sumachead.Refuse(sumachead.NotRun, reason, detail, time.Time{})
}

// deadlines returns until when a response is useful to the caller.
func (x *exchange) deadlines() waitpolicy.Deadlines {
	u := waitpolicy.Deadlines{Hard: x.request.Deadline}
	if !x.deadline.IsZero() {
		u.Hard = x.deadline
	}
	if o := x.firstEventObjective(); o > 0 {
		u.Soft = x.arrived.Add(o)
	}
	return u
}

// firstEventObjective returns the time within which the first byte is due.
func (x *exchange) firstEventObjective() time.Duration {
	return time.Duration(x.route.GetObjectiveMillis()) * time.Millisecond
}

// placeRequest returns the properties of the request that matter to the scheduler.
func (x *exchange) placeRequest() *place.Request {
	w := &place.Request{
		Route: x.route.GetName(), PromptTokens: x.request.PromptTokens, MaxOutputTokens: x.request.MaxOutputTokens, Parts: x.request.Parts,
		MaxEventGap: x.gapObjective(), Engine: x.service.GetEngine(),
	}
	w.FirstEventDeadline, w.Deadline = x.deadlines().Soft, x.deadline
	return w
}

// gapObjective returns the maximum gap between events; 0 for none.
func (x *exchange) gapObjective() time.Duration {
	return time.Duration(x.route.GetPauseMillis()) * time.Millisecond
}

// idempotent reports whether the request may run more than once.
func (x *exchange) idempotent() bool {
	switch x.route.GetKind() {
	case wire.RouteKind_ROUTE_KIND_REPEATABLE:
		return true
	case wire.RouteKind_ROUTE_KIND_STREAM:
		return x.route.GetResumable()
	}
	return false
}

// workspace returns the workspace's name; empty on a public route.
func (x *exchange) workspace() sumachead.WorkspaceID {
	return sumachead.WorkspaceID(x.access.GetName())
}

// urgency returns the urgency of the request; 0 is the most urgent.
func (x *exchange) urgency() uint32 {
	if x.access != nil && x.access.Priority != nil {
		return x.access.GetPriority()
	}
	return x.route.GetPriority()
}

// logServed logs a request with a complete response; above a rate, only some of them.
func (g *Gateway) logServed(x *exchange) {
	g.servedLog.Info(g.Log, "Request served.", append(x.fields(),
		"outcome", x.outcome(), "first", x.firstByteAt.Sub(x.arrived), "pause", x.maxGap)...)
}

// recordRefusal counts and logs a request that ended without a complete response.
func (g *Gateway) recordRefusal(x *exchange, f *sumachead.Refusal) {
	g.metrics.recordRefused(x, f.Reason)
	g.failureLog.Info(g.Log, "Request ended without a complete response.", append(x.fields(),
		"reason", f.Reason, "verdict", f.Verdict, "detail", f.Detail, "started", x.started)...)
}

// fields returns the fields common to all log lines about a request: what it was, the declaration
// it was handled under, where it was placed and what was known about that server.
func (x *exchange) fields() []any {
	fields := []any{
		"request", x.request.ID, "workspace", x.workspace(), "attempts", x.attempts, "events", x.events, "billed", x.billed,
		"after", time.Since(x.arrived),
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.GetName())
	}
	if x.view != nil {
		fields = append(fields, "declaration", x.view.Number)
	}
	if x.request.LastEvent != "" {
		fields = append(fields, "last_event", x.request.LastEvent, "resumes", x.request.Resumes)
	}
	if l := x.placement; l != nil {
		first, backlog := l.Predicted()
		fields = append(fields, "server", l.Record.GetId(), "software", l.Record.GetSoftware(), "home", l.Preferred, "prompt", x.request.PromptTokens,
			"unread", l.UncachedTokens(), "backlog", backlog, "expected", first.Sub(x.arrived), "running", l.Running, "told", l.LoadAge, "cold", l.Cold)
		if x.framing != "" {
			fields = append(fields, "framing", x.framing, "partial_bytes", x.partialBytes)
		}
		if x.limit > 0 {
			fields = append(fields, "limit", x.limit)
		}
	}
	return fields
}
