package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/place"
	"sumachead/internal/upstream"
	"sumachead/internal/waitpolicy"
)

// connSharePercent is the share of a server's connections that all routers together use; the rest
// is left for health checks and newly started routers.
const connSharePercent = 80

// dispatch is the state of one request from its first attempt to its response.
type dispatch struct {
	*Gateway
	x *exchange
	// ctx ends with the caller's context, at the request's deadline, or with cancel.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// tried lists the servers of the attempts so far.
	tried []sumachead.ServerID
	// mayHaveRun is set if an earlier attempt may have run.
	mayHaveRun bool
	// lastFailure is why the last attempt failed.
	lastFailure *upstream.Failure
	// halls are the data halls that the request may be sent to; nil for all.
	halls []string
	// sentAt is when the last attempt began.
	sentAt time.Time
	// retrySendBy is until when the next attempt may be sent, as a retry that has been paid for; 0
	// if none has.
	retrySendBy sumachead.BootTime
	// writeBlocked is how long the caller blocked the last write of its response.
	writeBlocked time.Duration
	// crashCheck finds out whether the last attempt's server has crashed; nil if there is nothing
	// to find out.
	crashCheck *crashCheck
	// trialNumber is the number of the request's trial: it is a suspect and runs nowhere else in
	// the fleet; 0 for none.
	trialNumber uint64
	// trialSubjects are the fingerprints of the suspects on the trial.
	trialSubjects [][]byte
	// stream is the state of an event stream; nil for a plain response.
	stream *eventStream
}

// dispatch runs a request and relays its response. It is the end of the filter chain.
func (g *Gateway) dispatch(x *exchange) error {
	cancelable, cancelCause := context.WithCancelCause(x.ctx)
	defer cancelCause(nil)
	ctx, cancel := context.WithDeadline(cancelable, x.deadline)
	defer cancel()
	d := &dispatch{Gateway: g, x: x, ctx: ctx, cancel: cancelCause, halls: g.allowedHalls(x)}
	if x.route.GetKind() == wire.RouteKind_ROUTE_KIND_STREAM {
		d.stream = newEventStream(x)
	}
	if err := d.findOrigin(); err != nil {
		return err
	}
	g.blockRequests.add(d)
	defer g.blockRequests.remove(d)
	err := d.run()
	if err != nil {
		d.republishOrigin()
		d.awaitPropagation()
	}
	d.reportTrialResult(err)
	return err
}

