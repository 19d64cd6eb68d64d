// Package waitpolicy decides how long a request waits for something it lacks, and when the
// caller of a refused request should retry.
//
// A [sumachead.Estimate] estimates, from past observations, when the missing thing will be
// available. A request waits as long as the estimate lets it still be useful to its caller, and
// is refused as soon as it does not:
//
//   - a sure estimate, of something known to be under way, is believed until the caller's
//     deadline: a late response is of some use, and a retry would not make it earlier;
//   - an unsure estimate is believed while the response would be in time.
//
// The package has no clock; callers pass times.
package waitpolicy

import (
	"math/rand/v2"
	"time"

	"sumachead"
)

const (
	// minRecheck is the minimum time between two looks at an estimate: less than the time to
	// respond.
	minRecheck = 2 * time.Millisecond
	// jitterDivisor divides the expected wait to get the time over which retries are spread, and
	// minJitter is the minimum of that time: what a router needs to serve some dozen of them.
	jitterDivisor = 2
	minJitter     = 30 * time.Millisecond
	// unsureFactor is the multiple of the expected wait after which a caller retries if the
	// estimate is unsure. Something that has lasted for a time, of which nothing else is known,
	// lasts at most as long again in one of two cases, and at most twice as long in two of
	// three. docs/DECISIONS.md compares it with 1 and 3.
	unsureFactor = 2
	// urgencyBands is how many urgency levels have their own part of the jitter.
	urgencyBands = 4
)

// Deadlines holds until when a response is useful to a caller.
type Deadlines struct {
	// Soft is until when the response is in time; zero if that is not known.
	Soft time.Time
	// Hard is when the caller stops waiting; zero for never.
	Hard time.Time
}

// ShouldWait decides whether a request keeps waiting. If so, the estimate is to be checked again
// at the returned time, unless something changes before.
func ShouldWait(p sumachead.Estimate, u Deadlines, now time.Time) (recheckAt time.Time, wait bool) {
	at, sure := p.Expect(now)
	until := u.Soft
	switch {
	case sure && u.Hard.IsZero():
		until = at.Add(minRecheck) // the caller waits without a limit
	case sure:
		until = u.Hard
	}
	left := until.Sub(at)
	if at.IsZero() || left <= 0 {
		return time.Time{}, false
	}
	// An estimated wait that grows as fast as time passes reaches the deadline after half of the
	// time left; any other estimate changes only when it is due.
	return now.Add(max(min(left/2, at.Sub(now)), minRecheck)), true
}

// RetryAt returns when the caller of a refused request should retry: when the request is
// expected to be served, with jitter, and the most urgent callers first. If the estimate is
// unsure, half of the callers would be too early, and most don't retry a second time: they are
// told a later time if it is before their deadline. It returns zero if a retry does not help.
func RetryAt(p sumachead.Estimate, u Deadlines, urgency uint32, now time.Time) time.Time {
	at, sure := p.Expect(now)
	delayed := now.Add(unsureFactor * at.Sub(now))
	if !sure && !at.IsZero() && (u.Hard.IsZero() || delayed.Before(u.Hard)) {
		at = delayed
	}
	return JitteredRetryAt(at, u, urgency, now)
}

// JitteredRetryAt returns when a caller that can be served from a given time on should retry.
func JitteredRetryAt(at time.Time, u Deadlines, urgency uint32, now time.Time) time.Time {
	if at.IsZero() || !u.Hard.IsZero() && !at.Before(u.Hard) {
		return time.Time{}
	}
	jitter := max(at.Sub(now)/jitterDivisor, minJitter)
	fraction := (float64(min(urgency, urgencyBands-1)) + rand.Float64()) / urgencyBands
	retryAt := at.Add(time.Duration(fraction * float64(jitter)))
	if retryAt.Before(now) {
		return now
	}
	return retryAt
}

// ElapsedEstimate is the estimate for something that has been missing since a time, of which
// nothing else is known: it is expected to take as long again.
type ElapsedEstimate struct{ Since time.Time }

// Expect implements sumachead.Estimate.
func (p ElapsedEstimate) Expect(now time.Time) (at time.Time, sure bool) {
	return now.Add(now.Sub(p.Since)), false
}

// ReportedEstimate is the estimate for something that others have announced for a time, without
// a guarantee.
type ReportedEstimate struct{ At time.Time }

// Expect implements sumachead.Estimate.
func (p ReportedEstimate) Expect(time.Time) (at time.Time, sure bool) { return p.At, false }

// TypicalEstimate is the estimate for something under way that usually takes a known time: it is
// sure until that has passed, and then the same time as has elapsed is expected again.
type TypicalEstimate struct {
	Since time.Time
	// By is when it should be available.
	By time.Time
}

// Expect implements sumachead.Estimate.
func (p TypicalEstimate) Expect(now time.Time) (at time.Time, sure bool) {
	if now.Before(p.By) {
		return p.By, true
	}
	return ElapsedEstimate{p.Since}.Expect(now)
}
