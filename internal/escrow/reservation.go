package escrow

import (
	"context"
	"slices"
	"time"

	"sumachead"
)

// exhaustedFor is how long a ledger's word that a budget is used up is believed.
const exhaustedFor = time.Second

// Reservation is the upper bound of one request's cost, held until its bill is
// known.
type Reservation struct {
	// wallet is nil once the reservation is settled.
	wallet    *Wallet
	boot      sumachead.BootID
	workspace sumachead.WorkspaceID
	bound     sumachead.Tokens
}

// Reserve holds bound of a workspace's money. When there is too little at hand it
// asks the ledger and waits until the deadline, the end of ctx, or the ledger's
// word that the budget is used up. The error is a [*sumachead.Refusal].
func (w *Wallet) Reserve(ctx context.Context, id sumachead.WorkspaceID, bound sumachead.Tokens, deadline time.Time) (*Reservation, error) {
	r, a, changed := w.try(id, bound, time.Now(), true)
	if a == short {
		defer func() { w.leave(id, bound, a == admitted) }()
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		switch a {
		case admitted:
			return r, nil
		case exhausted:
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBudgetExhausted, "the workspace's budget does not hold the request", time.Time{})
		}
		w.Kick()
		select {
		case <-changed:
		case <-timer.C:
			const comeBack = 250 * time.Millisecond // some reports
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonLedgerUnreached, "too little escrow at hand", time.Now().Add(comeBack))
		case <-ctx.Done():
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the caller has gone", time.Time{})
		}
		r, a, changed = w.try(id, bound, time.Now(), false)
	}
}

// admission is the outcome of one look at a purse.
type admission int

const (
	admitted admission = iota
	// short: there is too little at hand, and the ledger may have more.
	short
	// exhausted: the ledger has said lately that the budget does not hold it.
	exhausted
)

// try looks at a purse once; the first look of a request counts as demand and
// lets it wait if it is short.
func (w *Wallet) try(id sumachead.WorkspaceID, bound sumachead.Tokens, now time.Time, first bool) (*Reservation, admission, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(id)
	if first {
		p.decay(now, bound)
	}
	if p.atHand() >= bound {
		return w.reserve(p, id, bound), admitted, nil
	}
	if now.Sub(p.exhaustedAt) < exhaustedFor && bound >= p.exhaustedBy {
		return nil, exhausted, nil
	}
	if first {
		p.waiting = append(p.waiting, bound)
	}
	p.dirty = true
	return nil, short, w.changed
}

// reserve holds a bound. The caller holds mu.
func (w *Wallet) reserve(p *purse, id sumachead.WorkspaceID, bound sumachead.Tokens) *Reservation {
	p.reserved += bound
	p.dirty = true
	if p.atHand() < p.low {
		p.low = 0 // no more than one such report until the next answer
		w.Kick()
	}
	return &Reservation{w, w.boot, id, bound}
}

// leave ends a request's waiting.
func (w *Wallet) leave(id sumachead.WorkspaceID, bound sumachead.Tokens, served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(id)
	i := slices.Index(p.waiting, bound)
	if i < 0 {
		return // the ledger has closed the life that it waited in
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	if !served {
		p.left = append(p.left, bound)
		p.dirty = true
	}
}

// Settle puts the bill in the place of the reservation. The bill is cut to the
// bound; a second call does nothing.
func (r *Reservation) Settle(bill sumachead.Tokens) {
	if r == nil || r.wallet == nil {
		return
	}
	w := r.wallet
	r.wallet = nil
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot != r.boot {
		return // the ledger has closed that life and counts all of it as spent
	}
	p := w.purse(r.workspace)
	p.reserved -= r.bound
	p.spent += min(max(bill, 0), r.bound)
	p.dirty = true
	if len(p.waiting) > 0 {
		w.notify()
	}
}