// run makes attempts until one yields the response or no further attempt is allowed.
func (d *dispatch) run() error {
	for {
		if stop := d.checkStanding(); stop != nil {
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
		d.lastFailure = f
		d.crashCheck = d.startCrashCheck(f)
		if f.Verdict != sumachead.NotRun {
			d.mayHaveRun = true
		}
		d.awaitCrashCheck(d.crashCheck)
		if stop := d.checkRetry(); stop != nil {
			return stop
		}
		d.recordRetry(d.x, f)
	}
}

// recordRetry counts and logs that a request is retried after a failure.
func (g *Gateway) recordRetry(x *exchange, f *upstream.Failure) {
	g.metrics.retries.WithLabelValues(string(f.Reason)).Inc()
	g.failureLog.Info(g.Log, "Retrying request.", append(x.fields(),
		"reason", f.Reason, "verdict", f.Verdict, "service", x.service.GetName(), "cause", f.Err.Error())...)
}

// checkRetry returns nil if the request may be sent to another server, and otherwise its final
// error.
func (d *dispatch) checkRetry() error {
	switch {
	case d.ctx.Err() != nil:
		return d.contextError()
	case d.mayHaveRun && !d.x.idempotent():
		return d.giveUp(d.lastFailure.Reason, "the request may not be repeated: "+d.lastFailure.Err.Error())
	case !d.hasAttemptLeft():
		return d.giveUp(d.lastFailure.Reason, "no attempt is left: "+d.lastFailure.Err.Error())
	case !d.requestStopper.mayRetry(&d.x.stoppable, d.x.started):
		return d.refuseStopping()
	}
	return d.reserveRetry()
}

// reserveRetry pays for another attempt if a server has received the request before, and returns the
// request's final error if the retry budget does not allow it. An attempt that reached no server was
// not charged; what was paid for it is used by the next one, unless that comes too late.
func (d *dispatch) reserveRetry() error {
	if d.x.attempts == 0 || d.retrySendBy > (boottime.Clock{}).Now() {
		return nil
	}
	service := d.x.service.GetName()
	sendBy, ok := d.retries.Take(d.ctx, service)
	d.metrics.serviceRetries.WithLabelValues(service, strconv.FormatBool(ok)).Inc()
	if !ok {
		return d.giveUp(sumachead.ReasonRetryBudget, "too much is sent again already")
	}
	d.retrySendBy = sendBy
	return nil
}

// hasAttemptLeft reports whether the route allows another attempt.
func (d *dispatch) hasAttemptLeft() bool {
	return d.x.attempts < int(max(d.x.route.GetMaxAttempts(), 1))
}

// giveUp returns the final error of a request that is not retried.
func (d *dispatch) giveUp(reason sumachead.Reason, detail string) error {
	if !d.mayHaveRun {
		return d.refuse(reason, detail)
	}
	if reason == sumachead.ReasonRetryBudget {
		reason = d.lastFailure.Reason
	}
	return sumachead.Refuse(sumachead.MayHaveRun, reason, detail, time.Time{})
}

// refuse refuses a request that has not run; its caller is told to retry when it is likely to be
// served.
func (d *dispatch) refuse(reason sumachead.Reason, detail string) error {
	now := time.Now()
	at := d.scheduler.AvailableAt(d.known(), now)
	switch {
	case reason == sumachead.ReasonRetryBudget:
		at = now.Add(d.retries.Denied(d.x.service.GetName()))
	case at.IsZero():
		at = now.Add(d.Heartbeat) // a running server has sent a heartbeat by then
	}
	return sumachead.Refuse(sumachead.NotRun, reason, detail, waitpolicy.JitteredRetryAt(at, d.x.deadlines(), d.x.urgency(), now))
}

// contextError returns the final error of a request whose deadline has passed or whose caller has
// disconnected.
func (d *dispatch) contextError() error {
	if errors.Is(context.Cause(d.ctx), errStopping) {
		return d.refuseStopping()
	}
	if d.x.ctx.Err() != nil {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the caller has gone", time.Time{})
	}
	if errors.Is(context.Cause(d.ctx), errBlockBarred) {
		return d.refuseBarredBlock()
	}
	if !d.mayHaveRun && d.x.attempts == 0 {
		return refusePermanently(sumachead.ReasonNoServer, "the time is up, and the request was not sent")
	}
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonDeadlinePassed, "the time is up", time.Time{})
}

// attempt sends the request to one server and relays its response. A [*upstream.Failure] means that
// another attempt may be made.
func (d *dispatch) attempt() error {
	l, err := d.choose()
	if err != nil {
		return err
	}
	// Choosing may have taken longer than the retry that was paid for may wait.
	if err := d.reserveRetry(); err != nil {
		l.CancelNotRun(time.Now())
		return err
	}
	if !d.requestStopper.beginAttempt(&d.x.stoppable, d.x.started) {
		l.CancelNotRun(time.Now())
		return d.refuseStopping()
	}
	defer d.requestStopper.endAttempt(&d.x.stoppable)
	end := d.sampler.BeginRequest(l.Record.GetService(), l.Record.GetSoftware())
	defer end()
	id := sumachead.ServerID(l.Record.GetId())
	d.tried = append(d.tried, id)
	d.x.placement = l
	d.blockRequests.setSoftware(d, l.Record.GetSoftware())
	defer d.blockRequests.setSoftware(d, "")
	a, err := d.send(l, id)
	if err != nil {
		d.recordOutcome(l, nil, err)
		return d.endPlacement(l, err)
	}
	defer a.Close()
	err = d.relay(l, a)
	d.recordOutcome(l, a, err)
	if err == nil {
		l.Done(true, time.Now())
		return nil
	}
	return d.endPlacement(l, err)
}

