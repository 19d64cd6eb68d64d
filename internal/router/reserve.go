package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/patience"
)

const (
	// ledgerTimeout bounds how long a request waits for the ledger. It covers
	// the election of a new leader.
	ledgerTimeout = 4 * time.Second
	// journalTimeout bounds the wait for the hall's journal where the ledger
	// can be asked instead. It is more than the time after which a hall that is
	// cut off goes by its journal alone.
	journalTimeout = 3 * time.Second
	// budgetRetry is when to come back after a budget has refused.
	budgetRetry = 10 * time.Second
)

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

// reserveWithRoom reserves, and asks again while the budget is short only because of the
// upper bounds of requests under way, and these are expected to end in time.
func (d *dispatch) reserveWithRoom(ctx context.Context, r *wire.ReserveRequest) (*wire.LedgerReply, error) {
	p := patience.ElapsedEstimate{Since: time.Now()}
	end, _ := ctx.Deadline() // the caller's, or an earlier one
	for {
		reply, err := d.ledger.Reserve(ctx, r) // held there until there may be room
		if err != nil || !reply.GetRoomSoon() {
			return reply, err
		}
		if _, wait := patience.ShouldWait(p, usefulUntil(end), time.Now()); !wait {
			return reply, nil
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

// settle reports the outcome of the present attempt.
func (d *dispatch) settle(s *wire.SettleRequest) {
	s.Workspace, s.Key = d.entry.GetWorkspace(), d.entry.GetKey()
	s.Attempt = d.entry.GetAttempt().GetNumber()
	s.Hall = d.entry.GetHall()
	d.settler.add(settleItem{settle: s, server: d.to})
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
