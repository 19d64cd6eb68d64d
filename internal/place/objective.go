package place

import (
	"math"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// worth is what requests in time are worth to their callers, in tokens: a request's
// size. Callers prepay by tokens, and a larger answer stands for more of their work.
type worth float64

const (
	// answerWeight is what a token of an answer counts in tokens of a prompt: the
	// users measure a request's size so.
	answerWeight = 10
	// againWeight is what a token of a shared part that is read again costs: it is as
	// much work of the engine as a token of a request's own, and serves nobody.
	againWeight = 1.0
	// fetchWeight is the same for a token that is fetched from another engine: it
	// takes no time of the engine's steps, only of the link between them.
	fetchWeight = 0.6
	// awayWeight is what sending a prompt to another data hall costs: its bytes cost
	// far less than reading its parts again, so that it decides only between servers
	// that are alike.
	awayWeight = 300
	// waitWeight is what a millisecond until the first event costs while it is in
	// time: less than anything else, so that it decides only between servers that are
	// alike.
	waitWeight = 2

	// A first event is late with a probability that rises, ever faster, while its
	// predicted time goes from the first to the second part of what is left of its
	// objective; a stream's pause while the predicted reading beside it goes from the
	// one to the other part of its objective. Both are fitted to some thousand observed
	// requests: first events come nearly as predicted, and a pause is shorter than the
	// reading of a very long prompt, which more prompts may prolong.
	firstFrom, firstTo = 0.6, 1.05
	pauseFrom, pauseTo = 0.2, 1.6
	// fullSlots is the part of an engine's slots from which one is expected to have to
	// be waited for: what other routers have there is known a little late.
	fullSlots = 0.95
	// fullPart is the part, in percent, of a plain service's slots that one
	// router fills before it goes to another data hall.
	fullPart = 50
)

// worthOf returns a request's.
func worthOf(w *Work) worth { return worth(w.Prompt + answerWeight*w.Answer) }

// lateFirst returns the probability that a first event predicted to take a time misses
// what is left of its objective.
func lateFirst(took, left time.Duration) float64 {
	return rise(float64(took)/float64(max(left, 1)), firstFrom, firstTo)
}

// latePause returns the probability that a stream beside which prompts are read for a
// time has a pause above its objective; 0 without an objective.
func latePause(reading, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	return rise(float64(reading)/float64(objective), pauseFrom, pauseTo)
}

// rise goes from 0 to 1 while x goes between two bounds, ever faster.
func rise(x, from, to float64) float64 {
	r := min(max((x-from)/(to-from), 0), 1)
	return r * r
}

// estimate is what is expected of one request at one engine.
type estimate struct {
	// again are the tokens of shared parts that are to be read there although another
	// engine has them, and fetched those that are taken over from there.
	again   sumachead.Tokens
	fetched sumachead.Tokens
	// unread is what is to be read.
	unread sumachead.Tokens
	// read is how long that takes, and wait the time to the first event.
	read time.Duration
	wait time.Duration
	// backlog is for how long the engine has other prompts to read.
	backlog time.Duration
}

// cost is the expected loss from sending a request to an engine: its own worth if it is
// late, that of streams there which it makes late, and the engine's time for what is
// read again. All terms are in tokens.
func (c *Chooser) cost(s *server, w *Work, e estimate, away bool, now time.Time) float64 {
	cost := c.ownLoss(s, w, e, now) + harm(s, e, now) +
		againWeight*float64(e.again) + fetchWeight*float64(e.fetched) +
		waitWeight*float64(e.wait)/float64(time.Millisecond)
	if away {
		cost += awayWeight
	}
	return cost
}

// ownLoss is a request's worth times the probability that it is late: by its first
// event, or by a pause while another long prompt is read beside its stream.
func (c *Chooser) ownLoss(s *server, w *Work, e estimate, now time.Time) float64 {
	inTime := 1.0
	if !w.FirstBy.IsZero() {
		inTime = 1 - lateFirst(e.wait, w.FirstBy.Sub(now))
	}
	if w.Pause > 0 {
		inTime *= math.Exp(-s.longRate(now) * c.length(w.Route).Seconds())
	}
	return float64(worthOf(w)) * (1 - inTime)
}

// harm is the worth of streams at an engine that are late because one more prompt is
// read there. Streams that are waiting for their own prompts are held up only by what
// is read after them.
func harm(s *server, e estimate, now time.Time) float64 {
	var sum float64
	for _, l := range s.runs {
		if !l.inTime() {
			continue
		}
		before := e.backlog
		if l.firstAt.IsZero() {
			before = max(s.busyUntil.Sub(l.readBy), 0)
		}
		sum += float64(l.worth) * (latePause(before+e.read, l.work.Pause) - latePause(before, l.work.Pause))
	}
	o := s.othersAt(now)
	return sum + float64(o.atRisk)*(latePause(e.backlog+e.read, o.pause)-latePause(e.backlog, o.pause))
}

// plainCost weighs a server of a plain service by its load in percent of its
// slots: the own data hall first while it is not too full.
func plainCost(r *wire.ServerRecord, s *server, away bool) float64 {
	slots := max(int(r.GetSlots()), 1)
	load := len(s.runs) * 100 / slots
	if away {
		load += fullPart
	}
	return float64(load)
}
