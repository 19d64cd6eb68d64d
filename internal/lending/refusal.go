package lending

import (
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// never stands for a time to come back where there is none.
const never = -1

// refusalOf puts a refusal into words for the borrower. One that names the ledger is no
// answer of a lender that does not reach it.
func refusalOf(err error, unreached bool, now time.Time) *wire.LoanRefusal {
	f := sumachead.AsRefusal(err)
	out := &wire.LoanRefusal{
		Reason: string(f.Reason), Detail: f.Detail, RetryMicros: never,
		Elsewhere: unreached && f.Reason == sumachead.ReasonLedgerUnreached,
	}
	if !f.RetryAt.IsZero() {
		out.RetryMicros = max(f.RetryAt.Sub(now), 0).Microseconds()
	}
	return out
}

// refusalFrom reads a lender's refusal: nothing has run without money.
func refusalFrom(r *wire.LoanRefusal, now time.Time) *sumachead.Refusal {
	var at time.Time
	if r.GetRetryMicros() >= 0 {
		at = now.Add(time.Duration(r.GetRetryMicros()) * time.Microsecond)
	}
	return sumachead.Refuse(sumachead.NotRun, sumachead.Reason(r.GetReason()), r.GetDetail(), at)
}
