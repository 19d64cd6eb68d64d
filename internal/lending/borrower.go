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
	"sumachead/internal/patience"
	"sumachead/internal/rpc"
)

const (
	// answerWithin bounds the first answer of a lender, which does not wait for anything:
	// many round trips within a data hall, and a collection of a small host's memory.
	answerWithin = 80 * time.Millisecond
	// downFor is for how long a lender that did not answer is passed over. Its workspaces
	// have money elsewhere then, so that it is short enough to leave little there.
	downFor = 500 * time.Millisecond
)

// errElsewhere marks a loan that another lender may make.
var errElsewhere = errors.New("another lender may have money")

// Borrower gets money for requests of one router. Set the exported fields before the first
// call; it is safe for concurrent use.
type Borrower struct {
	// Self is where this router lends; it is among the lenders.
	Self string
	// Lenders returns the addresses of the data hall's lenders.
	Lenders func() []string
	Wallet  *escrow.Wallet
	// Unreached reports whether the ledger is out of this process's reach.
	Unreached func() bool
	Pool      *rpc.Pool
	Log       hclog.Logger

	boot   sumachead.BootID
	number atomic.Uint64
	demand demand
	// bills are those on their way to lenders.
	bills *outbox.Outbox[string, dueBill]

	mu sync.Mutex // guards downTo
	// downTo is until when lenders are passed over.
	downTo map[string]time.Time
}

// Prepare starts a life of the borrower. Call it before Reserve.
func (b *Borrower) Prepare() {
	b.boot = sumachead.BootID(uuid.NewString())
	b.downTo = make(map[string]time.Time)
	b.bills = b.newBills()
}

// Reserve holds bound of a workspace's money at the workspace's lender, or in this router's
// own wallet: where its own demand is large (demand.go), and where no lender can know more.
// The error is a [*sumachead.Refusal].
func (b *Borrower) Reserve(ctx context.Context, id sumachead.WorkspaceID, bound sumachead.Tokens, u patience.Deadlines, urgency uint32) (sumachead.Reservation, error) {
	if b.demand.note(id, time.Now()) {
		if m := b.Wallet.Try(id, bound); m != nil {
			return m, nil
		}
		b.Wallet.Want(id, bound)
	}
	for _, l := range choose(b.Lenders(), id, b.fit) {
		if l == b.Self {
			if m := b.Wallet.Try(id, bound); m != nil {
				return m, nil
			}
			if b.Unreached() {
				continue
			}
			break
		}
		m, err := b.borrow(ctx, l, &wire.LoanRequest{
			Boot: string(b.boot), Workspace: string(id), Bound: int64(bound), Urgency: urgency,
		}, u)
		if !errors.Is(err, errElsewhere) {
			return m, err
		}
	}
	m, err := b.Wallet.Reserve(ctx, id, bound, u, urgency)
	if err != nil {
		return nil, err
	}
	return m, nil
}

// fit reports whether a lender is not passed over.
func (b *Borrower) fit(lender string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().After(b.downTo[lender])
}

// down passes a lender over for a while.
func (b *Borrower) down(lender string, why error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.After(b.downTo[lender]) {
		b.Log.Info("A lender is passed over.", "lender", lender, "cause", why)
	}
	b.downTo[lender] = now.Add(downFor)
}

// borrow asks one lender: at first for what it has at hand, and, where that is too little,
// to wait for more.
func (b *Borrower) borrow(ctx context.Context, lender string, r *wire.LoanRequest, u patience.Deadlines) (sumachead.Reservation, error) {
	reply, err := b.ask(ctx, lender, r, u, time.Now().Add(answerWithin))
	if err == nil && reply.GetShort() {
		r.Wait = true
		reply, err = b.ask(ctx, lender, r, u, u.Hard)
	}
	switch {
	case ctx.Err() != nil:
		return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the caller has gone", time.Time{})
	case err != nil:
		b.down(lender, err)
		return nil, errElsewhere
	case reply.GetRefusal().GetElsewhere():
		b.down(lender, errElsewhere)
		return nil, errElsewhere
	case reply.GetRefusal() != nil:
		return nil, refusalFrom(reply.GetRefusal(), time.Now())
	}
	return &borrowed{borrower: b, lender: lender, number: r.GetNumber(), bound: sumachead.Tokens(r.GetBound())}, nil
}

// ask puts one question to a lender, under a number of its own. If there is no answer the
// loan is ended: it may have been made.
func (b *Borrower) ask(ctx context.Context, lender string, r *wire.LoanRequest, u patience.Deadlines, until time.Time) (*wire.LoanReply, error) {
	now := time.Now()
	r.Number = b.number.Add(1)
	r.DeadlineMicros = max(u.Hard.Sub(now).Microseconds(), 1)
	r.InTimeMicros = 0
	if !u.Soft.IsZero() {
		r.InTimeMicros = max(u.Soft.Sub(now).Microseconds(), 1)
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	reply, err := rpc.Call[wire.LoanReply](ctx, b.Pool.Get(lender), Name+".Reserve", r)
	if err != nil && !errors.Is(err, rpc.ErrNotSent) {
		b.bill(lender, r.GetNumber(), 0, u.Hard)
	}
	return reply, err
}

// borrowed is a request's money at another router.
type borrowed struct {
	borrower *Borrower
	lender   string
	number   uint64
	bound    sumachead.Tokens
	settled  atomic.Bool
}

// Settle implements sumachead.Reservation.
func (r *borrowed) Settle(bill sumachead.Tokens) {
	if r.settled.CompareAndSwap(false, true) {
		r.borrower.bill(r.lender, r.number, min(max(bill, 0), r.bound), time.Now())
	}
}
