package router

import (
	"context"
	"errors"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// dispatch is the state of one request from its reservation to its response.
type dispatch struct {
	*Router
	x      *exchange
	ctx    context.Context
	entry  *wire.Entry
	target *target
	tried  []sumachead.ServerID
	// mayHaveRun is set when an earlier attempt may have run.
	mayHaveRun bool
	// restarted is set when the agent of the last attempt has restarted. The new
	// process may be tried again.
	restarted bool
	// refusedAt is when an agent first refused because of stale settings.
	refusedAt time.Time
	// used is the number of tokens that the failed attempt is known to have used.
	used int64
}

// dispatch reserves tokens for a request, places it, runs it and delivers its
// response. It is the last handler of the filter chain.
func (r *Router) dispatch(x *exchange) error {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if !r.follower.MayServe(x.pool) {
		return x.widenForCallerKey(refuseWithRetry(sumachead.NotRun, sumachead.ReasonSettingsStale, "the settings are not proved current"))
	}
	r.retryBudgets.recordRequest(x.workspace)
	d := &dispatch{Router: r, x: x, ctx: ctx}
	if err := d.waitForServer(); err != nil {
		return x.widenForCallerKey(sumachead.AsRefusal(err))
	}
	return d.reserve()
}

// place chooses the target of the next attempt.
func (d *dispatch) place() error {
	t, err := d.chooseTarget(d.ctx, d.x, d.tried)
	if err != nil {
		return err
	}
	d.target = t
	return nil
}

// widenForAttempts changes the verdict of a refusal from NotRun to MayHaveRun if an
// earlier attempt may have run.
func (d *dispatch) widenForAttempts(f *sumachead.Refusal) *sumachead.Refusal {
	if d.mayHaveRun && f.Verdict == sumachead.NotRun {
		g := *f
		g.Verdict = sumachead.MayHaveRun
		return &g
	}
	return f
}

// run makes attempts until one delivers a complete response or no retry is
// allowed.
func (d *dispatch) run() error {
	for {
		d.x.attempts++
		d.metrics.attempts.Inc()
		f := d.runOnce()
		if f == nil {
			return nil
		}
		if !d.mayRetry(f) {
			return d.fail(f)
		}
		d.metrics.retries.WithLabelValues(string(f.Reason)).Inc()
		if err := d.reassignToNext(f); err != nil {
			return err
		}
	}
}

// runOnce makes one attempt. It returns nil once the caller has the complete
// response.
func (d *dispatch) runOnce() *sumachead.Refusal {
	d.used = 0
	if f := d.start(); f != nil {
		return f
	}
	return d.deliver()
}

// mayRetry reports whether another attempt is allowed after a refusal.
func (d *dispatch) mayRetry(f *sumachead.Refusal) bool {
	switch f.Reason {
	case sumachead.ReasonDeadlinePassed, sumachead.ReasonBadRequest, sumachead.ReasonRunning, sumachead.ReasonAnswerGone:
		return false
	}
	if d.x.headerSent || d.ctx.Err() != nil || f.Verdict == sumachead.Ran {
		return false
	}
	if d.x.nonIdempotent && (f.Verdict != sumachead.NotRun || d.mayHaveRun) {
		return false
	}
	return d.retryBudgets.tryTake(d.x.workspace)
}

// fail returns the refusal for the caller and, if the request did not run, releases its reservation.
func (d *dispatch) fail(f *sumachead.Refusal) error {
	f = d.widenForAttempts(f)
	if d.ctx.Err() != nil && d.x.r.Context().Err() != nil {
		return f // the caller disconnected; the agent finishes and settles
	}
	// An attempt that may have run keeps its entry: its agent settles it, or
	// the next request with the key continues it.
	if f.Verdict == sumachead.NotRun {
		d.reportOutcome(&wire.SettleRequest{NotRun: true})
	}
	return f
}

// reassignToNext reassigns the entry to another server after a failed attempt.
func (d *dispatch) reassignToNext(f *sumachead.Refusal) error {
	if f.Verdict != sumachead.NotRun {
		d.mayHaveRun = true
	}
	if !d.restarted {
		d.tried = append(d.tried, d.target.server)
	}
	d.restarted = false
	if f.Reason == sumachead.ReasonSettingsStale && d.refusedAt.IsZero() {
		d.refusedAt = time.Now()
	}
	next := d.place
	if mayWaitForServer(f) {
		next = d.waitForServer
	}
	if err := next(); err != nil {
		// No other server is left. The refusal of the attempt is more specific.
		return d.fail(f)
	}
	return d.reassign(f.Verdict == sumachead.NotRun)
}

// join serves a request whose key the ledger knows: from the agent that runs
// or ran it, or by taking over from a router that crashed.
func (d *dispatch) join() error {
	t, err := d.targetOf(d.entry.GetAttempt(), d.x.view)
	if err != nil {
		return d.takeOver()
	}
	d.target = t
	code, err := d.attach()
	settled := d.entry.GetState() == wire.EntryState_ENTRY_STATE_SETTLED
	switch {
	case err != nil || code == wire.RunCode_RUN_CODE_WRONG_BOOT:
		return d.takeOver()
	case code == wire.RunCode_RUN_CODE_ACCEPTED:
		f := d.deliver()
		if f == nil {
			return nil
		}
		if settled || !d.mayRetry(f) {
			return f
		}
		d.metrics.retries.WithLabelValues(string(f.Reason)).Inc()
		if err := d.reassignToNext(f); err != nil {
			return err
		}
		return d.run()
	case settled:
		return responseGone(time.Time{})
	}
	// The agent is running and has never seen the key: the router of the attempt
	// crashed or is about to dispatch. This router takes the attempt over, at the
	// same agent process.
	if err := d.reassign(false); err != nil {
		return err
	}
	return d.run()
}

func responseGone(retryAt time.Time) error {
	return sumachead.Refuse(sumachead.Ran, sumachead.ReasonAnswerGone, "the request ran; its answer is not to be had", retryAt)
}

// takeOver takes over an entry whose agent is unreachable or has restarted.
func (d *dispatch) takeOver() error {
	if d.entry.GetState() == wire.EntryState_ENTRY_STATE_SETTLED {
		return responseGone(time.Now().Add(shortRetryDelay))
	}
	if d.entry.GetNotRepeatable() {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonServerUnreached,
			"the process that may have run it does not answer", time.Now().Add(shortRetryDelay))
	}
	d.mayHaveRun = true
	d.tried = append(d.tried, sumachead.ServerID(d.entry.GetAttempt().GetServer()))
	err := d.place()
	if errors.Is(err, errNoServer) {
		d.tried = nil
		err = d.place()
	}
	if err != nil {
		return d.widenForAttempts(sumachead.AsRefusal(err))
	}
	if err := d.reassign(false); err != nil {
		return err
	}
	return d.run()
}
