// Package warmup bounds the requests that are sent to a cold backend server.
//
// A server that has just started can handle few requests per second and fails well above that, so
// all routers together must stay within a bound. The requests are counted by the process beside the
// engine: a router asks it for a grant before it sends to a cold engine ([Gate]), and a router that
// can't reach it sends to other engines. If there is no such process, as beside servers of a plain
// service, each router limits itself to a part of the rate ([Shares]). [Bound] is the bound for both.
package warmup

import (
	"time"

	"sumachead/internal/bucket"
)

const (
	// GrantTTL is how long a grant may be used after it was requested: several times the latency
	// between data halls. It bounds how many earlier grants can be used within one second.
	GrantTTL = 100 * time.Millisecond
	// burstFraction is the fraction of the requests allowed in one second beyond the rate that may
	// arrive at once after a pause. With grants from up to GrantTTL before, one second has at most 1.1
	// times the rate plus this burst. The rest is for requests that were sent before the sender knew
	// that the server is cold.
	burstFraction = 0.5
	// reservedFraction is the fraction of the burst that requests leave to more urgent ones, for each
	// level of urgency below the most urgent; urgencyLevels is the number of levels.
	reservedFraction = 0.2
	urgencyLevels    = 4
	// shareFraction is the fraction of the rate that routers use which can't coordinate: the sum of
	// their independent requests exceeds the average in some seconds. By the Poisson distribution,
	// with an average of 6.6 requests per second, three of 1,000 seconds have more than 14; with half
	// of that, two of a million.
	shareFraction = 0.5
)

// Bound is the bound on the requests to one cold server.
type Bound struct {
	// Rate is the requests per second that the server can handle; 0 for no bound.
	Rate float64
	// Burst is how many requests may arrive at once after a pause, at least 1.
	Burst float64
}

// BoundOf returns the bound for a server that can handle a rate of requests per second. In any second
// at most rate*overage + slack requests may arrive.
func BoundOf(rate, overage, slack float64) Bound {
	return Bound{Rate: rate, Burst: max((rate*overage+slack-rate)*burstFraction, 1)}
}

// Intersect returns the bound on requests that both bounds allow.
func (b Bound) Intersect(c Bound) Bound {
	switch {
	case b.Rate == 0:
		return c
	case c.Rate == 0:
		return b
	}
	return Bound{Rate: min(b.Rate, c.Rate), Burst: min(b.Burst, c.Burst)}
}

// Gate grants the requests of all routers to one server while it is cold. It is not safe for
// concurrent use.
type Gate struct{ bucket bucket.Bucket }

// NewGate returns the gate of a server, in a process that has granted its requests since a time. What
// an earlier incarnation of the process may have granted is not granted again.
func NewGate(since time.Time, b Bound, now time.Time) *Gate {
	g := &Gate{}
	g.bucket.Reset(min(b.Rate*now.Sub(since).Seconds(), b.Burst), now)
	return g
}

// Admit reports whether one more request may be sent now, and if not, how long it takes until one
// may. Less urgent requests leave a part of the burst to more urgent ones.
func (g *Gate) Admit(b Bound, urgency uint32, now time.Time) (granted bool, retryAfter time.Duration) {
	g.bucket.Refill(b.Rate, b.Burst, now)
	reserved := min(reservedFraction*float64(min(urgency, urgencyLevels-1))*b.Burst, max(b.Burst-1, 0))
	if g.bucket.TakeAbove(reserved) {
		return true, 0
	}
	return false, g.bucket.TimeUntil(1+reserved, b.Rate)
}

// Shares limits the requests of one router to its share of the rates of cold servers. It is not safe
// for concurrent use; the zero value is ready to use.
type Shares struct{ buckets map[string]*share }

type share struct {
	bucket bucket.Bucket
	usedAt time.Time
}

// shareTimeout is how long the share of a server is kept without use.
const shareTimeout = 10 * time.Second

// Take reports whether this router, one of the given number of routers, may send a request to a
// server now.
func (s *Shares) Take(server string, b Bound, routers int, now time.Time) bool {
	if s.buckets == nil {
		s.buckets = make(map[string]*share)
	}
	x := s.buckets[server]
	if x == nil {
		s.expire(now)
		x = &share{}
		s.buckets[server] = x
	}
	x.usedAt = now
	rate := b.Rate * shareFraction / float64(routers)
	size := min(rate, 1)
	x.bucket.Refill(rate, size, now)
	return x.bucket.Take(size)
}

// expire removes the shares of servers that are no longer cold.
func (s *Shares) expire(now time.Time) {
	for id, x := range s.buckets {
		if now.Sub(x.usedAt) > shareTimeout {
			delete(s.buckets, id)
		}
	}
}
