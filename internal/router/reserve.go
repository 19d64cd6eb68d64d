package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/waitpolicy"
)

const (
	// ledgerTimeout is the timeout of a call to the ledger. It covers the election
	// of a new leader.
	ledgerTimeout = 4 * time.Second
	// journalTimeout is the timeout of a call to the hall's journal if the ledger
	// can be used instead. It exceeds the time after which a hall that is cut off
	// uses its journal alone.
	journalTimeout = 3 * time.Second
	// budgetRetryDelay is the retry delay after a refusal for lack of budget.
	budgetRetryDelay = 10 * time.Second
)

func (d *dispatch) newAttempt() *wire.Attempt {
	return &wire.Attempt{Owner: d.newAttemptOwner(), Server: string(d.target.server), Boot: d.target.boot}
}

// reserve creates the ledger entry and continues according to the reply.
func (d *dispatch) reserve() error {
	x := d.x
	a := d.newAttempt()
	mayReplaceKey := !x.callerChoseKey && keeperclient.HallOf(string(x.key), d.Config.Keepers) != ""
	timeout := ledgerTimeout
	if mayReplaceKey {
		timeout = journalTimeout
	}
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	reply, err := d.reserveWhenFree(ctx, &wire.ReserveRequest{
		Workspace: string(x.workspace.ID), Key: string(x.key), BodyHash: d.bodyHash(),
		Budget: string(x.workspace.Budget), Amount: int64(x.backend.maxCost), NotRepeatable: x.nonIdempotent,
		Attempt: a, DeadlineUnixNano: x.deadline.UnixNano(), Hall: string(d.Config.Hall),
	})
	unavailable := reply.GetCode() == wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE
	if (err != nil || unavailable) && mayReplaceKey && d.ctx.Err() == nil {
		// The hall's journal is down or new. Nothing has been sent under the key,
		// so a key of the ledger can replace it.
		d.withdraw(a)
		x.setKey(d.randomKey(false))
		return d.reserve()
	}
	if err != nil {
		return d.refuseUnreachable(a, err)
	}
	d.entry = reply.GetEntry()
	switch reply.GetCode() {
	case wire.LedgerCode_LEDGER_CODE_GRANTED:
		return d.run()
	case wire.LedgerCode_LEDGER_CODE_EXISTS, wire.LedgerCode_LEDGER_CODE_SETTLED:
		return d.join()
	}
	f := ledgerRefusal(reply)
	if reply.GetPartial() {
		return x.widenForCallerKey(f)
	}
	return f
}

// reserveWhenFree reserves tokens. It retries while the budget is short only because of the
// upper bounds of requests in flight, and these are expected to end in time.
func (d *dispatch) reserveWhenFree(ctx context.Context, r *wire.ReserveRequest) (*wire.LedgerReply, error) {
	p := waitpolicy.ElapsedEstimate{Since: time.Now()}
	end, _ := ctx.Deadline() // the caller's deadline or the end of the timeout
	for {
		reply, err := d.ledger.Reserve(ctx, r) // a long poll: returns once tokens may be free
		if err != nil || !reply.GetRoomSoon() {
			return reply, err
		}
		if _, wait := waitpolicy.ShouldWait(p, singleDeadline(end), time.Now()); !wait {
			return reply, nil
		}
	}
}

func ledgerRefusal(reply *wire.LedgerReply) *sumachead.Refusal {
	now := time.Now()
	switch reply.GetCode() {
	case wire.LedgerCode_LEDGER_CODE_KEY_CONFLICT:
		return refuseNotRun(sumachead.ReasonKeyConflict, "the key was used for another request", time.Time{})
	case wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED:
		return refuseNotRun(sumachead.ReasonBudgetExhausted, "the budget does not cover the request's upper bound", now.Add(budgetRetryDelay))
	case wire.LedgerCode_LEDGER_CODE_UNKNOWN_BUDGET:
		return refuseNotRun(sumachead.ReasonNoBudget, "the workspace has no budget", now.Add(budgetRetryDelay))
	case wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE:
		return refuseNotRun(sumachead.ReasonClaimUnavailable, "the key can't be claimed here now", now.Add(shortRetryDelay))
	}
	return refuseNotRun(sumachead.ReasonInternal, "the ledger answered "+reply.GetCode().String(), now.Add(shortRetryDelay))
}

