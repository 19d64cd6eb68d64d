package lending

import (
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// noRetry is the value of RetryMicros when there is no time to retry.
const noRetry = -1

// refusalToWire encodes a refusal for the borrower. One for an unreachable ledger is not final
// if this lender cannot reach it: another lender may be able to. The other reasons are statements
// on the whole budget, and final.
func refusalToWire(err error, unreached bool, now time.Time) *wire.LoanRefusal {
	f := sumachead.AsRefusal(err)
	out := &wire.LoanRefusal{
		Reason: string(f.Reason), Detail: f.Detail, RetryMicros: noRetry,
		Elsewhere: unreached && f.Reason == sumachead.ReasonLedgerUnreached,
	}
	if !f.RetryAt.IsZero() {
		out.RetryMicros = max(f.RetryAt.Sub(now), 0).Microseconds()
	}
	return out
}

// refusalFromWire decodes a lender's refusal. Nothing has run without tokens.
func refusalFromWire(r *wire.LoanRefusal, now time.Time) *sumachead.Refusal {
	var at time.Time
	if r.GetRetryMicros() >= 0 {
		at = now.Add(time.Duration(r.GetRetryMicros()) * time.Microsecond)
	}
	return sumachead.Refuse(sumachead.NotRun, sumachead.Reason(r.GetReason()), r.GetDetail(), at)
}
