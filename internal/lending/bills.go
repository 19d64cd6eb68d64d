package lending

import (
	"context"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/outbox"
	"sumachead/internal/rpc"
)

const (
	// billsAtOnce bounds the bills of one call.
	billsAtOnce = 256
	// billTimeout bounds a call with bills, and billAgain is the pause after one that
	// failed: the money is locked meanwhile, and some hundred ms of it matter little.
	billTimeout = 500 * time.Millisecond
	billAgain   = 100 * time.Millisecond
)

// dueBill is a bill that a lender has not acknowledged.
type dueBill struct {
	*wire.LoanBill
	// until is when the lender has counted the bound instead.
	until time.Time
}

// newBills returns the bills on their way to lenders, by address.
func (b *Borrower) newBills() *outbox.Outbox[string, dueBill] {
	return &outbox.Outbox[string, dueBill]{Most: billsAtOnce, Send: b.send}
}

// bill brings a bill to a lender, without waiting for that; the caller's deadline says
// until when it is of use.
func (b *Borrower) bill(lender string, number uint64, amount sumachead.Tokens, deadline time.Time) {
	b.bills.Put(lender, dueBill{&wire.LoanBill{Number: number, Bill: int64(amount)}, deadline.Add(billsWithin)})
}

// send brings bills to a lender. Those that it did not take are brought again while they
// are of use.
func (b *Borrower) send(lender string, batch []dueBill) (again []dueBill, pause time.Duration) {
	r := &wire.LoanBills{Boot: string(b.boot)}
	for _, d := range batch {
		r.Bills = append(r.Bills, d.LoanBill)
	}
	ctx, cancel := context.WithTimeout(context.Background(), billTimeout)
	defer cancel()
	_, err := rpc.Call[wire.Empty](ctx, b.Pool.Get(lender), Name+".Settle", r)
	if err == nil {
		return nil, 0
	}
	now := time.Now()
	for _, d := range batch {
		if now.Before(d.until) {
			again = append(again, d)
		}
	}
	if dropped := len(batch) - len(again); dropped > 0 {
		b.Log.Warn("Bills were not taken; their lender counts the bounds.", "lender", lender, "bills", dropped, "error", err)
	}
	return again, billAgain
}

// Flush waits until all bills are with their lenders, or ctx ends.
func (b *Borrower) Flush(ctx context.Context) { b.bills.Flush(ctx) }