// bodyHash returns a hash of what the caller sent, by which the ledger detects
// different requests with the same key.
func (d *dispatch) bodyHash() []byte {
	h := xxhash.New()
	for _, s := range []string{d.x.r.Method, d.x.r.URL.Path, d.x.r.URL.RawQuery} {
		_, _ = h.WriteString(s + "\n")
	}
	_, _ = h.Write(d.x.body)
	return h.Sum(nil)
}

// refuseUnreachable refuses a request whose attempt the ledger did not confirm. Only
// this router could have dispatched the attempt, and it has not. The
// reservation, if there is one, is released once the ledger is reachable.
func (d *dispatch) refuseUnreachable(a *wire.Attempt, err error) error {
	d.withdraw(a)
	d.Log.Debug("Failed to reach the ledger.", "error", err)
	return d.widenForAttempts(d.x.widenForCallerKey(refuseWithRetry(sumachead.NotRun, sumachead.ReasonLedgerUnreached, "the ledger was not reached")))
}

// withdraw releases the reservation of an attempt, if there is one: in the
// journal of the key's hall, or else in the ledger and, because the ledger may
// have been unreachable, in the journal of this hall. The entry stays if an
// earlier attempt may have run.
func (d *dispatch) withdraw(a *wire.Attempt) {
	if d.mayHaveRun {
		return
	}
	accounts := []sumachead.HallID{"", d.Config.Hall}
	if h := keeperclient.HallOf(string(d.x.key), d.Config.Keepers); h != "" {
		accounts = []sumachead.HallID{h}
	}
	for _, h := range accounts {
		d.settler.enqueue(settleItem{settle: &wire.SettleRequest{
			Workspace: string(d.x.workspace.ID), Key: string(d.x.key), NotRun: true, Owner: a.GetOwner(), Hall: string(h),
		}})
	}
}

// reportOutcome reports the outcome of the current attempt.
func (d *dispatch) reportOutcome(s *wire.SettleRequest) {
	s.Workspace, s.Key = d.entry.GetWorkspace(), d.entry.GetKey()
	s.Attempt = d.entry.GetAttempt().GetNumber()
	s.Hall = d.entry.GetHall()
	d.settler.enqueue(settleItem{settle: s, target: d.target})
}

// reassign records an attempt at d.target as the entry's next attempt.
func (d *dispatch) reassign(notRun bool) error {
	a := d.newAttempt()
	ctx, cancel := context.WithTimeout(d.ctx, ledgerTimeout)
	defer cancel()
	reply, err := d.ledger.Reassign(ctx, &wire.ReassignRequest{
		Workspace: d.entry.GetWorkspace(), Key: d.entry.GetKey(),
		From: d.entry.GetAttempt().GetNumber(), Attempt: a, NotRun: notRun, Used: d.used, Hall: d.entry.GetHall(),
		DeadlineUnixNano: d.x.deadline.UnixNano(),
	})
	if err != nil {
		return d.refuseUnreachable(a, err)
	}
	if reply.GetCode() == wire.LedgerCode_LEDGER_CODE_GRANTED {
		d.entry = reply.GetEntry()
		return nil
	}
	if reply.GetCode() == wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED {
		return d.fail(sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBudgetExhausted,
			"the budget does not cover another attempt", time.Now().Add(budgetRetryDelay)))
	}
	// Another router has taken over the entry in the meantime.
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonRunning,
		"another attempt with this key is under way", time.Now().Add(shortRetryDelay))
}
