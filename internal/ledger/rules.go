package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// The rules of an entry's lifecycle. The ledger and the journals of the halls
// share them, and each does its own accounting of tokens.

// CheckClaim decides on a reservation for a key whose entry is e, nil if none. It
// returns GRANTED and isNew if a new attempt may be written, and otherwise the
// code to reply with.
func CheckClaim(e *wire.Entry, r *wire.ReserveRequest) (code wire.LedgerCode, isNew bool) {
	if e == nil {
		return wire.LedgerCode_LEDGER_CODE_GRANTED, true
	}
	if len(e.GetBodyHash()) > 0 && !bytes.Equal(e.GetBodyHash(), r.GetBodyHash()) {
		return wire.LedgerCode_LEDGER_CODE_KEY_CONFLICT, false
	}
	sameOwner := e.GetAttempt().GetOwner() == r.GetAttempt().GetOwner()
	switch e.GetState() {
	case wire.EntryState_ENTRY_STATE_SETTLED:
		if isRetryable(e) && !sameOwner {
			return wire.LedgerCode_LEDGER_CODE_GRANTED, true
		}
		return wire.LedgerCode_LEDGER_CODE_SETTLED, false
	case wire.EntryState_ENTRY_STATE_RESERVED:
		if sameOwner {
			return wire.LedgerCode_LEDGER_CODE_GRANTED, false // a resend
		}
		return wire.LedgerCode_LEDGER_CODE_EXISTS, false
	}
	if sameOwner {
		// A late duplicate of a call whose entry has been released since.
		return wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, false
	}
	return wire.LedgerCode_LEDGER_CODE_GRANTED, true
}

// isRetryable reports whether the key of a settled entry may run again, because
// the response was never complete.
func isRetryable(e *wire.Entry) bool {
	return e.GetFailed() && !e.GetNotRepeatable()
}

// ReservedEntry returns the entry that a granted reservation writes. Any previous
// entry of the same key is passed as old; its bill becomes part of the bill of
// the new one.
func ReservedEntry(old *wire.Entry, r *wire.ReserveRequest, hall string) *wire.Entry {
	a := proto.CloneOf(r.GetAttempt())
	a.Number = old.GetAttempt().GetNumber() + 1
	carried := old.GetBilled()
	return &wire.Entry{
		Workspace: r.GetWorkspace(), Key: r.GetKey(), BodyHash: r.GetBodyHash(), Budget: r.GetBudget(),
		Reserved: r.GetAmount() + carried, Carried: carried, NotRepeatable: r.GetNotRepeatable(),
		State: wire.EntryState_ENTRY_STATE_RESERVED, Attempt: a, Hall: hall, OpenedBy: a.GetOwner(),
		DeadlineUnixNano: r.GetDeadlineUnixNano(), UpdatedUnixNano: r.GetNowUnixNano(),
	}
}

// CheckReassign decides whether an entry moves to its next attempt. It returns
// GRANTED and isNew if the attempt may be written, and otherwise the code to
// reply with.
func CheckReassign(e *wire.Entry, r *wire.ReassignRequest) (code wire.LedgerCode, isNew bool) {
	switch {
	case e == nil:
		return wire.LedgerCode_LEDGER_CODE_NO_ENTRY, false
	case e.GetState() == wire.EntryState_ENTRY_STATE_SETTLED:
		return wire.LedgerCode_LEDGER_CODE_SETTLED, false
	case e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED:
		return wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, false
	case e.GetAttempt().GetOwner() == r.GetAttempt().GetOwner():
		return wire.LedgerCode_LEDGER_CODE_GRANTED, false // a resend
	case e.GetAttempt().GetNumber() != r.GetFrom():
		return wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, false
	case e.GetNotRepeatable() && !r.GetNotRun() && !isSameIncarnation(e.GetAttempt(), r.GetAttempt()):
		// The old attempt may be running, so only its own process may continue.
		return wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, false
	}
	return wire.LedgerCode_LEDGER_CODE_GRANTED, true
}

