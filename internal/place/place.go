package place

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"sumachead"
)

// The names of the policies.
const (
	PolicyWeighted         = "weighted"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
)

// New returns the policy of that name; the empty name means [Weighted]. It returns nil for an
// unknown name.
func New(policy string) sumachead.Placer {
	switch policy {
	case "", PolicyWeighted:
		return &Weighted{}
	case PolicyRoundRobin:
		return &RoundRobin{}
	case PolicyLeastOutstanding:
		return &LeastOutstanding{}
	}
	return nil
}

// stuckReportTTL is how long a report of a stuck server is believed; after that a request may
// probe it.
const stuckReportTTL = 3 * time.Second

// eligible drops the candidates that were tried or are leaving, and those that are stuck or in
// backoff unless there are no others.
func eligible(r sumachead.PlaceRequest, cs []sumachead.Candidate) []sumachead.Candidate {
	var out, doubtful []sumachead.Candidate
	for _, c := range cs {
		switch {
		case slices.Contains(r.Tried, c.Server) || c.Load.GetLeaving():
		case c.Load.GetStuck() && r.Now.Sub(c.LoadAt) < stuckReportTTL:
			doubtful = append(doubtful, c)
		case c.Load.GetRestMillis() > 0 && r.Now.Sub(c.LoadAt).Milliseconds() < c.Load.GetRestMillis():
			doubtful = append(doubtful, c)
		default:
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return doubtful
	}
	return out
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Place implements sumachead.Placer.
func (p *RoundRobin) Place(r sumachead.PlaceRequest, cs []sumachead.Candidate) (sumachead.Candidate, bool) {
	cs = eligible(r, cs)
	if len(cs) == 0 {
		return sumachead.Candidate{}, false
	}
	return cs[p.next.Add(1)%uint64(len(cs))], true
}

// LeastOutstanding takes the candidate with the fewest outstanding requests of this router.
type LeastOutstanding struct{ next atomic.Uint64 }

// Place implements sumachead.Placer.
func (p *LeastOutstanding) Place(r sumachead.PlaceRequest, cs []sumachead.Candidate) (sumachead.Candidate, bool) {
	cs = eligible(r, cs)
	if len(cs) == 0 {
		return sumachead.Candidate{}, false
	}
	start := int(p.next.Add(1) % uint64(len(cs)))
	best := cs[start]
	for i := range cs {
		if c := cs[(start+i)%len(cs)]; c.InFlight < best.InFlight {
			best = c
		}
	}
	return best, true
}

const (
	// otherHallCost is the latency added for a server in another data hall.
	otherHallCost = 2 * time.Millisecond
	// defaultFirstTokenTime is assumed for a server that has not reported any yet.
	defaultFirstTokenTime = 50 * time.Millisecond
	// prefixBound is the maximum load of a server, in percent of the average, at which it is
	// still chosen for its cached prefix (consistent hashing with bounded loads: V. Mirrokni, M.
	// Thorup, M. Zadimoghaddam, 2018).
	prefixBound = 125
)

// Weighted keeps a prompt's prefix on one server while that server is not overloaded, and
// otherwise takes the better of two random candidates (M. Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", 2001) by expected time to the first token.
type Weighted struct{}

// Place implements sumachead.Placer.
func (p *Weighted) Place(r sumachead.PlaceRequest, cs []sumachead.Candidate) (sumachead.Candidate, bool) {
	cs = eligible(r, cs)
	if len(cs) == 0 {
		return sumachead.Candidate{}, false
	}
	if r.Prefix != 0 {
		if c, ok := preferredServer(r, cs); ok {
			return c, true
		}
	}
	a := cs[rand.IntN(len(cs))]
	b := cs[rand.IntN(len(cs))]
	if cost(r, b) < cost(r, a) {
		return b, true
	}
	return a, true
}

// preferredServer returns the server with the highest random weight for the prefix, and whether its
// load is within the bound.
func preferredServer(r sumachead.PlaceRequest, cs []sumachead.Candidate) (sumachead.Candidate, bool) {
	total := 0
	best, bestScore := cs[0], uint64(0)
	for _, c := range cs {
		total += load(c)
		if s := score(r.Prefix, c.Server); s >= bestScore {
			best, bestScore = c, s
		}
	}
	bound := (total+1)*prefixBound/100/len(cs) + 1
	return best, load(best) < max(bound, 2) || load(best) < int(best.Load.GetSlots())/2
}

// load returns the number of requests known to be at a candidate: those it reported, or the
// outstanding ones of this router if they are more.
func load(c sumachead.Candidate) int {
	return max(int(c.Load.GetRunning()+c.Load.GetQueued()), c.InFlight)
}

// cost returns the expected time to the first token.
func cost(r sumachead.PlaceRequest, c sumachead.Candidate) time.Duration {
	first := defaultFirstTokenTime
	if c.Load.GetFirstTokenMicros() > 0 {
		first = time.Duration(c.Load.GetFirstTokenMicros()) * time.Microsecond
	}
	slots := max(int(c.Load.GetSlots()), 1)
	d := first + first*time.Duration(load(c))/time.Duration(slots)
	if c.Hall != r.Hall {
		d += otherHallCost
	}
	return d
}
