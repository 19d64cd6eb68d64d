package escrow

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/timeutil"
)

// A holder keeps what it has spent and reserved of each budget within a limit that the ledger has
// recorded, and raises it with its reports. It may exceed the limits, up to all that it holds, once
// it has had no reply for spendLimitTimeout. So the ledger can tell what a holder that ended before
// that may have spent, and the rest of what it held goes back to the budget.

const (
	// spendLimitTimeout is how long a holder keeps within its limits after a reply, at least: two
	// report intervals and the restart of a process.
	spendLimitTimeout = 3 * time.Second
	// headroomDuration is how long the headroom below a limit lasts at the current demand, so that a
	// holder that is cut off seldom reaches its limit before spendLimitTimeout.
	headroomDuration = 3 * time.Second
	// headroomPercent is the percentage of the available tokens that the headroom is at least, up to
	// headroomRequests of the largest recent bound, since the rate of sparse requests decays between
	// them.
	headroomPercent  = 66
	headroomRequests = 4
	// headroomWarmUp is the age up to which the headroom grows: what is lost with a crash should be
	// little of what the holder has served, and one that has just started may soon crash again.
	headroomWarmUp = 8 * time.Second
	// raisePercent is the percentage of the headroom below which the limit is raised.
	raisePercent = 75
	// lowHeadroomDivisor is the part of the headroom below which a report is due at once.
	lowHeadroomDivisor = 4
	// largeBoundDecay is the part that remains of the recent largest bound with each request.
	largeBoundDecay = 31.0 / 32
)

// spendLimit bounds what a holder may spend and reserve of a budget in all.
type spendLimit struct {
	// confirmed is the limit that the ledger has recorded, and proposed is the one last reported.
	confirmed, proposed sumachead.Tokens
	// lowHeadroom is the headroom below which a report is requested at once.
	lowHeadroom sumachead.Tokens
	// largeBound is the largest bound among recent requests.
	largeBound float64
}

// used returns what the limit bounds.
func (p *balance) used() sumachead.Tokens { return p.spent + p.reserved }

// headroom returns what a limit should leave for requests until the next reports, by the age of the
// holder.
func (p *balance) headroom(age time.Duration) sumachead.Tokens {
	byTime := sumachead.Tokens(p.rate.value * headroomDuration.Seconds())
	largeBound := sumachead.Tokens(p.limit.largeBound)
	target := max(byTime, min(p.available()*headroomPercent/100, headroomRequests*largeBound))
	grown := min(age.Seconds()/headroomWarmUp.Seconds(), 1)
	return sumachead.Tokens(float64(target)*grown*grown) + largeBound
}

// proposeLimit returns the limit for a report, with room for the requests that wait. It is raised in
// steps, since each change is recorded in the log.
func (p *balance) proposeLimit(waiting []shortRequest, age time.Duration) *int64 {
	needed, headroom := p.used(), p.headroom(age)
	for _, q := range waiting {
		needed += q.bound
	}
	if p.limit.proposed-needed < headroom*raisePercent/100 {
		p.limit.proposed = needed + headroom
	}
	return proto.Int64(int64(p.limit.proposed))
}

// confirmLimit applies the limit that the ledger has recorded.
func (p *balance) confirmLimit(a *wire.EscrowAnswer) {
	p.limit.confirmed = max(p.limit.confirmed, sumachead.Tokens(a.GetSpendLimit()))
	p.limit.lowHeadroom = (p.limit.confirmed - p.used()) / lowHeadroomDivisor
}

// limitDuration returns how long a holder keeps within its limits after the reply to a report: one that
// has just started until it is known not to crash again soon, also if it is idle and reports seldom.
func limitDuration(r *wire.EscrowReport) time.Duration {
	age := time.Duration(r.GetAgeMillis()) * time.Millisecond
	return spendLimitTimeout + max(headroomWarmUp-age, 0)
}

// limited reports whether the holder keeps within its spend limits. The caller holds mu.
func (w *Wallet) limited(now time.Time) bool { return now.Before(w.limitedUntil) }

// spendable returns what may be reserved now. The caller holds mu.
func (w *Wallet) spendable(p *balance, now time.Time) sumachead.Tokens {
	if !w.limited(now) {
		return p.available()
	}
	return min(p.available(), p.limit.confirmed-p.used())
}

// recordReserved records a reservation: it requests a report if the limit is nearly reached. The
// caller holds mu.
func (w *Wallet) recordReserved(p *balance) {
	left := p.limit.confirmed - p.used()
	if left < 0 {
		w.exceeded = true
	}
	if left < p.limit.lowHeadroom {
		p.limit.lowHeadroom = 0 // at most one such report until the next reply
		w.RequestReport()
	}
}

// recordContact records that a reply came. The holder keeps within its limits from then on, unless it
// has exceeded one of them; the next report then includes those. The caller holds mu.
func (w *Wallet) recordContact(contact uint64, now time.Time) {
	if contact == 0 || w.address == "" {
		return
	}
	if w.exceeded && w.reportExceeded() {
		return
	}
	w.exceeded = false
	w.contact, w.limitedUntil = contact, timeutil.Later(w.limitedUntil, now.Add(w.limitDuration))
}

// reportExceeded includes the budgets with an exceeded limit in the next report. It reports whether
// there are any. The caller holds mu.
func (w *Wallet) reportExceeded() bool {
	found := false
	for _, p := range w.balances {
		if p.used() > p.limit.confirmed {
			p.dirty, found = true, true
		}
	}
	return found
}

// wakeWhenUnlimited wakes up waiting requests when the limits may be exceeded. The caller holds mu.
func (w *Wallet) wakeWhenUnlimited(now time.Time) {
	if w.wakeScheduled || !w.limited(now) {
		return
	}
	w.wakeScheduled = true
	time.AfterFunc(w.limitedUntil.Sub(now), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.wakeScheduled = false
		w.notify()
	})
}

// Listening states that the node listens at an address from now on, which no other process can do
// meanwhile, and so that earlier holders of the node at this address have ended.
func (w *Wallet) Listening(address string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.startedAt = address, now
}

// addContact adds to a report since when the holder runs and keeps within its limits. The caller
// holds mu.
func (w *Wallet) addContact(r *wire.EscrowReport, now time.Time) {
	r.Contact = w.contact
	if w.address != "" {
		r.Address, r.AgeMillis = w.address, max(now.Sub(w.startedAt), 0).Milliseconds()
	}
	w.limitDuration = limitDuration(r)
}