// send makes the attempt and waits for the head of its response.
func (d *dispatch) send(l *place.Placement, id sumachead.ServerID) (*upstream.Response, error) {
	x := d.x
	t := &sumachead.Attempt{Server: id, Workspace: x.workspace(), Deadline: x.deadline, Urgency: x.urgency(), FetchFrom: l.FetchFrom}
	if x.attempts > 0 {
		t.SendBy = d.retrySendBy
	}
	if d.stream != nil {
		t.LastEvent = d.stream.lastID
		d.stream.beginAttempt()
	}
	x.attempts++
	d.sentAt = time.Now()
	if x.limit = d.limits.Get(id).Rate; x.limit > 0 {
		d.metrics.limitedSends.Inc()
	}
	a, err := d.upstream.Send(d.ctx, upstream.Server{ID: id, Address: l.Record.GetAddress()}, d.maxConns(), x.request, t)
	var f *upstream.Failure
	if errors.As(err, &f) && f.Verdict == sumachead.NotRun {
		x.attempts-- // it reached no server
		return nil, err
	}
	d.retrySendBy = 0
	return a, err
}

// maxConns returns how many connections this router may have to one server.
func (d *dispatch) maxConns() int {
	return max(int(d.x.service.GetMaxConns())*connSharePercent/100/d.client.Routers(), 1)
}

// endPlacement ends a placement according to what the failure says about the server.
func (d *dispatch) endPlacement(l *place.Placement, err error) error {
	var f *upstream.Failure
	switch {
	case !errors.As(err, &f) || d.ctx.Err() != nil:
		l.Cancel(time.Now())
	case errors.Is(f.Err, upstream.ErrNoMemory):
		l.Cancel(time.Now())
	case countsAsServerFailure(f.Reason):
		l.Done(false, time.Now())
	default:
		l.CancelNotRun(time.Now())
	}
	return err
}

// countsAsServerFailure reports whether a failure for this reason ejects the server for a while. A
// server that is busy, backs off or is leaving works as intended and has not run the request.
func countsAsServerFailure(r sumachead.Reason) bool {
	return r != sumachead.ReasonBusy && r != sumachead.ReasonResting && r != sumachead.ReasonLeaving
}

// relay passes a server's response on to the caller.
func (d *dispatch) relay(l *place.Placement, a *upstream.Response) error {
	switch {
	case a.Head.NotRun || a.Head.Stale:
		reason := sumachead.ReasonBusy
		if backoffEnd := a.Head.BackoffUntil; !backoffEnd.IsZero() {
			reason = sumachead.ReasonResting
			l.ReportBackoff(time.Until(backoffEnd))
		}
		if a.Head.Stale {
			// Another incarnation responds at the address, so this one has ended: send nothing more
			// to it before the leader reports that.
			reason = sumachead.ReasonFenced
			d.servers.MarkLeaving(l.Record.GetId(), time.Now())
		}
		drain(a)
		return &upstream.Failure{Verdict: sumachead.NotRun, Reason: reason, Err: errors.New("the backend server did not run the request")}
	case !d.stream.unstarted() && !sendsEvents(a):
		// The caller has the beginning of a stream: only its events may follow.
		drain(a)
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonServerFailed, Err: errors.New("the backend server did not go on with the stream")}
	case a.Head.Failed && d.x.idempotent() && d.stream.unstarted() && d.canTryAnother():
		drain(a)
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonServerFailed, Err: errors.New("the backend server failed")}
	case d.stream != nil && sendsEvents(a):
		return d.relayEvents(l, a)
	}
	return d.relayBuffered(a)
}

// canTryAnother reports whether another server and another attempt are left.
func (d *dispatch) canTryAnother() bool {
	return d.hasAttemptLeft() && len(d.known()) > len(d.tried)
}
