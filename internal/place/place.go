package place

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"sumachead"
)

// Names of the policies.
const (
	PolicyWeighted         = "weighted"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
)

// New returns a policy by name; the empty name means [Weighted]. It returns
// nil for an unknown one.
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

// stuckFor is for how long what an agent told of a stuck server is believed;
// then a request may find out.
const stuckFor = 3 * time.Second

// fit drops the candidates that were tried or are known to be leaving, and those
// that are stuck or rest if there are others.
func fit(r sumachead.PlaceRequest, cs []sumachead.Candidate) []sumachead.Candidate {
	var out, doubtful []sumachead.Candidate
	for _, c := range cs {
		switch {
		case slices.Contains(r.Tried, c.Server) || c.Load.GetLeaving():
		case c.Load.GetStuck() && r.Now.Sub(c.LoadAt) < stuckFor:
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
	cs = fit(r, cs)
	if len(cs) == 0 {
		return sumachead.Candidate{}, false
	}
	return cs[p.next.Add(1)%uint64(len(cs))], true
}

// LeastOutstanding takes the candidate with the fewest of this router's own
// requests.
type LeastOutstanding struct{ next atomic.Uint64 }

// Place implements sumachead.Placer.
func (p *LeastOutstanding) Place(r sumachead.PlaceRequest, cs []sumachead.Candidate) (sumachead.Candidate, bool) {
	cs = fit(r, cs)
	if len(cs) == 0 {
		return sumachead.Candidate{}, false
	}
	start := int(p.next.Add(1) % uint64(len(cs)))
	best := cs[start]
	for i := range cs {
		if c := cs[(start+i)%len(cs)]; c.Outstanding < best.Outstanding {
			best = c
		}
	}
	return best, true
}

const (
	// otherHallCost is the delay that a server in another hall counts for.
	otherHallCost = 2 * time.Millisecond
	// unknownCost is assumed of a server that has told nothing yet.
	unknownCost = 50 * time.Millisecond
	// prefixBound is how much more than the average load a server may have and
	// still be chosen for its cached prefix, in percent (consistent hashing
	// with bounded loads: V. Mirrokni, M. Thorup, M. Zadimoghaddam, 2018).
	prefixBound = 125
)

// Weighted keeps a prompt's prefix on one server while that one is not
// overloaded, and otherwise takes the better of two random candidates (M.
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001)
// by expected time to the first token.
type Weighted struct{}

// Place implements sumachead.Placer.
func (p *Weighted) Place(r sumachead.PlaceRequest, cs []sumachead.Candidate) (sumachead.Candidate, bool) {
	cs = fit(r, cs)
	if len(cs) == 0 {
		return sumachead.Candidate{}, false
	}
	if r.Prefix != 0 {
		if c, ok := home(r, cs); ok {
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

// home returns the server that a prefix hashes to (highest random weight),
// unless that one is loaded beyond the bound.
func home(r sumachead.PlaceRequest, cs []sumachead.Candidate) (sumachead.Candidate, bool) {
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

// load is the work known at a candidate: what it told, and what this router
// has sent since.
func load(c sumachead.Candidate) int {
	return max(int(c.Load.GetRunning()+c.Load.GetQueued()), c.Outstanding)
}

// cost is the expected time to the first token.
func cost(r sumachead.PlaceRequest, c sumachead.Candidate) time.Duration {
	first := unknownCost
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
