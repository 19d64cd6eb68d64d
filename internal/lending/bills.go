package lending

import (
	"context"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loop"
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

// bills are on their way to one lender. The borrower's mu guards them.
type bills struct {
	waiting []dueBill
	// sending: a goroutine brings them.
	sending bool
}

// dueBill is a bill that a lender has not acknowledged.
type dueBill struct {
	*wire.LoanBill
	// until is when the lender has counted the bound instead.
	until time.Time
}

// bill brings a bill to a lender, without waiting for that; the caller's deadline says
// until when it is of use.
func (b *Borrower) bill(lender string, number uint64, amount sumachead.Tokens, deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.bills[lender]
	if q == nil {
		q = &bills{}
		b.bills[lender] = q
	}
	q.waiting = append(q.waiting, dueBill{&wire.LoanBill{Number: number, Bill: int64(amount)}, deadline.Add(billsWithin)})
	if !q.sending {
		q.sending = true
		go b.send(lender, q)
	}
}

// send brings bills to a lender until none is left.
func (b *Borrower) send(lender string, q *bills) {
	for {
		batch := b.next(q)
		if len(batch) == 0 {
			return
		}
		r := &wire.LoanBills{Boot: string(b.boot)}
		for _, d := range batch {
			r.Bills = append(r.Bills, d.LoanBill)
		}
		ctx, cancel := context.WithTimeout(context.Background(), billTimeout)
		_, err := rpc.Call[wire.Empty](ctx, b.Pool.Get(lender), Name+".Settle", r)
		cancel()
		if err != nil {
			b.again(q, batch)
			time.Sleep(billAgain)
		}
	}
}

// next takes the bills of the next call; without any, sending ends.
func (b *Borrower) next(q *bills) []dueBill {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(q.waiting), billsAtOnce)
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	q.sending = n > 0
	return batch
}

// again puts bills back that were not taken, but for those that are of no use any more.
func (b *Borrower) again(q *bills, batch []dueBill) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	dropped := 0
	for _, d := range batch {
		if now.Before(d.until) {
			q.waiting = append(q.waiting, d)
			continue
		}
		dropped++
	}
	if dropped > 0 {
		b.Log.Warn("Bills were not taken; their lender counts the bounds.", "bills", dropped)
	}
}

// Flush waits until all bills are with their lenders, or ctx ends.
func (b *Borrower) Flush(ctx context.Context) {
	loop.Until(ctx, drainStep, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, q := range b.bills {
			if q.sending {
				return false
			}
		}
		return true
	})
}
