package gateway

import (
	"context"
	"net/http"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/catalog"
	"sumachead/internal/chain"
	"sumachead/internal/moment"
	"sumachead/internal/patience"
	"sumachead/internal/place"
)

// unreadMost is for how long after its time an answer that is ready waits for its caller to take
// it: what a caller that does not read keeps here, its budget's money too, is free again then.
const unreadMost = 3 * time.Second

// exchange is one request on its way through the filters. Each filter fills in
// its part.
type exchange struct {
	ctx     context.Context
	request *sumachead.CallerRequest
	answer  sumachead.CallerAnswer
	arrived time.Time
	// view is the declaration that the request is dealt with under.
	view  *catalog.View
	route *wire.Route
	// access is the workspace's; nil where none is needed.
	access *wire.WorkspaceAccess
	// service is drawn by dispatch, one for all attempts.
	service *wire.Service
	// deadline is until when the request is worked on.
	deadline time.Time

	// started: the head of the answer has been sent to the caller.
	started bool
	// attempts counts the servers that the request was sent to and that may have
	// run it, or said that they did not.
	attempts int
	// firstAt is when the first byte was handed out; zero before.
	firstAt time.Time
	// placement is where the last attempt went; nil before the first.
	placement *place.Placement
	// limit is the request limit of the last attempt's server; 0 for none.
	limit sumachead.RequestRate
	// events counts the events handed out to the caller.
	events int64
	// print is the request's fingerprint once printed is set; most requests need none.
	print   sumachead.Fingerprint
	printed bool
	// billed is what the request has cost its workspace, once that is known.
	billed sumachead.Tokens
	// eventAt is when the last of them was, and pause the longest time between
	// two.
	eventAt time.Time
	pause   time.Duration
}

// noteEvent keeps the pauses between events. It reports whether one has been too long
// for the first time.
func (x *exchange) noteEvent(now time.Time) (late bool) {
	if !x.eventAt.IsZero() {
		pause, most := now.Sub(x.eventAt), x.pauseObjective()
		late = most > 0 && x.pause <= most && pause > most
		x.pause = max(x.pause, pause)
	}
	x.eventAt = now
	return late
}

// outcome names how a request with a whole answer was served.
func (x *exchange) outcome() string {
	objective, most := x.objective(), x.pauseObjective()
	switch {
	case objective > 0 && x.firstAt.Sub(x.arrived) > objective:
		return outcomeLateFirst
	case most > 0 && x.pause > most:
		return outcomeLatePause
	}
	return outcomeInTime
}

// start sends the head of the answer.
func (x *exchange) start(status int, header http.Header, size int) {
	x.started, x.firstAt = true, time.Now()
	x.answer.Start(status, header, size, moment.Later(x.deadline, x.firstAt).Add(unreadMost))
}

// handler deals with an exchange.
type handler = chain.Handler[*exchange]

// Serve answers one request. The error is a [*sumachead.Refusal] when there is no
// whole answer; started then says whether a part of one has been sent, after
// which the caller's connection must be broken off.
func (g *Gateway) Serve(ctx context.Context, r *sumachead.CallerRequest, a sumachead.CallerAnswer) (started bool, err error) {
	g.open.Add(1)
	defer g.open.Add(-1)
	x := &exchange{ctx: ctx, request: r, answer: a, arrived: time.Now()}
	if err := g.handle(x); err != nil {
		f := sumachead.AsRefusal(err)
		g.noteRefusal(x, f)
		return x.started, f
	}
	g.metrics.noteServed(x)
	g.noteServed(x)
	return x.started, nil
}

// refuseFinally is a refusal after which coming back does not help.
func refuseFinally(reason sumachead.Reason, detail string) error {
	return sumachead.Refuse(sumachead.NotRun, reason, detail, time.Time{})
}

// use returns until when an answer is of use to the caller.
func (x *exchange) use() patience.Deadlines {
	u := patience.Deadlines{Hard: x.request.Deadline}
	if !x.deadline.IsZero() {
		u.Hard = x.deadline
	}
	if o := x.objective(); o > 0 {
		u.Soft = x.arrived.Add(o)
	}
	return u
}

// objective returns the time within which the first byte is in time.
func (x *exchange) objective() time.Duration {
	return time.Duration(x.route.GetObjectiveMillis()) * time.Millisecond
}

// work returns the request as the choice of a server sees it.
func (x *exchange) work() *place.Request {
	w := &place.Request{
		Route: x.route.GetName(), PromptTokens: x.request.PromptTokens, MaxOutputTokens: x.request.AnswerTokens, Parts: x.request.Parts,
		MaxEventGap: x.pauseObjective(), Engine: x.service.GetEngine(),
	}
	w.FirstEventDeadline, w.Deadline = x.use().Soft, x.deadline
	return w
}

// pauseObjective returns the longest pause between events that is in time; 0 for none.
func (x *exchange) pauseObjective() time.Duration {
	return time.Duration(x.route.GetPauseMillis()) * time.Millisecond
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
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

// urgency returns the rank of the request, 0 for the most urgent.
func (x *exchange) urgency() uint32 {
	if x.access != nil && x.access.Priority != nil {
		return x.access.GetPriority()
	}
	return x.route.GetPriority()
}

// noteServed logs a request with a whole answer; above a rate, some of them.
func (g *Gateway) noteServed(x *exchange) {
	g.lines.Info(g.Log, "A request is served.", append(x.fields(),
		"outcome", x.outcome(), "first", x.firstAt.Sub(x.arrived), "pause", x.pause)...)
}

// noteRefusal counts and logs a request that ended without its whole answer.
func (g *Gateway) noteRefusal(x *exchange, f *sumachead.Refusal) {
	g.metrics.noteRefused(x, f.Reason)
	g.failures.Info(g.Log, "A request has no whole answer.", append(x.fields(),
		"reason", f.Reason, "verdict", f.Verdict, "detail", f.Detail, "started", x.started)...)
}

// fields are what all lines about a request tell: what it was, under which
// declaration it was dealt with, where it was placed and what was known there.
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
	if l := x.placement; l != nil {
		first, backlog := l.Predicted()
		fields = append(fields, "server", l.Record.GetId(), "home", l.Preferred, "prompt", x.request.PromptTokens,
			"unread", l.UncachedTokens(), "backlog", backlog, "expected", first.Sub(x.arrived), "running", l.Running, "told", l.LoadAge, "cold", l.Cold)
		if x.limit > 0 {
			fields = append(fields, "limit", x.limit)
		}
	}
	return fields
}
