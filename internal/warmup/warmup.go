// Package warmup bounds what a cold backend server is sent.
//
// A server that has just started bears few requests a second and falls over well above
// that, and all routers together must keep to it. The place that counts is the process
// beside the engine: a router asks it for a grant before it sends to a cold engine
// ([Gate]); a router that can't reach it sends to others. Where there is no such process,
// as beside servers of a plain service, each router keeps to a part of the rate
// ([Shares]). [Bound] says what both keep to.
package warmup

import (
	"time"

	"sumachead/internal/bucket"
)

const (
	// GrantLives is for how long a grant may be used after it was asked for: some times
	// what the answer takes between data halls. It bounds how many grants of earlier
	// times can be used within one second.
	GrantLives = 100 * time.Millisecond
	// burstPart is the part of what may come in a second, beyond the rate, that may come
	// at once after a pause. With grants of GrantLives before, a second so sees at most
	// 1.1 times the rate and this, and the rest is for what was sent before the sender
	// knew that the server is cold.
	burstPart = 0.5
	// kept is the part of the burst for each rank of urgency that less urgent requests
	// leave to more urgent ones, and ranks how many ranks there are.
	kept  = 0.2
	ranks = 4
	// sharePart is the part of the rate that routers use which can't know of each other:
	// what each draws adds up to more than the average in some seconds. Of 1,000 seconds
	// with 6.6 a second on average three have more than 14, as Poisson has it; with half
	// of it two of a million.
	sharePart = 0.5
)

// Bound is what one cold server may be sent.
type Bound struct {
	// Rate is how many requests a second it bears; 0 for no bound.
	Rate float64
	// Burst is how many may come at once after a pause, at least 1.
	Burst float64
}

// BoundOf returns the bound of a server that bears a rate of requests a second, of which
// overage times as many and slack more may come in any second.
func BoundOf(rate, overage, slack float64) Bound {
	return Bound{Rate: rate, Burst: max((rate*overage+slack-rate)*burstPart, 1)}
}

// And returns the bound on what two bounds both allow.
func (b Bound) And(c Bound) Bound {
	switch {
	case b.Rate == 0:
		return c
	case c.Rate == 0:
		return b
	}
	return Bound{Rate: min(b.Rate, c.Rate), Burst: min(b.Burst, c.Burst)}
}

// Gate counts what all routers send to one server while it is cold. It is not safe for
// concurrent use.
type Gate struct{ bucket bucket.Bucket }

// NewGate returns the gate of a server of which the process that counts has known all
// requests since a time: what could have been granted before then is not granted again.
func NewGate(since time.Time, b Bound, now time.Time) *Gate {
	g := &Gate{}
	g.bucket.Start(min(b.Rate*now.Sub(since).Seconds(), b.Burst), now)
	return g
}

// Admit reports whether one more request may be sent now, and otherwise how long it takes
// until one may. Less urgent requests leave a part of the burst to more urgent ones.
func (g *Gate) Admit(b Bound, urgency uint32, now time.Time) (granted bool, again time.Duration) {
	g.bucket.Fill(b.Rate, b.Burst, now)
	left := min(kept*float64(min(urgency, ranks-1))*b.Burst, max(b.Burst-1, 0))
	if g.bucket.TakeAbove(left) {
		return true, 0
	}
	return false, g.bucket.Until(1+left, b.Rate)
}

// Shares is one router's part of what cold servers bear. It is not safe for concurrent
// use; the zero value is ready.
type Shares struct{ buckets map[string]*share }

type share struct {
	bucket bucket.Bucket
	usedAt time.Time
}

// shareForget is for how long a server's share is kept without use.
const shareForget = 10 * time.Second

// Take reports whether this router, one of so many, may send a request to a server now.
func (s *Shares) Take(server string, b Bound, routers int, now time.Time) bool {
	if s.buckets == nil {
		s.buckets = make(map[string]*share)
	}
	x := s.buckets[server]
	if x == nil {
		s.forget(now)
		x = &share{}
		s.buckets[server] = x
	}
	x.usedAt = now
	rate := b.Rate * sharePart / float64(routers)
	size := min(rate, 1)
	x.bucket.Fill(rate, size, now)
	return x.bucket.Take(size)
}

// forget drops the shares of servers that are not cold any more.
func (s *Shares) forget(now time.Time) {
	for id, x := range s.buckets {
		if now.Sub(x.usedAt) > shareForget {
			delete(s.buckets, id)
		}
	}
}
