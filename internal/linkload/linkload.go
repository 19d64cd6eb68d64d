// Package linkload detects when callers saturate the network link of a router.
//
// A load balancer that hashes callers may send a group of busy callers to one router while others are
// idle. A router whose callers use most of its link reports that it is not ready, so that new
// connections go to other routers, and closes some keep-alive connections: the share that brings its
// link to OverloadPercent, as far as the other routers of the data hall have room. Requests that arrive
// are still served. docs/design/links.md describes the load that this is designed for.
package linkload

import (
	"sync"
	"time"
)

const (
	// window is the time over which the load is measured, and slice the resolution.
	window = 500 * time.Millisecond
	slice  = 50 * time.Millisecond
	// OverloadPercent is the load from callers at which the router becomes overloaded. The rest of
	// the link is needed for traffic between processes and for packet headers.
	OverloadPercent Percent = 75
	// recoveryPercent is the load below which the router becomes ready again.
	recoveryPercent Percent = 50
	// minOverloadTime is the minimum time for which a router stays overloaded.
	minOverloadTime = 2500 * time.Millisecond
	// detectionTime is how long the load balancer takes to detect that a router is not ready.
	// Connections that are closed earlier would be reopened to the same router.
	detectionTime = 2 * time.Second
	// closeOneIn is how many responses there are for each that closes its connection while the link is
	// full and the neighbors' load is unknown. Closing all connections at once would move the
	// overload to another router.
	closeOneIn = 10
)

// Link measures the load that callers put on a router's link. Set the exported fields before the
// first call; it is safe for concurrent use.
type Link struct {
	// BytesPerSecond is the capacity of the link in each direction; 0 if unknown, in which case
	// the router is never overloaded.
	BytesPerSecond int64
	// Changed is called when the state changes; it may be nil. It must not call methods of the Link.
	Changed func(overloaded bool)

	mu sync.Mutex // guards the fields below
	// startedAt is when the first slice started.
	startedAt time.Time
	// used is a ring buffer of the bytes in the newest slices, and newest the number of the last slice.
	used   [window / slice]int64
	newest int64
	// overloadedAt is when the router became overloaded, and belowSince when its load fell below
	// recoveryPercent; zero if it is not overloaded, or the load is not below.
	overloadedAt, belowSince time.Time
	// responses counts the responses while one in closeOneIn connections should be closed.
	responses int
	// neighbors is the neighbors' load as of neighborsAt.
	neighbors   Neighbors
	neighborsAt time.Time
	// round is the newest round of closing connections.
	round round
}

// AddBytes records bytes exchanged with callers. All of them are forwarded, so that they count in both
// directions of the link.
func (l *Link) AddBytes(n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	l.used[l.newest%int64(len(l.used))] += int64(n)
}

// Overloaded reports whether new connections should go to other routers.
func (l *Link) Overloaded(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	return !l.overloadedAt.IsZero()
}

// ShouldClose reports whether a connection should be closed after its current response, so that the
// caller's next request goes to another router.
func (l *Link) ShouldClose(c ConnectionID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	if l.overloadedAt.IsZero() || now.Sub(l.overloadedAt) < detectionTime || l.percent() < OverloadPercent {
		return false
	}
	return l.shouldClose(c, now)
}

// update advances the state to a time. The caller holds mu.
func (l *Link) update(now time.Time) {
	l.advance(now)
	percent := l.percent()
	switch {
	case l.overloadedAt.IsZero():
		if percent >= OverloadPercent {
			l.setOverloaded(now)
		}
	case percent >= recoveryPercent:
		l.belowSince = time.Time{}
	case l.belowSince.IsZero():
		l.belowSince = now
	case now.Sub(l.belowSince) >= window && now.Sub(l.overloadedAt) >= minOverloadTime:
		l.setOverloaded(time.Time{})
	}
}

// setOverloaded marks the router as overloaded since a time, or as ready for the zero time. The caller
// holds mu.
func (l *Link) setOverloaded(overloadedAt time.Time) {
	l.overloadedAt, l.belowSince, l.round = overloadedAt, time.Time{}, round{}
	if l.Changed != nil {
		l.Changed(!overloadedAt.IsZero())
	}
}

// advance moves to the slice of a time and clears the slices in between. The caller holds mu.
func (l *Link) advance(now time.Time) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	at := int64(now.Sub(l.startedAt) / slice)
	l.newest = max(l.newest, at-int64(len(l.used)))
	for l.newest < at {
		l.newest++
		l.used[l.newest%int64(len(l.used))] = 0
	}
}

// percent returns the load as a percentage of the link's capacity. The caller holds mu.
func (l *Link) percent() Percent {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	var sum int64
	for _, n := range l.used {
		sum += n
	}
	const whole = 100
	return Percent(sum * whole * int64(time.Second/window) / l.BytesPerSecond)
}
