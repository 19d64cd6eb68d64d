package rollout

import (
	"fmt"
	"math"
)

// The target version is evaluated by a sequential test on the likelihood ratio of the outcomes: how
// much likelier they are if the version fails more requests than the baseline than if it does not.
// Such a test may be repeated at any time. The baseline is measured at the same time and under the
// same load, and the upper bound of its confidence interval is used.
//
// If one server fails while the rest of its version does well, the server is at fault. So the
// evidence against a version must hold without its worst server.

const (
	// badRatio is the likelihood ratio from which on a version is bad: a good one is taken for bad
	// less than once in so many rollouts.
	badRatio = 1000
	// goodRatio is the likelihood ratio from which on a version is good, between one like the baseline
	// and one that fails minEffect more. Without its worst server it is goodRatioWithoutWorst.
	goodRatio             = 3
	goodRatioWithoutWorst = 20
	// minEffect is the share of requests that a bad version fails in addition to the baseline, as
	// tested by goodRatio, and minRouteEffect that for one route, which has fewer responses.
	minEffect      = 0.1
	minRouteEffect = 0.2
	// wilsonZ is the upper bound of the baseline's share in standard deviations above the measured
	// one.
	wilsonZ = 2.5
	// minBadShare is the minimum share of failures that is expected of any version.
	minBadShare = 0.005
	// slowBuckets is how many histogram buckets above the median of the baseline a response is several
	// times slower.
	slowBuckets = 4
	// usualQuantile is the fraction of the baseline's responses that are never slow, however long they
	// take.
	usualQuantile = 0.98
	// minBaselineResponses is how many responses of the baseline are needed to define what is slow.
	minBaselineResponses = 20
	// minCanaryResponses is how many canary responses of a route are needed. A route with few requests
	// needs one in minCanaryDivisor of its responses instead.
	minCanaryResponses = 11
	minCanaryDivisor   = 4
)

// badShares are the additional shares of failures that are tested for a bad version.
var badShares = []float64{0.03, 0.1, 0.3, 0.9}

// Verdict is the result of the evaluation of a target version.
type Verdict int

// The verdicts.
const (
	// VerdictUndecided: there is no evidence against it so far.
	VerdictUndecided Verdict = iota
	// VerdictBad: it fails more requests than the baseline.
	VerdictBad
	// VerdictGood: it may replace the other versions.
	VerdictGood
	// VerdictInsufficient: there is too little evidence that it is good.
	VerdictInsufficient
)

// evaluate returns the verdict on the target version, with the reason in words. A version is good
// only after the trial is over.
func evaluate(s *totals, over bool) (v Verdict, why string) {
	all := newComparison("", s.crashed)
	parts := []*comparison{all}
	for _, r := range s.routes {
		c := newComparison(r.name, nil)
		c.addRoute(r)
		all.merge(c)
		parts = append(parts, c)
	}
	for _, c := range parts {
		if c.logRatioWithoutWorst() >= math.Log(badRatio*float64(len(parts))) {
			return VerdictBad, c.String()
		}
	}
	if !over {
		return VerdictUndecided, ""
	}
	for i, c := range parts {
		switch {
		case i > 0 && c.isInsufficient(s.routes[i-1]):
			return VerdictInsufficient, "too few answers are known: " + c.String()
		case !c.isGood() && (c.badResponses() > 0 || i == 0):
			return VerdictInsufficient, "it is not known to do as well as the others: " + c.String()
		}
	}
	return VerdictGood, all.String()
}

// serverEvidence holds the responses of one server and how they compare with what is expected.
type serverEvidence struct {
	// responses counts all responses, and bad those that failed or were several times slower than the
	// baseline's.
	responses, bad int64
	// logRatios are, for each of badShares, the logarithm of the likelihood ratio between a version
	// that fails this share in addition to the baseline and one that does not.
	logRatios [4]float64
	// effectLogRatio and routeEffectLogRatio are the same for minEffect and minRouteEffect, against
	// the expected share of the baseline instead of its upper bound.
	effectLogRatio, routeEffectLogRatio float64
}

// comparison is the evidence for and against a version, on one route or on all routes.
type comparison struct {
	route string
	// servers are the servers of the target version.
	servers map[string]*serverEvidence
}

// newComparison returns a comparison with the servers of the target version that have crashed while
// running requests. Each crash is one failure, however many requests it affected.
func newComparison(route string, crashed map[string]bool) *comparison {
	c := &comparison{route: route, servers: make(map[string]*serverEvidence)}
	for id := range crashed {
		c.server(id).add(1, 1, minBadShare, minBadShare)
	}
	return c
}

func (c *comparison) server(id string) *serverEvidence {
	if c.servers[id] == nil {
		c.servers[id] = &serverEvidence{}
	}
	return c.servers[id]
}

