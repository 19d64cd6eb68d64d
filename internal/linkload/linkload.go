// Package linkload decides when a router whose link is filled by its callers is passed over.
//
// A balancer that hashes callers sends all of a crowd to one router while its neighbours are
// idle. A router whose callers take most of its link reports that it is not ready, so that new
// connections go elsewhere, and closes some kept connections; requests that arrive are served.
// docs/design/links.md has the load that this is for.
package linkload

import (
	"sync"
	"time"
)

const (
	// window is the time over which the load is measured, in steps of slice.
	window = 500 * time.Millisecond
	slice  = 50 * time.Millisecond
	// fullPercent of the link taken by callers make the router overloaded; the rest is needed
	// for traffic between processes and packet headers.
	fullPercent = 75
	// clearPercent is the load below which it is ready again.
	clearPercent = 50
	// minOverloadTime is how long a router stays overloaded at least.
	minOverloadTime = 2500 * time.Millisecond
	// noticeTime is how long the balancer needs to notice. Connections closed earlier would only
	// be opened to the same router again.
	noticeTime = 2 * time.Second
	// closeOneIn of the answers closes its connection while the link is full. Closing all
	// connections at once would move the overload to another router.
	closeOneIn = 10
)

// Link measures the load that callers put on a router's link. Set the exported fields before the
// first call; it is safe for concurrent use.
type Link struct {
	// BytesPerSecond is the capacity of the link in each direction; 0 if unknown, in which case
	// the router is never overloaded.
	BytesPerSecond int64
	// Changed is called when the state changes; may be nil. It must not call the link.
	Changed func(overloaded bool)

	mu sync.Mutex // guards the fields below
	// begun is when the first slice began.
	begun time.Time
	// used are the bytes of the newest slices, newest the number of the last one.
	used   [window / slice]int64
	newest int64
	// overloadedAt is since when the router is overloaded, and clearAt since when its link has
	// room again; zero if it is not, or has none.
	overloadedAt, clearAt time.Time
	// answers counts the answers given while connections were to be closed.
	answers int
}

// AddBytes records bytes exchanged with callers. All of them are forwarded, so that they count for
// both directions of the link.
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

// ShouldClose reports whether the connection of the current answer should be closed, so that its
// next request goes to another router.
func (l *Link) ShouldClose(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	if l.overloadedAt.IsZero() || now.Sub(l.overloadedAt) < noticeTime || l.percent() < fullPercent {
		return false
	}
	l.answers++
	return l.answers%closeOneIn == 0
}

// update advances the state to a time. The caller holds mu.
func (l *Link) update(now time.Time) {
	l.advance(now)
	percent := l.percent()
	switch {
	case l.overloadedAt.IsZero():
		if percent >= fullPercent {
			l.setOverloaded(now)
		}
	case percent >= clearPercent:
		l.clearAt = time.Time{}
	case l.clearAt.IsZero():
		l.clearAt = now
	case now.Sub(l.clearAt) >= window && now.Sub(l.overloadedAt) >= minOverloadTime:
		l.setOverloaded(time.Time{})
	}
}

// setOverloaded makes the router overloaded since a time, or ready for the zero time. The caller
// holds mu.
func (l *Link) setOverloaded(overloadedAt time.Time) {
	l.overloadedAt, l.clearAt = overloadedAt, time.Time{}
	if l.Changed != nil {
		l.Changed(!overloadedAt.IsZero())
	}
}

// advance clears the slices that have passed since the newest one. The caller holds mu.
func (l *Link) advance(now time.Time) {
	if l.begun.IsZero() {
		l.begun = now
	}
	at := int64(now.Sub(l.begun) / slice)
	l.newest = max(l.newest, at-int64(len(l.used)))
	for l.newest < at {
		l.newest++
		l.used[l.newest%int64(len(l.used))] = 0
	}
}

// percent returns the load in percent of the link. The caller holds mu.
func (l *Link) percent() int64 {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	var sum int64
	for _, n := range l.used {
		sum += n
	}
	const whole = 100
	return sum * whole * int64(time.Second/window) / l.BytesPerSecond
}
