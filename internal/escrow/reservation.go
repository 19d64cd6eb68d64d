package escrow

import (
	"context"
	"slices"
	"time"

	"sumachead"
	"sumachead/internal/loop"
	"sumachead/internal/timeutil"
	"sumachead/internal/waitpolicy"
)

// Reservation holds the upper bound of one request's cost until its bill is known.
type Reservation struct {
	// wallet is nil once the reservation is settled.
	wallet    *Wallet
	boot      sumachead.BootID
	workspace sumachead.WorkspaceID
	bound     sumachead.Tokens
	urgent    bool
}

// Request is a request for tokens of a workspace's budget.
type Request struct {
	Workspace sumachead.WorkspaceID
	// Bound is the most that the request may cost.
	Bound     sumachead.Tokens
	Deadlines waitpolicy.Deadlines
	// Urgency ranks the caller among those told to retry; 0 is the most urgent.
	Urgency uint32
	// Urgent states that the request may use what is reserved for urgent requests of its
	// workspace.
	Urgent bool
}

// Reserve reserves the bound of a request. If too little is available, it asks the ledger and
// waits while the estimated grant would still be useful to the caller, or until ctx ends or the
// ledger says that the budget is exhausted. The error is a [*sumachead.Refusal].
func (w *Wallet) Reserve(ctx context.Context, q Request) (*Reservation, error) {
	begun := time.Now()
	r, a, changed := w.attempt(q, begun, true)
	if a == short {
		defer func() { w.stopWaiting(q, a == admitted) }()
	}
	p := w.grantEstimate(q.Workspace, begun)
	for {
		switch a {
		case admitted:
			return r, nil
		case exhausted, reserved:
			return nil, refusalFor(a)
		}
		now := time.Now()
		retryAt, wait := waitpolicy.ShouldWait(p, q.Deadlines, now)
		if !wait {
			return nil, sumachead.Refuse(sumachead.NotRun, w.shortReason(q.Workspace, now), "too little escrow at hand", waitpolicy.RetryAt(p, q.Deadlines, q.Urgency, now))
		}
		if !loop.Pause(ctx, changed, retryAt) {
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the caller has gone", time.Time{})
		}
		r, a, changed = w.attempt(q, time.Now(), false)
	}
}

// TryReserve reserves the bound of a request if that much is available. Otherwise it returns nil
// and records nothing.
func (w *Wallet) TryReserve(q Request) *Reservation {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balances[q.Workspace]
	if p == nil || w.spendable(p, now) < q.Bound || p.reserves(q, now) {
		return nil
	}
	p.recordDemand(q, now)
	return w.reserve(p, q)
}

// RecordDemand records a request for tokens that were not available and that it does not wait
// for, so that the ledger grants tokens for later requests. It requests no report if the
// ledger's recent answers rule the request out.
func (w *Wallet) RecordDemand(q Request) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(q.Workspace)
	p.recordDemand(q, now)
	p.dirty = true
	if p.ruledOut(q, now) == admitted {
		w.scheduleReport(p, now)
	}
}

// grantEstimate estimates when a request that asks for the workspace's tokens now would get
// them. Requests have been short since the first that waited without success.
func (w *Wallet) grantEstimate(id sumachead.WorkspaceID, requestedAt time.Time) sumachead.Estimate {
	w.mu.Lock()
	since, requestAfter := w.balance(id).shortSince, w.balance(id).requestAfter
	w.mu.Unlock()
	if w.EstimateGrant == nil {
		return waitpolicy.ElapsedEstimate{Since: since}
	}
	return w.EstimateGrant(timeutil.Later(requestedAt, requestAfter), since)
}

// admission is the outcome of one attempt to reserve from a balance.
type admission int

const (
	admitted admission = iota
	// short means that too little is available, but the ledger may have more.
	short
	// exhausted means that the ledger recently said that the budget does not cover the request.
	exhausted
	// reserved means that the ledger recently said that only urgent requests are admitted.
	reserved
)

// refusalFor returns the refusal of a request that the ledger's recent answers rule out, or nil.
// A top-up of the budget can't be foreseen, so there is no retry time.
func refusalFor(a admission) error {
	switch a {
	case exhausted:
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBudgetExhausted, "the workspace's budget does not hold the request", time.Time{})
	case reserved:
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBudgetReserved, "what is left of the workspace's budget is reserved for more urgent requests", time.Time{})
	}
	return nil
}

// shortReason returns why a request that is short of tokens is refused.
func (w *Wallet) shortReason(id sumachead.WorkspaceID, now time.Time) sumachead.Reason {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.balance(id).unreached(now) {
		return sumachead.ReasonLedgerUnreached
	}
	return sumachead.ReasonBudgetInUse
}

// attempt tries once to reserve from a balance. The first attempt of a request counts as demand
// and, if it is short, adds the request to those waiting.
func (w *Wallet) attempt(q Request, now time.Time, first bool) (*Reservation, admission, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(q.Workspace)
	if first {
		p.recordDemand(q, now)
	}
	if a := p.ruledOut(q, now); a != admitted {
		return nil, a, nil
	}
	if w.spendable(p, now) >= q.Bound {
		return w.reserve(p, q), admitted, nil
	}
	if first {
		p.waiting = append(p.waiting, shortRequest{q.Bound, q.Urgent})
	}
	p.recordShort(q.Bound, now)
	p.dirty = true
	w.scheduleReport(p, now)
	w.wakeWhenUnlimited(now)
	return nil, short, w.changed
}

// reserve reserves the bound of a request. The caller holds mu.
func (w *Wallet) reserve(p *balance, q Request) *Reservation {
	p.reserved += q.Bound
	p.dirty = true
	p.recordAdmitted(q.Bound)
	w.recordReserved(p)
	if p.available() < p.lowWatermark {
		p.lowWatermark = 0 // at most one such report until the next reply
		w.RequestReport()
	}
	return &Reservation{w, w.boot, q.Workspace, q.Bound, q.Urgent}
}

// stopWaiting removes a request from those waiting.
func (w *Wallet) stopWaiting(q Request, served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(q.Workspace)
	i := slices.Index(p.waiting, shortRequest{q.Bound, q.Urgent})
	if i < 0 {
		return // the ledger has closed the incarnation that the request waited in
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	if !served {
		p.abandoned = append(p.abandoned, shortRequest{q.Bound, q.Urgent})
		p.dirty = true
	}
}

// Settle replaces the reservation by the bill, capped at the bound. A second call does nothing.
func (r *Reservation) Settle(bill sumachead.Tokens) {
	if r == nil || r.wallet == nil {
		return
	}
	w := r.wallet
	r.wallet = nil
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot != r.boot {
		return // the ledger has closed that incarnation and counts all its tokens as spent
	}
	p := w.balance(r.workspace)
	p.reserved -= r.bound
	bill = min(max(bill, 0), r.bound)
	p.spent += bill
	p.boundsSettled += r.bound
	if r.urgent {
		p.urgentRate.add(time.Now(), bill, urgentTimeConstant)
	}
	p.dirty = true
	if len(p.waiting) > 0 {
		w.notify()
	}
}
