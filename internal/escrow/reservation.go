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
}

// Reserve reserves bound of a workspace's tokens. If too little is available, it asks the
// ledger and waits while the estimated grant would still be useful to the caller, or until ctx
// ends or the ledger says that the budget is exhausted. The urgency ranks the caller among
// those told to retry. The error is a [*sumachead.Refusal].
func (w *Wallet) Reserve(ctx context.Context, id sumachead.WorkspaceID, bound sumachead.Tokens, u waitpolicy.Deadlines, urgency uint32) (*Reservation, error) {
	begun := time.Now()
	r, a, changed := w.attempt(id, bound, begun, true)
	if a == short {
		defer func() { w.stopWaiting(id, bound, a == admitted) }()
	}
	p := w.grantEstimate(id, begun)
	for {
		switch a {
		case admitted:
			return r, nil
		case exhausted:
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBudgetExhausted, "the workspace's budget does not hold the request", time.Time{})
		}
		now := time.Now()
		retryAt, wait := waitpolicy.ShouldWait(p, u, now)
		if !wait {
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonLedgerUnreached, "too little escrow at hand", waitpolicy.RetryAt(p, u, urgency, now))
		}
		if !loop.Pause(ctx, changed, retryAt) {
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the caller has gone", time.Time{})
		}
		r, a, changed = w.attempt(id, bound, time.Now(), false)
	}
}

// TryReserve reserves bound of a workspace's tokens if that much is available. Otherwise it
// returns nil and records nothing.
func (w *Wallet) TryReserve(id sumachead.WorkspaceID, bound sumachead.Tokens) *Reservation {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balances[id]
	if p == nil || p.available() < bound {
		return nil
	}
	p.updateRate(now, bound)
	return w.reserve(p, id, bound)
}

// RecordDemand records a request for bound of a workspace's tokens that were not available and
// that it does not wait for, so that the ledger grants tokens for later requests.
func (w *Wallet) RecordDemand(id sumachead.WorkspaceID, bound sumachead.Tokens) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(id)
	p.updateRate(now, bound)
	p.dirty = true
	w.scheduleReport(p, now)
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
)

// attempt tries once to reserve from a balance. The first attempt of a request counts as demand
// and, if it is short, adds the request to those waiting.
func (w *Wallet) attempt(id sumachead.WorkspaceID, bound sumachead.Tokens, now time.Time, first bool) (*Reservation, admission, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(id)
	if first {
		p.updateRate(now, bound)
	}
	if p.available() >= bound {
		return w.reserve(p, id, bound), admitted, nil
	}
	if p.exhaustion.covers(bound, now) {
		return nil, exhausted, nil
	}
	if first {
		p.waiting = append(p.waiting, bound)
	}
	p.recordShort(bound, now)
	p.dirty = true
	w.scheduleReport(p, now)
	return nil, short, w.changed
}

// reserve reserves a bound. The caller holds mu.
func (w *Wallet) reserve(p *balance, id sumachead.WorkspaceID, bound sumachead.Tokens) *Reservation {
	p.reserved += bound
	p.dirty = true
	p.recordAdmitted(bound)
	if p.available() < p.lowWatermark {
		p.lowWatermark = 0 // at most one such report until the next reply
		w.RequestReport()
	}
	return &Reservation{w, w.boot, id, bound}
}

// stopWaiting removes a request from those waiting.
func (w *Wallet) stopWaiting(id sumachead.WorkspaceID, bound sumachead.Tokens, served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(id)
	i := slices.Index(p.waiting, bound)
	if i < 0 {
		return // the ledger has closed the incarnation that the request waited in
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	if !served {
		p.abandoned = append(p.abandoned, bound)
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
	p.spent += min(max(bill, 0), r.bound)
	p.dirty = true
	if len(p.waiting) > 0 {
		w.notify()
	}
}
