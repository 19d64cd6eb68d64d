package lending

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/escrow"
	"sumachead/internal/outbox"
	"sumachead/internal/rpc"
	"sumachead/internal/waitpolicy"
)

const (
	// firstReplyTimeout bounds a lender's first reply, which does not wait for tokens: many
	// round trips within a data hall, and a garbage collection on a small host.
	firstReplyTimeout = 80 * time.Millisecond
	// lenderBackoff is how long a lender that did not reply is skipped. Its workspaces have
	// tokens elsewhere meanwhile, so it is short enough to leave little there.
	lenderBackoff = 500 * time.Millisecond
)

// errTryOtherLender means that another lender may grant the loan.
var errTryOtherLender = errors.New("another lender may have tokens")

// Borrower reserves tokens for the requests of one router. Set the exported fields before the
// first call; it is safe for concurrent use.
type Borrower struct {
	// SelfAddress is the address at which this router lends; it is among the lenders.
	SelfAddress string
	// Lenders returns the addresses of the data hall's lenders.
	Lenders func() []string
	Wallet  *escrow.Wallet
	// LedgerUnreachable reports whether this process cannot reach the ledger.
	LedgerUnreachable func() bool
	Pool              *rpc.Pool
	Log               hclog.Logger

	boot       sumachead.BootID
	lastNumber atomic.Uint64
	demand     demand
	// bills are sent to lenders in the background.
	bills *outbox.Outbox[string, pendingBill]

	mu sync.Mutex // guards backoffUntil
	// backoffUntil is the time until which each lender is skipped.
	backoffUntil map[string]time.Time
}

// Init starts an incarnation of the borrower. Call it before Reserve.
func (b *Borrower) Init() {
	b.boot = sumachead.BootID(uuid.NewString())
	b.backoffUntil = make(map[string]time.Time)
	b.bills = b.newOutbox()
}

// Reserve reserves the bound of a request at the workspace's lender, or in this router's own
// wallet if its own demand is high (demand.go) or no lender can know more. The error is a
// [*sumachead.Refusal].
func (b *Borrower) Reserve(ctx context.Context, q escrow.Request) (sumachead.Reservation, error) {
	if b.demand.record(q.Workspace, time.Now()) {
		if m := b.Wallet.TryReserve(q); m != nil {
			return m, nil
		}
		if err := b.Wallet.RefuseKnown(q, time.Now()); err != nil {
			return nil, err
		}
		b.Wallet.RecordDemand(q)
	}
	for _, l := range chooseLenders(b.Lenders(), q.Workspace, b.eligible) {
		if l == b.SelfAddress {
			if m := b.Wallet.TryReserve(q); m != nil {
				return m, nil
			}
			if b.LedgerUnreachable() {
				continue
			}
			break
		}
		m, err := b.borrow(ctx, l, &wire.LoanRequest{
			Boot: string(b.boot), Workspace: string(q.Workspace), Bound: int64(q.Bound), Urgency: q.Urgency, Urgent: q.Urgent,
		}, q.Deadlines)
		if !errors.Is(err, errTryOtherLender) {
			return m, err
		}
	}
	m, err := b.Wallet.Reserve(ctx, q)
	if err != nil {
		return nil, err
	}
	return m, nil
}

// eligible reports whether a lender is not in backoff.
func (b *Borrower) eligible(lender string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().After(b.backoffUntil[lender])
}

// backOff skips a lender for lenderBackoff.
func (b *Borrower) backOff(lender string, why error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.After(b.backoffUntil[lender]) {
		b.Log.Info("A lender is in backoff.", "lender", lender, "cause", why)
	}
	b.backoffUntil[lender] = now.Add(lenderBackoff)
}

// borrow asks one lender for a loan, first for what it has available and, if that is too
// little, waiting for more.
func (b *Borrower) borrow(ctx context.Context, lender string, r *wire.LoanRequest, u waitpolicy.Deadlines) (sumachead.Reservation, error) {
	reply, err := b.callLender(ctx, lender, r, u, time.Now().Add(firstReplyTimeout))
	if err == nil && reply.GetShort() {
		r.Wait = true
		reply, err = b.callLender(ctx, lender, r, u, u.Hard)
	}
	switch {
	case ctx.Err() != nil:
		return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the caller has gone", time.Time{})
	case err != nil:
		b.backOff(lender, err)
		return nil, errTryOtherLender
	case reply.GetRefusal().GetElsewhere():
		b.backOff(lender, errTryOtherLender)
		return nil, errTryOtherLender
	case reply.GetRefusal() != nil:
		return nil, refusalFromWire(reply.GetRefusal(), time.Now())
	}
	return &loanReservation{borrower: b, lender: lender, number: r.GetNumber(), bound: sumachead.Tokens(r.GetBound())}, nil
}

// callLender sends one request for a loan to a lender, under a number of its own. If no reply
// comes, it queues a bill of 0, since the loan may have been made.
func (b *Borrower) callLender(ctx context.Context, lender string, r *wire.LoanRequest, u waitpolicy.Deadlines, deadline time.Time) (*wire.LoanReply, error) {
	now := time.Now()
	r.Number = b.lastNumber.Add(1)
	r.DeadlineMicros = max(u.Hard.Sub(now).Microseconds(), 1)
	r.InTimeMicros = 0
	if !u.Soft.IsZero() {
		r.InTimeMicros = max(u.Soft.Sub(now).Microseconds(), 1)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply, err := rpc.Call[wire.LoanReply](ctx, b.Pool.Get(lender), Name+".Reserve", r)
	if err != nil && !errors.Is(err, rpc.ErrNotSent) {
		b.queueBill(lender, r.GetNumber(), 0, u.Hard)
	}
	return reply, err
}

// loanReservation is a request's reservation at another router.
type loanReservation struct {
	borrower *Borrower
	lender   string
	number   uint64
	bound    sumachead.Tokens
	settled  atomic.Bool
}

// Settle implements sumachead.Reservation.
func (r *loanReservation) Settle(bill sumachead.Tokens) {
	if r.settled.CompareAndSwap(false, true) {
		r.borrower.queueBill(r.lender, r.number, min(max(bill, 0), r.bound), time.Now())
	}
}
