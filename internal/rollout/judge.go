package rollout

import (
	"fmt"
	"math"
)

// The target version is judged by a sequential test: how much likelier what is known would be,
// if the version failed more requests than the others do, than if it did not. That may be asked
// as often as one likes. What the others do is counted at the same time and under the same
// load, and taken at the upper end of what it may be.
//
// A server that fails while the rest of its version does well is the server's fault. So what
// speaks against a version must do so without its worst server.

const (
	// foundBad is how much likelier what is known has to be under a bad version: a good one
	// is taken for bad less than once in so many.
	foundBad = 1000
	// foundGood is how much likelier what is known has to be under a version like the others
	// than under one that fails worthwhile more. Without its worst server, foundGoodWithout.
	foundGood        = 3
	foundGoodWithout = 20
	// worthwhile is the share of requests that a bad version fails, beside what the others do,
	// for which foundGood is asked, and worthwhileOfRoute that of one route, of which less is
	// known.
	worthwhile        = 0.1
	worthwhileOfRoute = 0.2
	// sure is by how many deviations the others' share is taken higher than it was seen.
	sure = 2.5
	// leastShare is the least share of failures that is expected of any version.
	leastShare = 0.005
	// slowClasses is by how many classes of length an answer is longer than most of the others'
	// that is several times as slow.
	slowClasses = 4
	// usualPart is the part of the others' answers that count as usual, however long they take.
	usualPart = 0.98
	// leastOthers is how many answers of the others have to be known to say what is slow.
	leastOthers = 20
	// leastSampled is how many answers of a route have to be known, unless it has few: then a
	// part of them, one in sampledOf.
	leastSampled = 11
	sampledOf    = 4
)

// badShares are the shares of failures that a bad version may have.
var badShares = []float64{0.03, 0.1, 0.3, 0.9}

// Verdict is what is held of a target version.
type Verdict int

// The verdicts.
const (
	// VerdictOpen: nothing speaks against it so far.
	VerdictOpen Verdict = iota
	// VerdictBad: it fails more requests than the others.
	VerdictBad
	// VerdictGood: it may take the place of the others.
	VerdictGood
	// VerdictThin: too little is known of it.
	VerdictThin
)

// judge says what is held of the target version by what is known, with the reason in words.
// Only where the trial is over, it is found to be good.
func judge(s *sums, over bool) (v Verdict, why string) {
	all := newComparison("", s.ended)
	parts := []*comparison{all}
	for _, r := range s.routes {
		c := newComparison(r.name, nil)
		c.compare(r)
		all.add(c)
		parts = append(parts, c)
	}
	for _, c := range parts {
		if c.against() >= math.Log(foundBad*float64(len(parts))) {
			return VerdictBad, c.String()
		}
	}
	if !over {
		return VerdictOpen, ""
	}
	for i, c := range parts {
		switch {
		case i > 0 && c.thin(s.routes[i-1]):
			return VerdictThin, "too few answers are known: " + c.String()
		case !c.good() && (c.bad() > 0 || i == 0):
			return VerdictThin, "it is not known to do as well as the others: " + c.String()
		}
	}
	return VerdictGood, all.String()
}

// counted is what is known of one server, against what is expected of it.
type counted struct {
	// answers, and bad ones among them: failed, or several times slower than the others'.
	answers, bad int64
	// weights are, for each of badShares, the logarithm of how much likelier that is with so
	// many failures beside the others' than without.
	weights [4]float64
	// better and betterOfRoute are the same for the shares that are worthwhile, against what was
	// seen of the others.
	better, betterOfRoute float64
}

// comparison is what speaks for and against a version, on one route or on all.
type comparison struct {
	route string
	// servers are those of the target version.
	servers map[string]*counted
}

// newComparison begins one with servers of the target version that have ended under requests:
// each is one failure, however many requests it had.
func newComparison(route string, ended map[string]bool) *comparison {
	c := &comparison{route: route, servers: make(map[string]*counted)}
	for id := range ended {
		c.server(id).count(1, 1, leastShare, leastShare)
	}
	return c
}

func (c *comparison) server(id string) *counted {
	if c.servers[id] == nil {
		c.servers[id] = &counted{}
	}
	return c.servers[id]
}

