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
	"sumachead/internal/waitpolicy"
)

// Name is the RPC service name of a [Lender].
const Name = "Lending"

const (
	// billGracePeriod is how long after the caller's deadline a bill may still arrive. It
	// covers the outages between two hosts that users report. The tokens stay reserved
	// meanwhile.
	billGracePeriod = 10 * time.Second
	// sweepInterval is how often overdue loans are settled.
	sweepInterval = time.Second
	// drainPollInterval is how often a stopping lender checks for loans without a bill.
	drainPollInterval = 20 * time.Millisecond
)

// Lender lends the tokens of a router's wallet. Set the exported fields before Run.
type Lender struct {
	Wallet *escrow.Wallet
	// LedgerUnreachable reports whether this process cannot reach the ledger.
	LedgerUnreachable func() bool
	// OnOverdue is called with tokens that count as spent because no bill came.
	OnOverdue func(sumachead.Tokens)

	stopping atomic.Bool

	mu    sync.Mutex // guards the fields below, and loans
	loans map[loanKey]*loan
}

// loanKey identifies a loan by the borrower's incarnation and a number within it.
type loanKey struct {
	boot   sumachead.BootID
	number uint64
}

// loan is the lender's state of one loan.
type loan struct {
	bound sumachead.Tokens
	// reservation is nil while the loan waits for tokens, and once the bill is known.
	reservation *escrow.Reservation
	// cancel stops the wait for tokens; it is nil when none is in progress.
	cancel context.CancelFunc
	// ended is set once the bill is known, even if it arrived before the request for the loan.
	ended bool
	// overdueAt is when the loan is settled without a bill, or forgotten if it has ended.
	overdueAt time.Time
}

// Run settles overdue loans until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	return loop.Every(ctx, sweepInterval, func() { l.settleOverdue(time.Now()) })
}

// Reserve makes a loan or replies with a refusal. If Wait is set, it waits while tokens may
// still come in time.
func (l *Lender) Reserve(r *wire.LoanRequest, reply *wire.LoanReply) error {
	if r.GetDeadlineMicros() <= 0 || r.GetBound() <= 0 {
		return trace.BadParameter("a loan without a deadline or a bound")
	}
	now := time.Now()
	if l.stopping.Load() {
		reply.Refusal = refuseElsewhere("the lender stops")
		return nil
	}
	deadline := now.Add(time.Duration(r.GetDeadlineMicros()) * time.Microsecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	key := loanKey{sumachead.BootID(r.GetBoot()), r.GetNumber()}
	n := &loan{bound: sumachead.Tokens(r.GetBound()), cancel: cancel, overdueAt: deadline.Add(billGracePeriod)}
	if !l.openLoan(key, n) {
		reply.Refusal = refuseElsewhere("the loan was ended before")
		return nil
	}
	reservation, refusal := l.reserveTokens(ctx, r, deadline, now)
	reply.Refusal, reply.Short = refusal, reservation == nil && refusal == nil
	l.completeLoan(key, n, reservation)
	return nil
}

// reserveTokens reserves the tokens in the wallet. If both results are nil, too little is
// available now, and the borrower may ask again and wait.
func (l *Lender) reserveTokens(ctx context.Context, r *wire.LoanRequest, deadline, now time.Time) (*escrow.Reservation, *wire.LoanRefusal) {
	q := escrow.Request{
		Workspace: sumachead.WorkspaceID(r.GetWorkspace()), Bound: sumachead.Tokens(r.GetBound()),
		Deadlines: waitpolicy.Deadlines{Hard: deadline}, Urgency: r.GetUrgency(), Urgent: r.GetUrgent(),
	}
	if m := l.Wallet.TryReserve(q); m != nil {
		return m, nil
	}
	// What the ledger said recently holds for the whole budget, also if it is out of reach now.
	if err := l.Wallet.RefuseKnown(q, now); err != nil {
		return nil, refusalToWire(err, false, now)
	}
	if l.LedgerUnreachable() {
		return nil, refuseElsewhere("the lender does not reach the ledger")
	}
	if !r.GetWait() {
		return nil, nil
	}
	if in := r.GetInTimeMicros(); in > 0 {
		q.Deadlines.Soft = now.Add(time.Duration(in) * time.Microsecond)
	}
	m, err := l.Wallet.Reserve(ctx, q)
	if err != nil {
		return nil, refusalToWire(err, l.LedgerUnreachable(), time.Now())
	}
	return m, nil
}

// openLoan registers a requested loan. It returns false if the loan has ended already.
func (l *Lender) openLoan(k loanKey, n *loan) bool {
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

// completeLoan sets the loan's reservation. The loan is over if there is none, or if its bill
// arrived meanwhile.
func (l *Lender) completeLoan(k loanKey, n *loan, reservation *escrow.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n.cancel = nil
	switch {
	case reservation == nil:
		delete(l.loans, k)
	case n.ended:
		reservation.Settle(0) // only a borrower that got no reply ends a loan this early
	default:
		n.reservation = reservation
	}
}

// Settle applies bills. A duplicate, or a bill for a loan that is overdue, changes nothing.
func (l *Lender) Settle(r *wire.LoanBills, _ *wire.Empty) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range r.GetBills() {
		l.settleLoan(loanKey{sumachead.BootID(r.GetBoot()), b.GetNumber()}, sumachead.Tokens(b.GetBill()), time.Now())
	}
	return nil
}

// settleLoan settles a loan by its bill. The caller holds mu.
func (l *Lender) settleLoan(k loanKey, bill sumachead.Tokens, now time.Time) {
	n := l.loans[k]
	switch {
	case n == nil:
		if l.loans == nil {
			l.loans = make(map[loanKey]*loan)
		}
		// The request for the loan may arrive later.
		l.loans[k] = &loan{ended: true, overdueAt: now.Add(billGracePeriod)}
		return
	case n.ended:
		return
	case n.reservation != nil:
		n.reservation.Settle(bill)
	case n.cancel != nil:
		n.cancel()
	}
	n.ended, n.reservation, n.overdueAt = true, nil, now.Add(billGracePeriod)
}

// settleOverdue settles loans whose bills are overdue at their bounds, and forgets loans that
// ended long ago.
func (l *Lender) settleOverdue(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, n := range l.loans {
		if now.Before(n.overdueAt) {
			continue
		}
		if n.reservation != nil {
			n.reservation.Settle(n.bound)
			l.OnOverdue(n.bound)
		}
		delete(l.loans, k)
	}
}

// Stop stops making loans.
func (l *Lender) Stop() { l.stopping.Store(true) }

// Drain waits until all bills are known or ctx ends. Call it after Stop.
func (l *Lender) Drain(ctx context.Context) {
	loop.Until(ctx, drainPollInterval, func() bool { return l.OpenLoans() == 0 })
}

// OpenLoans returns how many loans have no bill yet.
func (l *Lender) OpenLoans() int {
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

// refuseElsewhere returns the refusal of a lender that cannot tell whether there are tokens.
func refuseElsewhere(detail string) *wire.LoanRefusal {
	return &wire.LoanRefusal{Reason: string(sumachead.ReasonLedgerUnreached), Detail: detail, RetryMicros: noRetry, Elsewhere: true}
}
