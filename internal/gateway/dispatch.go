package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/catalog"
	"sumachead/internal/patience"
	"sumachead/internal/place"
	"sumachead/internal/upstream"
)

// connPart is the part, in percent, of a server's connections that all routers
// together use; the rest is for health checks and routers that come new.
const connPart = 80

// dispatch is one request's way from its first attempt to its answer.
type dispatch struct {
	*Gateway
	x *exchange
	// ctx ends with the caller's, or with the request's deadline.
	ctx context.Context
	// tried are the servers of the attempts so far.
	tried []sumachead.ServerID
	// mayHaveRun: an attempt before this one may have run.
	mayHaveRun bool
	// last is why the last attempt failed.
	last *upstream.Failure
	// homes are the data halls that the request may be sent to; nil for all.
	homes []string
	// sentAt is when the last attempt began.
	sentAt time.Time
	// repeatTaken: the allowance holds the next attempt, since the one that it was used up for
	// reached nobody.
	repeatTaken bool
	// held is for how long the caller has held the last write of its answer up.
	held time.Duration
	// learned is what is found out about the server of the last attempt; nil for nothing.
	learned *learning
	// trial is the number of the request's trial: it is suspected, and runs nowhere else in
	// the fleet; 0 for none.
	trial uint64
	// stream is the state of an answer of events; nil for a plain answer.
	stream *eventStream
}

// dispatch runs a request and brings its answer. It is the end of the chain.
func (g *Gateway) dispatch(x *exchange) error {
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	x.service = x.view.Service(catalog.Pick(x.route))
	d := &dispatch{Gateway: g, x: x, ctx: ctx, homes: g.homeHalls(x)}
	if x.route.GetKind() == wire.RouteKind_ROUTE_KIND_STREAM {
		d.stream = newEventStream(x)
	}
	g.retries.note(time.Now(), g.client.Routers())
	err := d.run()
	if err != nil {
		d.letSpread()
	}
	d.settleTrial(err)
	return err
}

// run makes attempts until one brings the answer or no other may be made.
func (d *dispatch) run() error {
	for {
		if stop := d.mayRun(); stop != nil {
			return stop
		}
		err := d.attempt()
		if err == nil {
			return nil
		}
		var f *upstream.Failure
		if !errors.As(err, &f) {
			return err
		}
		d.last = f
		d.learned = d.learn(f)
		if f.Verdict != sumachead.NotRun {
			d.mayHaveRun = true
		}
		d.await(d.learned)
		if stop := d.mayRetry(); stop != nil {
			return stop
		}
		d.noteRetry(d.x, f)
	}
}

// noteRetry counts and logs that a request is sent again after a failure.
func (g *Gateway) noteRetry(x *exchange, f *upstream.Failure) {
	g.metrics.retries.WithLabelValues(string(f.Reason)).Inc()
	g.failures.Info(g.Log, "A request is sent again.", append(x.fields(),
		"reason", f.Reason, "verdict", f.Verdict, "cause", f.Err.Error())...)
}

// mayRetry returns nil if the request may be sent to another server, and
// otherwise how it ends.
func (d *dispatch) mayRetry() error {
	switch {
	case d.ctx.Err() != nil:
		return d.ended()
	case d.mayHaveRun && !d.x.repeatable():
		return d.giveUp(d.last.Reason, "the backend server did not answer, and the request may not be repeated")
	case !d.attemptLeft():
		return d.giveUp(d.last.Reason, "no attempt is left: "+d.last.Err.Error())
	case d.x.attempts > 0 && !d.takeRepeat():
		return d.giveUp(sumachead.ReasonRetryBudget, "too much is sent again already")
	}
	return nil
}

// takeRepeat reports whether the allowance holds another attempt.
func (d *dispatch) takeRepeat() bool {
	if !d.repeatTaken {
		d.repeatTaken = d.retries.take(time.Now(), d.client.Routers())
	}
	return d.repeatTaken
}

// attemptLeft reports whether the route allows another attempt.
func (d *dispatch) attemptLeft() bool {
	return d.x.attempts < int(max(d.x.route.GetMaxAttempts(), 1))
}

// giveUp is the end of a request that is not tried again.
func (d *dispatch) giveUp(reason sumachead.Reason, detail string) error {
	if !d.mayHaveRun {
		return d.refuse(reason, detail)
	}
	if reason == sumachead.ReasonRetryBudget {
		reason = d.last.Reason
	}
	return sumachead.Refuse(sumachead.MayHaveRun, reason, detail, time.Time{})
}

// refuse refuses a request that has not run; its caller is to come back when it should
// be served.
func (d *dispatch) refuse(reason sumachead.Reason, detail string) error {
	now := time.Now()
	at := d.chooser.AvailableAt(d.known(), now)
	switch {
	case reason == sumachead.ReasonRetryBudget:
		at = d.retries.nextAt(now, d.client.Routers())
	case at.IsZero():
		at = now.Add(d.Heartbeat) // a server that is there tells of itself by then
	}
	return sumachead.Refuse(sumachead.NotRun, reason, detail, patience.JitteredRetryAt(at, d.x.use(), d.x.urgency(), now))
}

