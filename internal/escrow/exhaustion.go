package escrow

import (
	"time"

	"sumachead"
)

// exhaustedTimeout is how long a reply that a budget is exhausted remains valid.
const exhaustedTimeout = time.Second

// exhaustedReply is the ledger's reply that a budget does not cover a request.
type exhaustedReply struct {
	// bound is the smallest request that the reply was about, and at is when it came.
	bound sumachead.Tokens
	at    time.Time
}

// covers reports whether the reply also applies to a request of this size.
func (e exhaustedReply) covers(bound sumachead.Tokens, now time.Time) bool {
	return now.Sub(e.at) < exhaustedTimeout && bound >= e.bound
}

// exhaustion keeps the ledger's recent replies that a budget is exhausted: the one about the
// smallest request, and the last one. A reply about a large request neither replaces nor
// prolongs the one about a small request. A reply to a report that asked for nothing does not
// say whether the budget is exhausted.
//
// Requests of all sizes arrive after a budget is exhausted, and each that no reply covers is
// told to retry, almost always in vain: with 20 of 24 budgets exhausted, 1,237 requests were
// told to retry, and of about 1,300 that came more than ten seconds after the first exhausted
// reply three were served.
type exhaustion struct{ smallest, last exhaustedReply }

// recordLimit records the smallest bound that what is left does not cover, which replaces
// earlier replies.
func (e *exhaustion) recordLimit(from sumachead.Tokens, now time.Time) {
	e.last = exhaustedReply{from, now}
	e.smallest = e.last
}

// record adds a reply.
func (e *exhaustion) record(bound sumachead.Tokens, now time.Time) {
	e.last = exhaustedReply{bound, now}
	if bound <= e.smallest.bound || now.Sub(e.smallest.at) >= exhaustedTimeout {
		e.smallest = e.last
	}
}

// covers reports whether a recent reply says that the budget does not cover a request of this
// size.
func (e *exhaustion) covers(bound sumachead.Tokens, now time.Time) bool {
	return e.smallest.covers(bound, now) || e.last.covers(bound, now)
}
