package lending

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/escrow"
	"sumachead/internal/loop"
	"sumachead/internal/patience"
)

// Name is the name under which a [Lender] takes calls.
const Name = "Lending"

const (
	// billsWithin is how long after the caller's deadline a bill may still come: some
	// cuts between two hosts, as the users tell of them. The money is locked meanwhile.
	billsWithin = 10 * time.Second
	// sweepEvery is how often overdue loans are looked for.
	sweepEvery = time.Second
	// drainStep is how often a lender that stops looks whether bills are still due.
	drainStep = 20 * time.Millisecond
)

// Lender lends the money of a router's wallet. Set the exported fields before Run.
type Lender struct {
	Wallet *escrow.Wallet
	// Unreached reports whether the ledger is out of this process's reach.
	Unreached func() bool
	// Overdue is told of money that counts as spent since no bill came.
	Overdue func(sumachead.Tokens)

	stopping atomic.Bool

	mu    sync.Mutex // guards the fields below, and loans
	loans map[loanKey]*loan
}

// loanKey names a loan: the borrower's life and a number within it.
type loanKey struct {
	boot   sumachead.BootID
	number uint64
}

// loan is the lender's side of one loan.
type loan struct {
	bound sumachead.Tokens
	// money is nil while it is waited for, and once the bill is known.
	money *escrow.Reservation
	// cancel ends the waiting; nil where nothing waits.
	cancel context.CancelFunc
	// ended: the bill is known, also where it came before the loan.
	ended bool
	// overdueAt is when the loan is settled without a bill, or forgotten if it ended.
	overdueAt time.Time
}

// Run settles overdue loans until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	return loop.Every(ctx, sweepEvery, func() { l.sweep(time.Now()) })
}

// Reserve makes a loan, or says why not. With Wait set it is held while the money may
// still come in time.
func (l *Lender) Reserve(r *wire.LoanRequest, reply *wire.LoanReply) error {
	if r.GetDeadlineMicros() <= 0 || r.GetBound() <= 0 {
		return trace.BadParameter("a loan without a deadline or a bound")
	}
	now := time.Now()
	if l.stopping.Load() {
		reply.Refusal = elsewhere("the lender stops")
		return nil
	}
	deadline := now.Add(time.Duration(r.GetDeadlineMicros()) * time.Microsecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	key := loanKey{sumachead.BootID(r.GetBoot()), r.GetNumber()}
	n := &loan{bound: sumachead.Tokens(r.GetBound()), cancel: cancel, overdueAt: deadline.Add(billsWithin)}
	if !l.open(key, n) {
		reply.Refusal = elsewhere("the loan was ended before")
		return nil
	}
	money, refusal := l.take(ctx, r, deadline, now)
	reply.Refusal, reply.Short = refusal, money == nil && refusal == nil
	l.made(key, n, money)
	return nil
}

// take reserves the money in the wallet; without both results there is too little at hand
// at the moment.
func (l *Lender) take(ctx context.Context, r *wire.LoanRequest, deadline, now time.Time) (*escrow.Reservation, *wire.LoanRefusal) {
	id, bound := sumachead.WorkspaceID(r.GetWorkspace()), sumachead.Tokens(r.GetBound())
	if m := l.Wallet.Try(id, bound); m != nil {
		return m, nil
	}
	if l.Unreached() {
		return nil, elsewhere("the lender does not reach the ledger")
	}
	if !r.GetWait() {
		return nil, nil
	}
	u := patience.Deadlines{Hard: deadline}
	if in := r.GetInTimeMicros(); in > 0 {
		u.Soft = now.Add(time.Duration(in) * time.Microsecond)
	}
	m, err := l.Wallet.Reserve(ctx, id, bound, u, r.GetUrgency())
	if err != nil {
		return nil, refusalOf(err, l.Unreached(), time.Now())
	}
	return m, nil
}

// open notes a loan that is asked for; false if it has ended already.
func (l *Lender) open(k loanKey, n *loan) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.loans[k]; old != nil {
		return false
	}
	if l.loans == nil {
		l.loans = make(map[loanKey]*loan)
	}
	l.loans[k] = n
	return true
}

// made puts the money on a loan; where there is none, or its bill has come meanwhile, the
// loan is over.
func (l *Lender) made(k loanKey, n *loan, money *escrow.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n.cancel = nil
	switch {
	case money == nil:
		delete(l.loans, k)
	case n.ended:
		money.Settle(0) // only a borrower without an answer ends a loan so early
	default:
		n.money = money
	}
}

// Settle takes in bills. One that comes again, or for a loan that is overdue, changes
// nothing.
func (l *Lender) Settle(r *wire.LoanBills, _ *wire.Empty) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range r.GetBills() {
		l.settle(loanKey{sumachead.BootID(r.GetBoot()), b.GetNumber()}, sumachead.Tokens(b.GetBill()), time.Now())
	}
	return nil
}

// settle puts a bill in the place of a loan. The caller holds mu.
func (l *Lender) settle(k loanKey, bill sumachead.Tokens, now time.Time) {
	n := l.loans[k]
	switch {
	case n == nil:
		if l.loans == nil {
			l.loans = make(map[loanKey]*loan)
		}
		// The request for the loan may still be on its way.
		l.loans[k] = &loan{ended: true, overdueAt: now.Add(billsWithin)}
		return
	case n.ended:
		return
	case n.money != nil:
		n.money.Settle(bill)
	case n.cancel != nil:
		n.cancel()
	}
	n.ended, n.money, n.overdueAt = true, nil, now.Add(billsWithin)
}

// sweep settles loans whose bills are overdue at their bounds, and forgets those that have
// ended long ago.
func (l *Lender) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, n := range l.loans {
		if now.Before(n.overdueAt) {
			continue
		}
		if n.money != nil {
			n.money.Settle(n.bound)
			l.Overdue(n.bound)
		}
		delete(l.loans, k)
	}
}

// Stop makes no loans any more.
func (l *Lender) Stop() { l.stopping.Store(true) }

// Drain waits until all bills are known or ctx ends. Call it after Stop.
func (l *Lender) Drain(ctx context.Context) {
	loop.Until(ctx, drainStep, func() bool { return l.Open() == 0 })
}

// Open returns how many loans have no bill yet.
func (l *Lender) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := 0
	for _, n := range l.loans {
		if !n.ended {
			open++
		}
	}
	return open
}

// elsewhere is the refusal of a lender that can't know whether there is money.
func elsewhere(detail string) *wire.LoanRefusal {
	return &wire.LoanRefusal{Reason: string(sumachead.ReasonLedgerUnreached), Detail: detail, RetryMicros: never, Elsewhere: true}
}