// compare counts what is known of a route.
func (c *comparison) compare(r *routeEvidence) {
	slowFirst, slowPace := slowFrom(&r.others.first), slowFrom(&r.others.pace)
	bad := func(t *tally) int64 {
		return min(t.failed+max(t.first.above(slowFirst), t.pace.above(slowPace)), t.answers)
	}
	seen, most := share(bad(&r.others), r.others.answers)
	for id, t := range r.target {
		c.server(id).count(t.answers, bad(t), seen, most)
	}
}

// slowFrom returns the class above which lengths of time are several times those of most.
func slowFrom(h *histogram) int {
	if h.total() < leastOthers {
		return classes
	}
	const half = 0.5
	return max(h.quantile(half)+slowClasses, h.quantile(usualPart))
}

// share returns the share of bad answers of the others as it is expected by what was seen
// (Laplace's rule), and the most that it may be (the upper end of Wilson's interval).
func share(bad, answers int64) (seen, most float64) {
	seen = float64(bad+1) / float64(answers+2)
	if answers == 0 {
		return seen, 1
	}
	n, p := float64(answers), float64(bad)/float64(answers)
	const z = sure
	most = (p + z*z/(2*n) + z*math.Sqrt(p*(1-p)/n+z*z/(4*n*n))) / (1 + z*z/n)
	return max(seen, leastShare), max(most, leastShare)
}

// count takes in answers of a server, of which a share is expected to be bad that lies between
// what was seen of the others and the most that it may be.
func (c *counted) count(answers, bad int64, seen, most float64) {
	c.answers += answers
	c.bad += bad
	for i, s := range badShares {
		c.weights[i] += weight(answers, bad, most, s)
	}
	c.better += weight(answers, bad, seen, worthwhile)
	c.betterOfRoute += weight(answers, bad, seen, worthwhileOfRoute)
}

// weight returns the logarithm of how much likelier answers are where a version fails a share
// beside the others' than where it does not.
func weight(answers, bad int64, others, more float64) float64 {
	if others >= 1 {
		return 0
	}
	both := others + more*(1-others)
	return float64(bad)*math.Log(both/others) + float64(answers-bad)*math.Log(1-more)
}

// add takes in what another comparison counts.
func (c *comparison) add(o *comparison) {
	for id, x := range o.servers {
		s := c.server(id)
		s.answers += x.answers
		s.bad += x.bad
		s.better += x.better
		s.betterOfRoute += x.betterOfRoute
		for i, w := range x.weights {
			s.weights[i] += w
		}
	}
}

// against returns the logarithm of how much likelier what is known is under a bad version, the
// shares of failures being as likely as each other, without the version's worst server.
func (c *comparison) against() float64 {
	least := c.mixed("")
	if len(c.servers) == 1 {
		return least
	}
	for id := range c.servers {
		least = min(least, c.mixed(id))
	}
	return least
}

// mixed is against without one server.
func (c *comparison) mixed(without string) float64 {
	var sum float64
	for i := range badShares {
		var w float64
		for id, x := range c.servers {
			if id != without {
				w += x.weights[i]
			}
		}
		sum += math.Exp(min(w, 700)) / float64(len(badShares)) // e^700 is near the largest there is
	}
	return math.Log(sum)
}

// good reports whether what is known is likelier under a version like the others than under one
// that fails worthwhile more.
func (c *comparison) good() bool {
	total := 0.0
	worst := math.Inf(-1)
	for _, x := range c.servers {
		better := x.better
		if c.route != "" {
			better = x.betterOfRoute
		}
		total += better
		worst = max(worst, better)
	}
	return total < -math.Log(foundGood) || len(c.servers) > 1 && total-worst < -math.Log(foundGoodWithout)
}

// thin reports whether too little is known of a route that had requests.
func (c *comparison) thin(r *routeEvidence) bool {
	n := r.sampled()
	return n < min(leastSampled, (r.others.answers+n)/sampledOf)
}

// bad returns how many answers were bad.
func (c *comparison) bad() int64 {
	var n int64
	for _, x := range c.servers {
		n += x.bad
	}
	return n
}

// String says what is known.
func (c *comparison) String() string {
	var n int64
	for _, x := range c.servers {
		n += x.answers
	}
	where := "all routes"
	if c.route != "" {
		where = "route " + c.route
	}
	return fmt.Sprintf("%s: %d of %d answers of the target version were bad, at %d servers", where, c.bad(), n, len(c.servers))
}
