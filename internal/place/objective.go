package place

import (
	"math"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// value is the value of requests that meet their objectives, in tokens. It is
// proportional to request sizes because callers prepay by tokens, and a longer response does
// more of their work.
type value float64

const (
	// outputTokenWeight is how many prompt tokens one response token counts as: users measure the
	// size of a request in this way.
	outputTokenWeight = 10
	// recomputeWeight is the cost of prefilling a token of a shared part that another engine has
	// cached: it takes as much of the engine's time as a token of a request's own part, without
	// any benefit.
	recomputeWeight = 1.0
	// fetchWeight is the cost of a token fetched from another engine: it uses the link between
	// the engines and none of their compute time.
	fetchWeight = 0.6
	// otherHallPenalty is the cost of sending a prompt to another data hall: the transfer is far
	// cheaper than recomputing the prompt's parts, so that the penalty only breaks ties.
	otherHallPenalty = 300
	// waitWeight is the cost of a millisecond until the first event while that is in time: lower
	// than all other costs, so that it only breaks ties.
	waitWeight = 2

	// The probability that a first event is late rises quadratically while its predicted time
	// goes from firstEventRiskFrom to firstEventRiskTo of the time left; the probability that a
	// stream stalls, while the predicted prefill time beside it goes from gapRiskFrom to
	// gapRiskTo of its maximum event gap. Both are fitted to some thousand observed requests:
	// first events come nearly as predicted, and the gap is shorter than the prefill of a very
	// long prompt, which further prompts may prolong.
	firstEventRiskFrom, firstEventRiskTo = 0.6, 1.05
	gapRiskFrom, gapRiskTo               = 0.2, 1.6
	// slotWaitThreshold is the fraction of an engine's slots above which a request is expected
	// to wait for one: the load of other routers is known with some delay.
	slotWaitThreshold = 0.95
	// spilloverPercent is the share of a plain service's slots, in percent, that one router
	// fills before it sends requests to another data hall.
	spilloverPercent = 50
)

// valueOf returns the value of a request.
func valueOf(w *Request) value { return value(w.PromptTokens + outputTokenWeight*w.MaxOutputTokens) }

// firstEventMissProbability returns the probability that a first event with a predicted time
// misses its objective in the time left.
func firstEventMissProbability(took, left time.Duration) float64 {
	return quadraticRamp(float64(took)/float64(max(left, 1)), firstEventRiskFrom, firstEventRiskTo)
}

// gapMissProbability returns the probability that prefills of a given duration beside a stream
// cause a gap above its objective; 0 without an objective.
func gapMissProbability(prefill, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	return quadraticRamp(float64(prefill)/float64(objective), gapRiskFrom, gapRiskTo)
}

// quadraticRamp rises quadratically from 0 to 1 between two bounds.
func quadraticRamp(x, from, to float64) float64 {
	r := min(max((x-from)/(to-from), 0), 1)
	return r * r
}

// estimate is the prediction for one request at one engine.
type estimate struct {
	// recomputed is how many tokens of shared parts are prefilled there although another engine
	// has them cached, and fetched how many are fetched from that one.
	recomputed sumachead.Tokens
	fetched    sumachead.Tokens
	// uncached is how many tokens must be prefilled.
	uncached sumachead.Tokens
	// prefill is how long that takes, and wait the time to the first event.
	prefill time.Duration
	wait    time.Duration
	// backlog is how long the engine takes for the prefills queued before this one.
	backlog time.Duration
}

// cost returns the expected loss, in tokens, of sending a request to an engine: the value of the
// request if it is late, of the streams that it makes late, the prefill of tokens that another
// engine has cached, and the cost of fetched tokens, of waiting and of another data hall.
func (c *Scheduler) cost(s *server, w *Request, e estimate, otherHall bool, now time.Time) float64 {
	cost := c.ownLoss(s, w, e, now) + inFlightLoss(s, e, now) +
		recomputeWeight*float64(e.recomputed) + fetchWeight*float64(e.fetched) +
		waitWeight*float64(e.wait)/float64(time.Millisecond)
	if otherHall {
		cost += otherHallPenalty
	}
	return cost
}

// ownLoss returns a request's value times the probability that it is late: its first event
// misses its deadline, or the prefill of a long prompt stalls its stream.
func (c *Scheduler) ownLoss(s *server, w *Request, e estimate, now time.Time) float64 {
	inTime := 1.0
	if !w.FirstEventDeadline.IsZero() {
		inTime = 1 - firstEventMissProbability(e.wait, w.FirstEventDeadline.Sub(now))
	}
	if w.MaxEventGap > 0 {
		inTime *= math.Exp(-s.stallRate(now) * c.streamDuration(w.Route).Seconds())
	}
	return float64(valueOf(w)) * (1 - inTime)
}

// inFlightLoss returns the expected loss of streams at an engine that one more prefill delays. A
// stream that waits for its own prefill is delayed only by prefills queued after it.
func inFlightLoss(s *server, e estimate, now time.Time) float64 {
	var sum float64
	for _, l := range s.inFlight {
		if !l.inTime() {
			continue
		}
		before := e.backlog
		if l.firstEventAt.IsZero() {
			before = max(s.prefillDoneAt.Sub(l.prefillDoneAt), 0)
		}
		sum += float64(l.value) * (gapMissProbability(before+e.prefill, l.request.MaxEventGap) - gapMissProbability(before, l.request.MaxEventGap))
	}
	o := s.remoteAt(now)
	return sum + float64(o.atRisk)*(gapMissProbability(e.backlog+e.prefill, o.gapObjective)-gapMissProbability(e.backlog, o.gapObjective))
}

// plainServiceCost returns the load of a server of a plain service in percent of its slots, with
// a penalty for another data hall.
func plainServiceCost(r *wire.ServerRecord, s *server, otherHall bool) float64 {
	slots := max(int(r.GetSlots()), 1)
	load := len(s.inFlight) * 100 / slots
	if otherHall {
		load += spilloverPercent
	}
	return float64(load)
}
