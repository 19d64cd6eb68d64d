// Package linkload decides when a router whose link callers fill is passed over: a balancer that
// hashes callers sends all of a crowd to one router, whose link can't carry it, while those
// beside it are idle. Such a router says that it is not ready, so that new connections come to
// others, and ends connections that callers keep; what has arrived it serves.
//
// The load that it answers: one workspace's callers, at about twice what a link carries, beside
// routers that have room. Without it all that comes to the router waits in the link, what it is
// told by other processes included, until callers have given up.
package linkload

import (
	"sync"
	"time"
)

const (
	// window is the time over which use is measured, and slice its parts.
	window = 500 * time.Millisecond
	slice  = 50 * time.Millisecond
	// fullPercent of the link, taken by callers, is as much as they get: the rest is what goes
	// beside them, and the heads of packets.
	fullPercent = 75
	// clearPercent is what callers may take for new ones to be welcome again.
	clearPercent = 50
	// asideLeast is how long a router stays aside: the balancer takes some questions to see it.
	asideLeast = 2500 * time.Millisecond
	// noticed is when the balancer has seen it. A connection that is ended before then is only
	// made anew.
	noticed = 2 * time.Second
	// partsOneIn of the answers ends its connection while the link is full: what is measured
	// lags, and callers that all went at once would fill the next router's link.
	partsOneIn = 10
)

// Link watches what callers take of a router's link. Set the exported fields before the first
// call; it is safe for concurrent use.
type Link struct {
	// BytesPerSecond is what the link carries each way; 0 if that is not known: the router is
	// never aside then.
	BytesPerSecond int64
	// Changed is told when the router steps aside or is back; nil for nobody. It must not call
	// the link.
	Changed func(aside bool)

	mu sync.Mutex // guards the fields below
	// begun is when the first slice began.
	begun time.Time
	// used are the bytes of the newest slices, newest the number of the last one.
	used   [window / slice]int64
	newest int64
	// asideAt is since when the router is aside, and clearAt since when its link is clear
	// meanwhile; zero if it is not.
	asideAt, clearAt time.Time
	// answers are those that were given while connections were to end.
	answers int
}

// Took notes bytes that passed between callers and this router. What a caller sends is passed on
// to a server, and what a server answers to the caller, so that either takes as much of both ways
// of the link.
func (l *Link) Took(n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look(now)
	l.used[l.newest%int64(len(l.used))] += int64(n)
}

// Aside reports whether new connections should come to other routers.
func (l *Link) Aside(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look(now)
	return !l.asideAt.IsZero()
}

// Parts reports whether a connection should end after the answer that is about to be given, so
// that the next request comes to another router.
func (l *Link) Parts(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look(now)
	if l.asideAt.IsZero() || now.Sub(l.asideAt) < noticed || l.percent() < fullPercent {
		return false
	}
	l.answers++
	return l.answers%partsOneIn == 0
}

// look brings the state up to a time. The caller holds mu.
func (l *Link) look(now time.Time) {
	l.forget(now)
	percent := l.percent()
	switch {
	case l.asideAt.IsZero():
		if percent >= fullPercent {
			l.step(now)
		}
	case percent >= clearPercent:
		l.clearAt = time.Time{}
	case l.clearAt.IsZero():
		l.clearAt = now
	case now.Sub(l.clearAt) >= window && now.Sub(l.asideAt) >= asideLeast:
		l.step(time.Time{})
	}
}

// step makes the router one that is aside since a time, or back for the zero time. The caller
// holds mu.
func (l *Link) step(asideAt time.Time) {
	l.asideAt, l.clearAt = asideAt, time.Time{}
	if l.Changed != nil {
		l.Changed(!asideAt.IsZero())
	}
}

// forget empties the slices that have passed since the newest one. The caller holds mu.
func (l *Link) forget(now time.Time) {
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

// percent returns which part of the link callers have taken lately. The caller holds mu.
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