// addRoute adds the results of a route.
func (c *comparison) addRoute(r *routeResults) {
	slowFirstEvent, slowGap := slowThreshold(&r.baseline.firstEvents), slowThreshold(&r.baseline.gaps)
	bad := func(t *outcomes) int64 {
		return min(t.failed+max(t.firstEvents.above(slowFirstEvent), t.gaps.above(slowGap)), t.responses)
	}
	expected, upper := badShare(bad(&r.baseline), r.baseline.responses)
	for id, t := range r.target {
		c.server(id).add(t.responses, bad(t), expected, upper)
	}
}

// slowThreshold returns the bucket above which durations are several times the usual ones.
func slowThreshold(h *histogram) int {
	if h.total() < minBaselineResponses {
		return numBuckets
	}
	const half = 0.5
	return max(h.quantile(half)+slowBuckets, h.quantile(usualQuantile))
}

// badShare returns the expected share of bad responses of the baseline (by Laplace's rule of
// succession) and its upper bound (that of the Wilson score interval).
func badShare(bad, responses int64) (expected, upper float64) {
	expected = float64(bad+1) / float64(responses+2)
	if responses == 0 {
		return expected, 1
	}
	n, p := float64(responses), float64(bad)/float64(responses)
	const z = wilsonZ
	upper = (p + z*z/(2*n) + z*math.Sqrt(p*(1-p)/n+z*z/(4*n*n))) / (1 + z*z/n)
	return max(expected, minBadShare), max(upper, minBadShare)
}

// add adds responses of a server, given the expected share of bad responses of the baseline and the
// upper bound of that share.
func (c *serverEvidence) add(responses, bad int64, expected, upper float64) {
	c.responses += responses
	c.bad += bad
	for i, s := range badShares {
		c.logRatios[i] += logRatio(responses, bad, upper, s)
	}
	c.effectLogRatio += logRatio(responses, bad, expected, minEffect)
	c.routeEffectLogRatio += logRatio(responses, bad, expected, minRouteEffect)
}

// logRatio returns the logarithm of the likelihood ratio of responses between a version that fails
// an additional share of requests and one that fails the share of the baseline.
func logRatio(responses, bad int64, baseline, additional float64) float64 {
	if baseline >= 1 {
		return 0
	}
	both := baseline + additional*(1-baseline)
	return float64(bad)*math.Log(both/baseline) + float64(responses-bad)*math.Log(1-additional)
}

// merge adds the evidence of another comparison.
func (c *comparison) merge(o *comparison) {
	for id, x := range o.servers {
		s := c.server(id)
		s.responses += x.responses
		s.bad += x.bad
		s.effectLogRatio += x.effectLogRatio
		s.routeEffectLogRatio += x.routeEffectLogRatio
		for i, w := range x.logRatios {
			s.logRatios[i] += w
		}
	}
}

// logRatioWithoutWorst returns the logarithm of the likelihood ratio between a bad version, with all
// badShares equally likely, and one like the baseline, without the version's worst server.
func (c *comparison) logRatioWithoutWorst() float64 {
	lowest := c.mixtureLogRatio("")
	if len(c.servers) == 1 {
		return lowest
	}
	for id := range c.servers {
		lowest = min(lowest, c.mixtureLogRatio(id))
	}
	return lowest
}

// mixtureLogRatio returns the logarithm of the likelihood ratio without one server, none for the
// empty ID.
func (c *comparison) mixtureLogRatio(without string) float64 {
	var sum float64
	for i := range badShares {
		var w float64
		for id, x := range c.servers {
			if id != without {
				w += x.logRatios[i]
			}
		}
		sum += math.Exp(min(w, 700)) / float64(len(badShares)) // e^700 is near the largest float64
	}
	return math.Log(sum)
}

// isGood reports whether the evidence favors a version like the baseline over one that fails
// minEffect more.
func (c *comparison) isGood() bool {
	total := 0.0
	worst := math.Inf(-1)
	for _, x := range c.servers {
		r := x.effectLogRatio
		if c.route != "" {
			r = x.routeEffectLogRatio
		}
		total += r
		worst = max(worst, r)
	}
	return total < -math.Log(goodRatio) || len(c.servers) > 1 && total-worst < -math.Log(goodRatioWithoutWorst)
}

// isInsufficient reports whether a route has too few canary responses for its requests.
func (c *comparison) isInsufficient(r *routeResults) bool {
	n := r.canaryResponses()
	return n < min(minCanaryResponses, (r.baseline.responses+n)/minCanaryDivisor)
}

// badResponses returns the number of bad responses.
func (c *comparison) badResponses() int64 {
	var n int64
	for _, x := range c.servers {
		n += x.bad
	}
	return n
}

// String summarizes the comparison.
func (c *comparison) String() string {
	var n int64
	for _, x := range c.servers {
		n += x.responses
	}
	where := "all routes"
	if c.route != "" {
		where = "route " + c.route
	}
	return fmt.Sprintf("%s: %d of %d answers of the target version were bad, at %d servers", where, c.badResponses(), n, len(c.servers))
}
