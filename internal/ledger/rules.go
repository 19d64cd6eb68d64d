package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// The rules of an entry's life. The ledger and the halls' journals share them;
// each keeps its own account of the money.

// Claim decides about a reservation of a key that has the entry e, or none. It
// returns GRANTED with fresh set when a new attempt may be written, and
// otherwise the code to answer with.
func Claim(e *wire.Entry, r *wire.ReserveRequest) (code wire.LedgerCode, fresh bool) {
	if e == nil {
		return wire.LedgerCode_LEDGER_CODE_GRANTED, true
	}
	if len(e.GetBodyHash()) > 0 && !bytes.Equal(e.GetBodyHash(), r.GetBodyHash()) {
		return wire.LedgerCode_LEDGER_CODE_KEY_CONFLICT, false
	}
	sameOwner := e.GetAttempt().GetOwner() == r.GetAttempt().GetOwner()
	switch e.GetState() {
	case wire.EntryState_ENTRY_STATE_SETTLED:
		if reopens(e) && !sameOwner {
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
		// A late copy of a call whose entry has been released since.
		return wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, false
	}
	return wire.LedgerCode_LEDGER_CODE_GRANTED, true
}

// reopens reports whether an ended entry's key may run again: its answer never
// became whole.
func reopens(e *wire.Entry) bool {
	return e.GetFailed() && !e.GetNotRepeatable()
}

// Opened returns the entry that a granted reservation writes; old is the ended
// entry that the same key left behind, or nil. What old was billed stays part
// of the request's one bill.
func Opened(old *wire.Entry, r *wire.ReserveRequest, hall string) *wire.Entry {
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

// Move decides about a move of an entry to its next attempt. It returns GRANTED
// with fresh set when the attempt may be written.
func Move(e *wire.Entry, r *wire.ReassignRequest) (code wire.LedgerCode, fresh bool) {
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
	case e.GetNotRepeatable() && !r.GetNotRun() && !sameProcess(e.GetAttempt(), r.GetAttempt()):
		// The old attempt may run: only its own process may take it on.
		return wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, false
	}
	return wire.LedgerCode_LEDGER_CODE_GRANTED, true
}

func sameProcess(a, b *wire.Attempt) bool {
	return a.GetServer() == b.GetServer() && a.GetBoot() == b.GetBoot()
}

// UsedBefore returns by how much a move makes the reservation grow: what the
// attempt that failed is known to have used.
func UsedBefore(e *wire.Entry, r *wire.ReassignRequest) int64 {
	return min(max(r.GetUsed(), 0), e.GetReserved()-e.GetCarried())
}

// Moved returns the entry as a granted move leaves it.
func Moved(e *wire.Entry, r *wire.ReassignRequest) *wire.Entry {
	used := UsedBefore(e, r)
	next := proto.CloneOf(e)
	next.Reserved += used
	next.Carried += used
	next.Attempt = proto.CloneOf(r.GetAttempt())
	next.Attempt.Number = r.GetFrom() + 1
	next.UpdatedUnixNano = r.GetNowUnixNano()
	next.DeadlineUnixNano = max(r.GetDeadlineUnixNano(), e.GetDeadlineUnixNano())
	return next
}

// Ends reports whether a settle report ends the entry e, or corrects an end
// that was presumed. Only the present attempt can end it without a whole
// answer; lateRun tells that a run was reported after the entry had been
// released as not run, which must never happen.
func Ends(e *wire.Entry, s *wire.SettleRequest) (ends, lateRun bool) {
	if (s.GetNotRun() || s.GetFailed()) && !isCurrent(s, e) {
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

// Withdrawn returns the entry by which a withdrawal that comes before its own
// reservation is remembered: the reservation, should it still arrive, is then
// refused. It returns nil when s is no withdrawal.
func Withdrawn(s *wire.SettleRequest, hall string) *wire.Entry {
	if !s.GetNotRun() || s.GetOwner() == "" {
		return nil
	}
	return &wire.Entry{
		Workspace: s.GetWorkspace(), Key: s.GetKey(), State: wire.EntryState_ENTRY_STATE_RELEASED, Hall: hall,
		Attempt: &wire.Attempt{Owner: s.GetOwner()}, UpdatedUnixNano: s.GetNowUnixNano(),
	}
}

// isCurrent reports whether a report is of the entry's present attempt.
func isCurrent(s *wire.SettleRequest, e *wire.Entry) bool {
	if s.GetAttempt() == 0 {
		return s.GetOwner() == e.GetAttempt().GetOwner()
	}
	return s.GetAttempt() == e.GetAttempt().GetNumber()
}

// Ended returns the entry as a settle report ends it.
func Ended(e *wire.Entry, s *wire.SettleRequest) *wire.Entry {
	next := proto.CloneOf(e)
	next.Presumed = false
	next.Failed = s.GetFailed()
	next.UpdatedUnixNano = max(s.GetNowUnixNano(), e.GetUpdatedUnixNano())
	if s.GetNotRun() {
		// Earlier attempts may have used something.
		next.State = wire.EntryState_ENTRY_STATE_RELEASED
		next.Billed = e.GetCarried()
		return next
	}
	next.State = wire.EntryState_ENTRY_STATE_SETTLED
	next.Billed = min(e.GetCarried()+max(s.GetTokens(), 0), e.GetReserved())
	return next
}

// Presumed returns the entry as its end is presumed when no witness of the run
// is left: it may have used all that was reserved.
func Presumed(e *wire.Entry, now int64) *wire.Entry {
	next := proto.CloneOf(e)
	next.State = wire.EntryState_ENTRY_STATE_SETTLED
	next.Presumed = true
	next.Billed = e.GetReserved()
	next.UpdatedUnixNano = now
	return next
}
