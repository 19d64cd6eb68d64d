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
	// maxBillsPerCall bounds the bills sent in one call.
	maxBillsPerCall = 256
	// billTimeout bounds a call with bills, and billRetryDelay is the pause after a failed one.
	// The tokens stay reserved meanwhile, and a few hundred milliseconds of that matter little.
	billTimeout    = 500 * time.Millisecond
	billRetryDelay = 100 * time.Millisecond
)

// pendingBill is a bill that its lender has not acknowledged.
type pendingBill struct {
	*wire.LoanBill
	// expiresAt is when the lender settles the loan at its bound instead.
	expiresAt time.Time
}

// newOutbox returns the outbox of bills, keyed by lender address.
func (b *Borrower) newOutbox() *outbox.Outbox[string, pendingBill] {
	return &outbox.Outbox[string, pendingBill]{MaxBatch: maxBillsPerCall, Send: b.sendBills}
}

// queueBill queues a bill for a lender and does not wait. The bill expires billGracePeriod
// after the caller's deadline.
func (b *Borrower) queueBill(lender string, number uint64, amount sumachead.Tokens, deadline time.Time) {
	b.bills.Put(lender, pendingBill{&wire.LoanBill{Number: number, Bill: int64(amount)}, deadline.Add(billGracePeriod)})
}

// sendBills sends bills to a lender and returns those that failed and have not expired.
func (b *Borrower) sendBills(lender string, batch []pendingBill) (retry []pendingBill, delay time.Duration) {
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
		if now.Before(d.expiresAt) {
			retry = append(retry, d)
		}
	}
	if dropped := len(batch) - len(retry); dropped > 0 {
		b.Log.Warn("Bills were not delivered; the lender settles the loans at their bounds.", "lender", lender, "bills", dropped, "error", err)
	}
	return retry, billRetryDelay
}

// Flush waits until all bills are acknowledged, or ctx ends.
func (b *Borrower) Flush(ctx context.Context) { b.bills.Flush(ctx) }