func isSameIncarnation(a, b *wire.Attempt) bool {
	return a.GetServer() == b.GetServer() && a.GetBoot() == b.GetBoot()
}

// FailedAttemptUsage returns the tokens that the failed attempt is known to have
// used. The reservation grows by these when the entry is reassigned.
func FailedAttemptUsage(e *wire.Entry, r *wire.ReassignRequest) int64 {
	return min(max(r.GetUsed(), 0), e.GetReserved()-e.GetCarried())
}

// ReassignedEntry returns the entry after a granted reassignment.
func ReassignedEntry(e *wire.Entry, r *wire.ReassignRequest) *wire.Entry {
	used := FailedAttemptUsage(e, r)
	next := proto.CloneOf(e)
	next.Reserved += used
	next.Carried += used
	next.Attempt = proto.CloneOf(r.GetAttempt())
	next.Attempt.Number = r.GetFrom() + 1
	next.UpdatedUnixNano = r.GetNowUnixNano()
	next.DeadlineUnixNano = max(r.GetDeadlineUnixNano(), e.GetDeadlineUnixNano())
	return next
}

// CheckSettle reports whether a settle request settles or releases the entry e, or
// corrects a presumed bill. Without a complete response only the current attempt
// can do so. ranAfterRelease reports a run of an entry that had been released as
// not run, which must never happen.
func CheckSettle(e *wire.Entry, s *wire.SettleRequest) (settles, ranAfterRelease bool) {
	if (s.GetNotRun() || s.GetFailed()) && !isCurrentAttempt(s, e) {
		return false, false
	}
	switch {
	case e.GetState() == wire.EntryState_ENTRY_STATE_RESERVED, e.GetPresumed():
		return true, false
	case e.GetState() == wire.EntryState_ENTRY_STATE_RELEASED:
		return false, !s.GetNotRun()
	}
	return false, false
}

// WithdrawalTombstone returns the entry that records a withdrawal received before
// its own reservation, so that the reservation is refused if it still arrives. It
// returns nil if s is not a withdrawal.
func WithdrawalTombstone(s *wire.SettleRequest, hall string) *wire.Entry {
	if !s.GetNotRun() || s.GetOwner() == "" {
		return nil
	}
	return &wire.Entry{
		Workspace: s.GetWorkspace(), Key: s.GetKey(), State: wire.EntryState_ENTRY_STATE_RELEASED, Hall: hall,
		Attempt: &wire.Attempt{Owner: s.GetOwner()}, UpdatedUnixNano: s.GetNowUnixNano(),
	}
}

// isCurrentAttempt reports whether a settle request is for the entry's current
// attempt.
func isCurrentAttempt(s *wire.SettleRequest, e *wire.Entry) bool {
	if s.GetAttempt() == 0 {
		return s.GetOwner() == e.GetAttempt().GetOwner()
	}
	return s.GetAttempt() == e.GetAttempt().GetNumber()
}

// SettledEntry returns the entry after a settle request: settled with its bill, or
// released if it did not run.
func SettledEntry(e *wire.Entry, s *wire.SettleRequest) *wire.Entry {
	next := proto.CloneOf(e)
	next.Presumed = false
	next.Failed = s.GetFailed()
	next.UpdatedUnixNano = max(s.GetNowUnixNano(), e.GetUpdatedUnixNano())
	if s.GetNotRun() {
		// Earlier attempts may have used tokens.
		next.State = wire.EntryState_ENTRY_STATE_RELEASED
		next.Billed = e.GetCarried()
		return next
	}
	next.State = wire.EntryState_ENTRY_STATE_SETTLED
	next.Billed = min(e.GetCarried()+max(s.GetTokens(), 0), e.GetReserved())
	return next
}

// PresumedEntry returns the entry after its deadline has passed without a
// settlement. It is billed its whole reservation, which it may have used.
func PresumedEntry(e *wire.Entry, now int64) *wire.Entry {
	next := proto.CloneOf(e)
	next.State = wire.EntryState_ENTRY_STATE_SETTLED
	next.Presumed = true
	next.Billed = e.GetReserved()
	next.UpdatedUnixNano = now
	return next
}
