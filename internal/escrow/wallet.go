package escrow

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// rateMemory is the time constant by which a wallet forgets demand: long enough
// to smooth over single large requests.
const rateMemory = 4 * time.Second

// exhaustedFor is how long a ledger's word that a budget is used up is believed.
const exhaustedFor = time.Second

// purse is a holder's money of one workspace.
type purse struct {
	granted  sumachead.Tokens
	returned sumachead.Tokens
	spent    sumachead.Tokens
	reserved sumachead.Tokens
	// waiting are the bounds of requests that wait for money.
	waiting []sumachead.Tokens
	// left are those of requests that gave up waiting since the last report: they
	// come back.
	left []sumachead.Tokens
	// asked is the smallest of them as of the last report.
	asked sumachead.Tokens
	// rate is demand in tokens a second as of rateAt.
	rate   float64
	rateAt time.Time
	// low is the amount at hand below which a report is due at once.
	low sumachead.Tokens
	// dirty: something changed since the last report.
	dirty bool
	// exhaustedAt is when the ledger said that a request did not fit, and
	// exhaustedBy the smallest such request.
	exhaustedAt time.Time
	exhaustedBy sumachead.Tokens
}

func (p *purse) atHand() sumachead.Tokens { return p.granted - p.returned - p.spent - p.reserved }

// lacks returns what the smallest waiting request and all together lack.
func (p *purse) lacks() (needed, wanted sumachead.Tokens) {
	all := slices.Concat(p.waiting, p.left)
	if len(all) == 0 {
		return 0, 0
	}
	for _, b := range all {
		wanted += b
	}
	hand := p.atHand()
	return max(slices.Min(all)-hand, 0), max(wanted-hand, 0)
}

// decay brings the rate up to now and adds an amount to it.
func (p *purse) decay(now time.Time, amount sumachead.Tokens) {
	if !p.rateAt.IsZero() {
		p.rate *= math.Exp(-now.Sub(p.rateAt).Seconds() / rateMemory.Seconds())
	}
	p.rateAt = now
	p.rate += float64(amount) / rateMemory.Seconds()
}

// Wallet holds one node's escrow and admits requests from it without a call. It
// is safe for concurrent use. Set the exported fields before the first call.
type Wallet struct {
	Node sumachead.NodeID
	// Kick asks for a report soon; it must not block.
	Kick func()

	mu     sync.Mutex // guards the fields below
	boot   sumachead.BootID
	purses map[sumachead.WorkspaceID]*purse
	// changed is closed when a grant arrives.
	changed chan struct{}
}

// Open starts a life of the holder.
func (w *Wallet) Open(boot sumachead.BootID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset(boot)
}

func (w *Wallet) reset(boot sumachead.BootID) {
	w.boot = boot
	w.purses = make(map[sumachead.WorkspaceID]*purse)
	w.notify()
}

func (w *Wallet) notify() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

func (w *Wallet) purse(id sumachead.WorkspaceID) *purse {
	p := w.purses[id]
	if p == nil {
		p = &purse{dirty: true}
		w.purses[id] = p
	}
	return p
}

// Watch makes sure that the next report asks for money of a workspace.
func (w *Wallet) Watch(ids []sumachead.WorkspaceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.purse(id)
	}
}

// Reservation is the upper bound of one request's cost, held until its bill is
// known.
type Reservation struct {
	wallet    *Wallet
	boot      sumachead.BootID
	workspace sumachead.WorkspaceID
	bound     sumachead.Tokens
}

// outcome of one look at a purse.
type admission int

const (
	admitted admission = iota
	short
	exhausted
)

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
		p.low = 0 // once a report
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

// Report returns what is to be told to the ledger; nil when there is nothing new.
func (w *Wallet) Report(now time.Time, closing bool) *wire.EscrowReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &wire.EscrowReport{Node: string(w.Node), Boot: string(w.boot), Closing: closing}
	for id, p := range w.purses {
		if !p.dirty && !closing {
			continue
		}
		p.decay(now, 0)
		p.dirty = false
		needed, wanted := p.lacks()
		p.asked = needed + p.atHand()
		p.left = p.left[:0]
		spent := p.spent
		if closing {
			spent += p.reserved // nobody will tell the bill of what still runs
		}
		r.Positions = append(r.Positions, &wire.EscrowPosition{
			Workspace: string(id), Spent: int64(spent), Returned: int64(p.returned),
			Reserved: int64(p.reserved), Rate: int64(p.rate), Granted: int64(p.granted),
			Needed: int64(needed), Wanted: int64(wanted),
		})
	}
	if len(r.Positions) == 0 && !closing {
		return nil
	}
	return r
}

// Touch puts workspaces into the next report if there is money of theirs at hand
// to give back; it reports whether there is.
func (w *Wallet) Touch(ids []sumachead.WorkspaceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := false
	for _, id := range ids {
		if p := w.purses[id]; p != nil && p.atHand() > 0 {
			p.dirty = true
			found = true
		}
	}
	return found
}

// Unsent marks a report's positions as not told, after a call that failed.
func (w *Wallet) Unsent(r *wire.EscrowReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range r.GetPositions() {
		w.purse(sumachead.WorkspaceID(p.GetWorkspace())).dirty = true
	}
}

// Take puts a reply in force. It reports whether the ledger has closed this life:
// the wallet is then empty and under a new one.
func (w *Wallet) Take(reply *wire.EscrowReply, boot, next sumachead.BootID, now time.Time) (closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot != boot {
		return false
	}
	if reply.GetClosed() {
		w.reset(next)
		return true
	}
	for _, a := range reply.GetAnswers() {
		w.takeOne(a, now)
	}
	w.notify()
	return false
}

func (w *Wallet) takeOne(a *wire.EscrowAnswer, now time.Time) {
	p := w.purse(sumachead.WorkspaceID(a.GetWorkspace()))
	p.granted = max(p.granted, sumachead.Tokens(a.GetGranted()))
	const lowPart = 2
	p.low = p.atHand() / lowPart
	p.exhaustedAt = time.Time{}
	if a.GetExhausted() {
		p.exhaustedAt, p.exhaustedBy = now, p.asked
	}
	if keep := sumachead.Tokens(a.GetKeep()); keep >= 0 && p.atHand() > keep {
		p.returned += p.atHand() - keep
		p.dirty = true
		w.Kick()
	}
}

// AtHand returns what could be reserved now, for status and metrics.
func (w *Wallet) AtHand(id sumachead.WorkspaceID) sumachead.Tokens {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.purses[id]; p != nil {
		return p.atHand()
	}
	return 0
}

// Sum is a wallet's money of all workspaces, by state.
type Sum struct{ AtHand, Reserved, Spent, Returned sumachead.Tokens }

// Sum adds up all workspaces.
func (w *Wallet) Sum() Sum {
	w.mu.Lock()
	defer w.mu.Unlock()
	var s Sum
	for _, p := range w.purses {
		s.AtHand += p.atHand()
		s.Reserved += p.reserved
		s.Spent += p.spent
		s.Returned += p.returned
	}
	return s
}
