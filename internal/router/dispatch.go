package router

import (
	"context"
	"errors"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// dispatch is one request's way from its reservation to its answer.
type dispatch struct {
	*Router
	x     *exchange
	ctx   context.Context
	entry *wire.Entry
	to    *target
	tried []sumachead.ServerID
	// mayHaveRun: an attempt before this one may have run.
	mayHaveRun bool
	// restarted: the agent of the last attempt turned out to be a new process,
	// which may be tried as well.
	restarted bool
	// refusedAt is when an agent first refused that had no settings proved current.
	refusedAt time.Time
	// used is what the attempt that has just failed is known to have used.
	used int64
}

// dispatch reserves, places and runs a request, and brings its answer. It is
// the end of the filter chain.
func (r *Router) dispatch(x *exchange) error {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if !r.follower.MayServe(x.pool) {
		return x.unsure(refuseSoon(sumachead.NotRun, sumachead.ReasonSettingsStale, "the settings are not proved current"))
	}
	r.retries.noteRequest(x.workspace)
	d := &dispatch{Router: r, x: x, ctx: ctx}
	if err := d.awaitServer(); err != nil {
		return x.unsure(sumachead.AsRefusal(err))
	}
	return d.reserve()
}

// place chooses where the next attempt goes.
func (d *dispatch) place() error {
	t, err := d.choose(d.ctx, d.x, d.tried)
	if err != nil {
		return err
	}
	d.to = t
	return nil
}

// final widens a refusal's verdict by what earlier attempts may have done.
func (d *dispatch) final(f *sumachead.Refusal) *sumachead.Refusal {
	if d.mayHaveRun && f.Verdict == sumachead.NotRun {
		g := *f
		g.Verdict = sumachead.MayHaveRun
		return &g
	}
	return f
}

// run makes attempts until one brings the whole answer or no other may be
// made.
func (d *dispatch) run() error {
	for {
		d.x.attempts++
		d.metrics.attempts.Inc()
		f := d.runOnce()
		if f == nil {
			return nil
		}
		if !d.mayRetry(f) {
			return d.giveUp(f)
		}
		d.metrics.retries.WithLabelValues(string(f.Reason)).Inc()
		if err := d.moveOn(f); err != nil {
			return err
		}
	}
}

// runOnce makes one attempt; nil means that the caller has the whole answer.
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
	if d.x.answered || d.ctx.Err() != nil || f.Verdict == sumachead.Ran {
		return false
	}
	if d.x.notRepeatable && (f.Verdict != sumachead.NotRun || d.mayHaveRun) {
		return false
	}
	return d.retries.take(d.x.workspace)
}

// giveUp ends the request without an answer.
func (d *dispatch) giveUp(f *sumachead.Refusal) error {
	f = d.final(f)
	if d.ctx.Err() != nil && d.x.r.Context().Err() != nil {
		return f // the caller is gone; the agent finishes and settles
	}
	// An attempt that may have run keeps its entry: its agent settles it, or
	// the next request with the key takes it on.
	if f.Verdict == sumachead.NotRun {
		d.settle(&wire.SettleRequest{NotRun: true})
	}
	return f
}

// moveOn takes the entry to another server after a failed attempt.
func (d *dispatch) moveOn(f *sumachead.Refusal) error {
	if f.Verdict != sumachead.NotRun {
		d.mayHaveRun = true
	}
	if !d.restarted {
		d.tried = append(d.tried, d.to.server)
	}
	d.restarted = false
	if f.Reason == sumachead.ReasonSettingsStale && d.refusedAt.IsZero() {
		d.refusedAt = time.Now()
	}
	next := d.place
	if mayAwait(f) {
		next = d.awaitServer
	}
	if err := next(); err != nil {
		// No other server is left: the refusal that led here says more.
		return d.giveUp(f)
	}
	return d.reassign(f.Verdict == sumachead.NotRun)
}

// join serves a request whose key the ledger knows: from the agent that runs
// or ran it, or by taking it on where its router has died.
func (d *dispatch) join() error {
	t, err := d.link(d.entry.GetAttempt(), d.x.view)
	if err != nil {
		return d.orphan()
	}
	d.to = t
	code, err := d.attach()
	settled := d.entry.GetState() == wire.EntryState_ENTRY_STATE_SETTLED
	switch {
	case err != nil || code == wire.RunCode_RUN_CODE_WRONG_BOOT:
		return d.orphan()
	case code == wire.RunCode_RUN_CODE_ACCEPTED:
		f := d.deliver()
		if f == nil {
			return nil
		}
		if settled || !d.mayRetry(f) {
			return f
		}
		d.metrics.retries.WithLabelValues(string(f.Reason)).Inc()
		if err := d.moveOn(f); err != nil {
			return err
		}
		return d.run()
	case settled:
		return answerGone(time.Time{})
	}
	// The agent lives and has never seen the key: its router died, or is about
	// to dispatch. This router takes the attempt on, at the same process.
	if err := d.reassign(false); err != nil {
		return err
	}
	return d.run()
}

func answerGone(retryAt time.Time) error {
	return sumachead.Refuse(sumachead.Ran, sumachead.ReasonAnswerGone, "the request ran; its answer is not to be had", retryAt)
}

// orphan deals with an entry whose agent does not answer, or is a new process.
func (d *dispatch) orphan() error {
	if d.entry.GetState() == wire.EntryState_ENTRY_STATE_SETTLED {
		return answerGone(time.Now().Add(retrySoon))
	}
	if d.entry.GetNotRepeatable() {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonServerUnreached,
			"the process that may have run it does not answer", time.Now().Add(retrySoon))
	}
	d.mayHaveRun = true
	d.tried = append(d.tried, sumachead.ServerID(d.entry.GetAttempt().GetServer()))
	err := d.place()
	if errors.Is(err, errNoServer) {
		d.tried = nil
		err = d.place()
	}
	if err != nil {
		return d.final(sumachead.AsRefusal(err))
	}
	if err := d.reassign(false); err != nil {
		return err
	}
	return d.run()
}
