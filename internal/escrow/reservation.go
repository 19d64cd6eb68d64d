package escrow

import (
	"context"
	"slices"
	"time"

	"sumachead"
	"sumachead/internal/loop"
	"sumachead/internal/moment"
	"sumachead/internal/patience"
)

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
// asks the ledger, and waits while what is expected of it is of use to the caller, or
// until ctx ends or the ledger says that the budget is used up. The urgency is the
// caller's rank among those who come back. The error is a [*sumachead.Refusal].
func (w *Wallet) Reserve(ctx context.Context, id sumachead.WorkspaceID, bound sumachead.Tokens, u patience.Deadlines, urgency uint32) (*Reservation, error) {
	begun := time.Now()
	r, a, changed := w.try(id, bound, begun, true)
	if a == short {
		defer func() { w.leave(id, bound, a == admitted) }()
	}
	p := w.prospect(id, begun)
	for {
		switch a {
		case admitted:
			return r, nil
		case exhausted:
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBudgetExhausted, "the workspace's budget does not hold the request", time.Time{})
		}
		now := time.Now()
		again, wait := patience.ShouldWait(p, u, now)
		if !wait {
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonLedgerUnreached, "too little escrow at hand", patience.RetryAt(p, u, urgency, now))
		}
		if !loop.Pause(ctx, changed, again) {
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the caller has gone", time.Time{})
		}
		r, a, changed = w.try(id, bound, time.Now(), false)
	}
}

// Try holds bound of a workspace's money if there is enough at hand; otherwise it returns
// nil, and nothing is noted.
func (w *Wallet) Try(id sumachead.WorkspaceID, bound sumachead.Tokens) *Reservation {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purses[id]
	if p == nil || p.atHand() < bound {
		return nil
	}
	p.decay(now, bound)
	return w.reserve(p, id, bound)
}

// Want notes a request for bound of a workspace's money that was not at hand and that does
// not wait for it, so that the ledger grants for the next ones.
func (w *Wallet) Want(id sumachead.WorkspaceID, bound sumachead.Tokens) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(id)
	p.decay(now, bound)
	p.dirty = true
	w.ask(p, now)
}

// prospect returns that of a workspace's money for a request that asks for it now:
// requests have lacked some since the first that waited in vain.
func (w *Wallet) prospect(id sumachead.WorkspaceID, asked time.Time) sumachead.Prospect {
	w.mu.Lock()
	since, held := w.purse(id).shortSince, w.purse(id).heldTo
	w.mu.Unlock()
	if w.Prospect == nil {
		return patience.ElapsedEstimate{Since: since}
	}
	return w.Prospect(moment.Later(asked, held), since)
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
	if p.ends.covers(bound, now) {
		return nil, exhausted, nil
	}
	if first {
		p.waiting = append(p.waiting, bound)
	}
	p.noteShort(bound, now)
	p.dirty = true
	w.ask(p, now)
	return nil, short, w.changed
}

// reserve holds a bound. The caller holds mu.
func (w *Wallet) reserve(p *purse, id sumachead.WorkspaceID, bound sumachead.Tokens) *Reservation {
	p.reserved += bound
	p.dirty = true
	p.noteAdmitted(bound)
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
