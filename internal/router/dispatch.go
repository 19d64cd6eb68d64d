package router

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
)

const (
	// ledgerTimeout bounds how long a request waits for the ledger. It covers
	// the election of a new leader.
	ledgerTimeout = 4 * time.Second
	// journalTimeout bounds the wait for the hall's journal where the ledger
	// can be asked instead. It is more than the time after which a hall that is
	// cut off goes by its journal alone.
	journalTimeout = 3 * time.Second
	// roomWait bounds the wait for a budget that is short only because of
	// requests under way, as does this part of the time to the deadline.
	roomWait  = 1500 * time.Millisecond
	roomShare = 4
	// budgetRetry is when to come back after a budget has refused.
	budgetRetry = 10 * time.Second
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
	if !r.follower.MayServe(x.pool, time.Now()) {
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

func (d *dispatch) attempt() *wire.Attempt {
	return &wire.Attempt{Owner: d.newOwner(), Server: string(d.to.server), Boot: d.to.boot}
}

// reserve writes the entry and goes on as the ledger says.
func (d *dispatch) reserve() error {
	x := d.x
	a := d.attempt()
	mayRedraw := !x.callersKey && keeperclient.HallOf(string(x.key), d.Config.Keepers) != ""
	timeout := ledgerTimeout
	if mayRedraw {
		timeout = journalTimeout
	}
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	reply, err := d.reserveWithRoom(ctx, &wire.ReserveRequest{
		Workspace: string(x.workspace.ID), Key: string(x.key), BodyHash: d.bodyHash(),
		Budget: string(x.workspace.Budget), Amount: int64(x.work.bound), NotRepeatable: x.notRepeatable,
		Attempt: a, DeadlineUnixNano: x.deadline.UnixNano(), Hall: string(d.Config.Hall),
	})
	unavailable := reply.GetCode() == wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE
	if (err != nil || unavailable) && mayRedraw && d.ctx.Err() == nil {
		// The hall's journal is down, or new. Nothing has been sent under the
		// key, so that another one, of the ledger, serves as well.
		d.withdraw(a)
		x.setKey(d.drawKey(false))
		return d.reserve()
	}
	if err != nil {
		return d.unreached(a, err)
	}
	d.entry = reply.GetEntry()
	switch reply.GetCode() {
	case wire.LedgerCode_LEDGER_CODE_GRANTED:
		return d.run()
	case wire.LedgerCode_LEDGER_CODE_EXISTS, wire.LedgerCode_LEDGER_CODE_SETTLED:
		return d.join()
	}
	f := refusedByLedger(reply)
	if reply.GetPartial() {
		return x.unsure(f)
	}
	return f
}

// reserveWithRoom reserves, and asks again for a short time while the budget is
// short only because of the upper bounds of requests under way.
func (d *dispatch) reserveWithRoom(ctx context.Context, r *wire.ReserveRequest) (*wire.LedgerReply, error) {
	until := time.Now().Add(min(roomWait, time.Until(d.x.deadline)/roomShare))
	for {
		reply, err := d.ledger.Reserve(ctx, r)
		if err != nil || !reply.GetRoomSoon() || time.Now().After(until) {
			return reply, err
		}
	}
}

func refusedByLedger(reply *wire.LedgerReply) *sumachead.Refusal {
	now := time.Now()
	switch reply.GetCode() {
	case wire.LedgerCode_LEDGER_CODE_KEY_CONFLICT:
		return refuseNotRun(sumachead.ReasonKeyConflict, "the key was used for another request", time.Time{})
	case wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED:
		return refuseNotRun(sumachead.ReasonBudgetExhausted, "the budget does not cover the request's upper bound", now.Add(budgetRetry))
	case wire.LedgerCode_LEDGER_CODE_UNKNOWN_BUDGET:
		return refuseNotRun(sumachead.ReasonNoBudget, "the workspace has no budget", now.Add(budgetRetry))
	case wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE:
		return refuseNotRun(sumachead.ReasonClaimUnavailable, "the key can't be claimed here now", now.Add(retrySoon))
	}
	return refuseNotRun(sumachead.ReasonInternal, "the ledger answered "+reply.GetCode().String(), now.Add(retrySoon))
}

// bodyHash tells one request from another under the same key. It covers what
// the caller sent.
func (d *dispatch) bodyHash() []byte {
	h := xxhash.New()
	for _, s := range []string{d.x.r.Method, d.x.r.URL.Path, d.x.r.URL.RawQuery} {
		_, _ = h.WriteString(s + "\n")
	}
	_, _ = h.Write(d.x.body)
	return h.Sum(nil)
}

// unreached refuses a request whose attempt the ledger did not confirm. Only
// this router could have dispatched the attempt, and it has not. The
// reservation, if there is one, is given back when the ledger is reached.
func (d *dispatch) unreached(a *wire.Attempt, err error) error {
	d.withdraw(a)
	d.Log.Debug("The ledger was not reached.", "error", err)
	return d.final(d.x.unsure(refuseSoon(sumachead.NotRun, sumachead.ReasonLedgerUnreached, "the ledger was not reached")))
}

// withdraw gives an attempt's reservation back, should there be one: in the
// hall's journal, or in the ledger and, as that may have been cut off, in the
// journal of this hall. The entry stays when an earlier attempt may have run.
func (d *dispatch) withdraw(a *wire.Attempt) {
	if d.mayHaveRun {
		return
	}
	accounts := []sumachead.HallID{"", d.Config.Hall}
	if h := keeperclient.HallOf(string(d.x.key), d.Config.Keepers); h != "" {
		accounts = []sumachead.HallID{h}
	}
	for _, h := range accounts {
		d.settler.add(settleItem{settle: &wire.SettleRequest{
			Workspace: string(d.x.workspace.ID), Key: string(d.x.key), NotRun: true, Owner: a.GetOwner(), Hall: string(h),
		}})
	}
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

// settle reports the outcome of the present attempt.
func (d *dispatch) settle(s *wire.SettleRequest) {
	s.Workspace, s.Key = d.entry.GetWorkspace(), d.entry.GetKey()
	s.Attempt = d.entry.GetAttempt().GetNumber()
	s.Hall = d.entry.GetHall()
	d.settler.add(settleItem{settle: s, server: d.to})
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

// reassign makes d.to the entry's next attempt.
func (d *dispatch) reassign(notRun bool) error {
	a := d.attempt()
	ctx, cancel := context.WithTimeout(d.ctx, ledgerTimeout)
	defer cancel()
	reply, err := d.ledger.Reassign(ctx, &wire.ReassignRequest{
		Workspace: d.entry.GetWorkspace(), Key: d.entry.GetKey(),
		From: d.entry.GetAttempt().GetNumber(), Attempt: a, NotRun: notRun, Used: d.used, Hall: d.entry.GetHall(),
		DeadlineUnixNano: d.x.deadline.UnixNano(),
	})
	if err != nil {
		return d.unreached(a, err)
	}
	if reply.GetCode() == wire.LedgerCode_LEDGER_CODE_GRANTED {
		d.entry = reply.GetEntry()
		return nil
	}
	if reply.GetCode() == wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED {
		return d.giveUp(sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBudgetExhausted,
			"the budget does not cover another attempt", time.Now().Add(budgetRetry)))
	}
	// Another router has taken the entry on in the meantime.
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonRunning,
		"another attempt with this key is under way", time.Now().Add(retrySoon))
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