// ended is the end of a request whose time is up or whose caller has gone.
func (d *dispatch) ended() error {
	if d.x.ctx.Err() != nil {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the caller has gone", time.Time{})
	}
	if !d.mayHaveRun && d.x.attempts == 0 {
		return refuseFinally(sumachead.ReasonNoServer, "the time is up, and the request was not sent")
	}
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonDeadlinePassed, "the time is up", time.Time{})
}

// attempt sends the request to one server and relays what it answers. A
// [*upstream.Failure] says that another attempt may be made.
func (d *dispatch) attempt() error {
	l, err := d.choose()
	if err != nil {
		return err
	}
	end := d.sampler.Begin(l.Record.GetService(), l.Record.GetSoftware())
	defer end()
	id := sumachead.ServerID(l.Record.GetId())
	d.tried = append(d.tried, id)
	d.x.placement = l
	a, err := d.send(l, id)
	if err != nil {
		d.noteSample(l, nil, err)
		return d.failed(l, err)
	}
	defer a.Close()
	err = d.relay(l, a)
	d.noteSample(l, a, err)
	if err == nil {
		l.Done(true, time.Now())
		return nil
	}
	return d.failed(l, err)
}

// send makes the attempt and waits for the head of its answer.
func (d *dispatch) send(l *place.Placement, id sumachead.ServerID) (*upstream.Response, error) {
	x := d.x
	t := &sumachead.Attempt{Server: id, Workspace: x.workspace(), Deadline: x.deadline, Urgency: x.urgency(), FetchFrom: l.FetchFrom}
	if d.stream != nil {
		t.LastEvent = d.stream.lastID
	}
	x.attempts++
	d.sentAt = time.Now()
	if x.limit = d.limits.Get(id).Rate; x.limit > 0 {
		d.metrics.limitedSends.Inc()
	}
	a, err := d.upstream.Send(d.ctx, upstream.Server{ID: id, Address: l.Record.GetAddress()}, d.connBound(), x.request, t)
	var f *upstream.Failure
	if errors.As(err, &f) && f.Verdict == sumachead.NotRun {
		x.attempts-- // it reached nobody
		return nil, err
	}
	d.repeatTaken = false
	return a, err
}

// connBound returns how many connections this router may have to one server.
func (d *dispatch) connBound() int {
	return max(int(d.x.service.GetMaxConns())*connPart/100/d.client.Routers(), 1)
}

// failed ends a placement by what the failure says of the server.
func (d *dispatch) failed(l *place.Placement, err error) error {
	var f *upstream.Failure
	switch {
	case !errors.As(err, &f) || d.ctx.Err() != nil:
		l.Cancel(time.Now())
	case tellsOfFailure(f.Reason):
		l.Done(false, time.Now())
	default:
		l.CancelNotRun(time.Now())
	}
	return err
}

// tellsOfFailure reports whether the reason of a failure makes its server doubtful: one that
// is busy, rests or leaves is as it should be, and has not run the request.
func tellsOfFailure(r sumachead.Reason) bool {
	return r != sumachead.ReasonBusy && r != sumachead.ReasonResting && r != sumachead.ReasonLeaving
}

// relay brings a server's answer to the caller.
func (d *dispatch) relay(l *place.Placement, a *upstream.Response) error {
	switch {
	case a.Head.NotRun || a.Head.Stale:
		reason := sumachead.ReasonBusy
		if rest := a.Head.RestUntil; !rest.IsZero() {
			reason = sumachead.ReasonResting
			l.ReportBackoff(time.Until(rest))
		}
		if a.Head.Stale {
			// Another life answers at the address: this one is over, so that
			// nothing more is sent to it before the leader tells of that.
			reason = sumachead.ReasonFenced
			d.servers.Leave(l.Record.GetId(), time.Now())
		}
		drain(a)
		return &upstream.Failure{Verdict: sumachead.NotRun, Reason: reason, Err: errors.New("the backend server did not run the request")}
	case !d.stream.fresh() && a.Status != http.StatusOK:
		// The caller has the beginning of a stream: nothing but its events may follow.
		drain(a)
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonServerFailed, Err: errors.New("the backend server did not go on with the stream")}
	case a.Head.Failed && d.x.repeatable() && d.stream.fresh() && d.mayTryElsewhere():
		drain(a)
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonServerFailed, Err: errors.New("the backend server failed")}
	case d.stream != nil && !a.Head.Failed:
		return d.relayEvents(l, a)
	}
	return d.relayWhole(a)
}

// mayTryElsewhere reports whether there is another server and an attempt left.
func (d *dispatch) mayTryElsewhere() bool {
	return d.attemptLeft() && len(d.known()) > len(d.tried)
}
