// Package patience decides how long a request waits for what it lacks, and when a caller
// whose request is refused should come back.
//
// What is lacking has a [sumachead.Prospect]: an estimate, learned from what was
// observed, of when it will be there. A request waits exactly while that estimate lets
// it still be of use to its caller, and is refused at the moment when it does not:
//
//   - an estimate that is sure, since what is lacking is under way, is believed until the
//     caller's deadline: a late answer is of some use, and coming back would not make it
//     earlier;
//   - one that is not sure is believed while the answer would be in time.
//
// The package has no clock; callers pass times.
package patience

import (
	"math/rand/v2"
	"time"

	"sumachead"
)

const (
	// leastWait keeps estimates from being looked at again too often: less than it
	// takes to answer.
	leastWait = 2 * time.Millisecond
	// spreadPart is the part of the expected wait, one in so many, over which callers
	// who come back are spread, and leastSpread the least time for it: what a router
	// needs to serve some dozen of them.
	spreadPart  = 2
	leastSpread = 30 * time.Millisecond
	// notSure is how many times as long as expected a caller stays away where the
	// estimate is not sure. What has lasted for a time, of which nothing else is known,
	// lasts as long again or less in one of two cases, and twice as long in two of
	// three. Measured against 1 and 3: docs/DECISIONS.md.
	notSure = 2
	// ranks is how many ranks of urgency have a part of the spread of their own.
	ranks = 4
)

// Use is until when an answer is of use to a caller.
type Use struct {
	// InTime is until when it is in time; zero where that is not known.
	InTime time.Time
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time
}

// Wait decides whether a request waits on. If so, the estimate is to be looked at again
// at the time returned, unless something changes before.
func Wait(p sumachead.Prospect, u Use, now time.Time) (again time.Time, wait bool) {
	at, sure := p.Expect(now)
	until := u.InTime
	switch {
	case sure && u.Deadline.IsZero():
		until = at.Add(leastWait) // the caller waits for whatever comes
	case sure:
		until = u.Deadline
	}
	left := until.Sub(at)
	if at.IsZero() || left <= 0 {
		return time.Time{}, false
	}
	// An estimate that grows as time passes, by as much as passes, meets the end of the
	// use at half of what is left; one that does not come true turns when it is due.
	return now.Add(max(min(left/2, at.Sub(now)), leastWait)), true
}

// ComeBack returns when a caller who is refused should come back: when the request is
// expected to be served, spread so that callers do not come together, the most urgent
// first. Where that is not sure, half of the callers would come too early, and most have
// no third try: they are told a later time, if it is before their deadline. It is zero
// where coming back does not help.
func ComeBack(p sumachead.Prospect, u Use, urgency uint32, now time.Time) time.Time {
	at, sure := p.Expect(now)
	later := now.Add(notSure * at.Sub(now))
	if !sure && !at.IsZero() && (u.Deadline.IsZero() || later.Before(u.Deadline)) {
		at = later
	}
	return Spread(at, u, urgency, now)
}

// Spread returns when a caller should come back who could be served from a time on.
func Spread(at time.Time, u Use, urgency uint32, now time.Time) time.Time {
	if at.IsZero() || !u.Deadline.IsZero() && !at.Before(u.Deadline) {
		return time.Time{}
	}
	over := max(at.Sub(now)/spreadPart, leastSpread)
	part := (float64(min(urgency, ranks-1)) + rand.Float64()) / ranks
	back := at.Add(time.Duration(part * float64(over)))
	if back.Before(now) {
		return now
	}
	return back
}

// AsLong is the prospect of something that has been lacking since a time, of which
// nothing else is known: it is expected to take as long again.
type AsLong struct{ Since time.Time }

// Expect implements sumachead.Prospect.
func (p AsLong) Expect(now time.Time) (at time.Time, sure bool) {
	return now.Add(now.Sub(p.Since)), false
}

// Told is the prospect of something that others have said will be there at a time, which they
// may not keep to.
type Told struct{ At time.Time }

// Expect implements sumachead.Prospect.
func (p Told) Expect(time.Time) (at time.Time, sure bool) { return p.At, false }

// Usual is the prospect of something that is under way since a time and usually takes
// so long: it is sure until then, and then as long again is expected.
type Usual struct {
	Since time.Time
	// By is when it should be there.
	By time.Time
}

// Expect implements sumachead.Prospect.
func (p Usual) Expect(now time.Time) (at time.Time, sure bool) {
	if now.Before(p.By) {
		return p.By, true
	}
	return AsLong{p.Since}.Expect(now)
}
