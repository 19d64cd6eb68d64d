package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// reportEvery is how often a router reports, and reportEach is added to that for each
	// router, so that the leader's work does not grow with their number.
	reportEvery = 200 * time.Millisecond
	reportEach  = 1500 * time.Microsecond
	// moveMost is the most of the time of an order, one part in so many, that is kept for the
	// move: requests that run at the old servers have to come to their end within it.
	moveMost = 3
	// moveMargin is how long before the deadline the move ends, whatever still runs: for a
	// commit, and a leader lost meanwhile.
	moveMargin = 1200 * time.Millisecond
	// singleFrom is the part of the trial after which requests that may run only once go to
	// the target version as well: a caller loses one that it fails.
	singleFrom = 0.5
	// scarcePart is the part, one in so many, of what is known of the best known route that has
	// to be known of others.
	scarcePart = 2
	// doubtful is how likely a bad version may be before they do not.
	doubtful = 3
)

// Watch is what the leading keeper knows of one order. It is not safe for concurrent use.
type Watch struct {
	Service string
	Order   uint64
	// Ordered and Deadline are the order's times, by this host.
	Ordered, Deadline sumachead.BootTime
	// Longest is how long a request of the service may take.
	Longest time.Duration
	Bounds  Bounds

	Exposure *Exposure
	evidence Evidence
	// seen are the routes of which requests came.
	seen map[string]bool
	// known is how many answers of the target version are known, by route, and doubt whether a
	// bad version is likelier than not; both as at the last call of Next.
	known map[string]int64
	doubt bool
	// moved are the routers that have told that they know of the move, and what then still
	// runs at the versions that are replaced.
	moved map[life]int64
}

// DecideBy returns when the trial ends. The rest is for the move: the whole time of an order is
// used, since some versions turn bad only after a time.
func (w *Watch) DecideBy() sumachead.BootTime {
	move := min(w.Deadline.Sub(w.Ordered)/moveMost, w.Longest+moveMargin)
	return w.Deadline.Add(-move)
}

// Passed returns which part of the trial has passed.
func (w *Watch) Passed(now sumachead.BootTime) float64 {
	return float64(now.Sub(w.Ordered)) / float64(max(w.DecideBy().Sub(w.Ordered), 1))
}

// Take takes in a report; the report must not be changed any more. Where it is a copy of its
// router's last one it returns the answer to that; stale is set for an older one.
func (w *Watch) Take(r *wire.RolloutReport, moving *wire.Rollout) (answered *wire.RolloutGrants, stale bool) {
	if answered, stale = w.Exposure.Take(r); answered != nil || stale {
		return answered, stale
	}
	w.evidence.Take(r)
	for id := range w.moved {
		if id.node == r.GetNode() {
			delete(w.moved, id) // also what an earlier life told, which has ended
		}
	}
	if moving.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_MOVING && r.GetRevision() >= moving.GetRevision() {
		if w.moved == nil {
			w.moved = make(map[life]int64)
		}
		w.moved[life{r.GetNode(), r.GetBoot()}] = r.GetOpenReplaced()
	}
	return nil, false
}

// Answer answers a report with grants out of the room that there is.
func (w *Watch) Answer(r *wire.RolloutReport, once func(route string) bool, routers int, now sumachead.BootTime) *wire.RolloutGrants {
	var arrivals int64
	for _, a := range r.GetArrivals() {
		if w.seen == nil {
			w.seen = make(map[string]bool)
		}
		w.seen[a.GetRoute()] = true
		arrivals += a.GetRequests()
	}
	g := &wire.RolloutGrants{
		Requests: Fair(w.Exposure.Room(), arrivals), ValidMillis: validFor.Milliseconds(),
		AgainMillis: (reportEvery + time.Duration(routers)*reportEach).Milliseconds(),
	}
	early := w.Passed(now) < singleFrom || w.doubt
	for _, route := range slices.Sorted(maps.Keys(w.seen)) {
		switch {
		case early && once(route):
			g.Withheld = append(g.Withheld, route)
		case w.isScarce(route):
			g.Scarce = append(g.Scarce, route)
		}
	}
	w.Exposure.Grant(r, g)
	return g
}

// isScarce reports whether much less is known of a route than of the one that is known best.
func (w *Watch) isScarce(route string) bool {
	var most int64
	for _, n := range w.known {
		most = max(most, n)
	}
	return w.known[route]*scarcePart < most
}

// look adds up what is known, and notes what answers to reports go by.
func (w *Watch) look() *sums {
	w.known = make(map[string]int64)
	s := w.evidence.sum()
	all := newComparison("", s.ended)
	for _, r := range s.routes {
		w.known[r.name] = r.sampled()
		all.compare(r)
	}
	w.doubt = all.against() > math.Log(doubtful)
	return s
}

// Fleet is what the leading keeper knows of a service's servers and of the routers.
type Fleet struct {
	// Target and Others are the slots of servers that are ready, of the target version and of
	// all others.
	Target, Others uint32
	// Replaced are the other versions.
	Replaced []string
	// Routers are the nodes of the routers that follow.
	Routers []string
	// Known: all servers have had the time to tell of themselves.
	Known bool
}

// enoughSlots is the part of the others' slots that the target version has to have.
const enoughSlots = 0.5

// Next returns the next step of a roll-out, nil while there is none. It is to be called some
// times a second.
func (w *Watch) Next(r *wire.Rollout, f *Fleet, now sumachead.BootTime) *wire.RolloutStep {
	s := w.look()
	switch r.GetPhase() {
	case wire.RolloutPhase_ROLLOUT_PHASE_TRIAL:
		return w.afterTrial(s, f, now)
	case wire.RolloutPhase_ROLLOUT_PHASE_MOVING:
		return w.afterMove(s, f, now)
	}
	return nil
}

// afterTrial ends the trial: at once for a version that is found bad or takes the place of none,
// and when its time is over for one that is not.
func (w *Watch) afterTrial(s *sums, f *Fleet, now sumachead.BootTime) *wire.RolloutStep {
	over := now >= w.DecideBy()
	v, why := judge(s, over)
	switch {
	case v == VerdictBad:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, why)
	case f.Known && f.Others == 0 && f.Target > 0:
		return w.move(f, "no server of another version is left")
	case !over:
		return nil
	case now >= w.Deadline:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, "the deadline has passed in the trial")
	case float64(f.Target) < enoughSlots*float64(f.Others) || f.Target == 0:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, "too few servers of the target version are there")
	case v == VerdictGood:
		return w.move(f, why)
	}
	return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, why)
}

// afterMove ends the move: once nothing runs at the other versions any more, as all routers tell,
// or when there is no more time. A version that turns bad under all requests goes back as long
// as the others are there.
func (w *Watch) afterMove(s *sums, f *Fleet, now sumachead.BootTime) *wire.RolloutStep {
	v, why := judge(s, false)
	switch {
	case v == VerdictBad && f.Others > 0:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, "in the move: "+why)
	case f.Known && f.Target == 0 && f.Others > 0:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, "the servers of the target version have gone in the move")
	case w.allMoved(f.Routers):
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE, "nothing runs at other versions any more")
	case now >= w.Deadline.Add(-moveMargin):
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE, "the deadline is near")
	}
	return nil
}

// allMoved reports whether all routers have left the versions that are replaced.
func (w *Watch) allMoved(routers []string) bool {
	left := make(map[string]bool)
	for id, open := range w.moved {
		if open > 0 {
			return false
		}
		left[id.node] = true
	}
	for _, n := range routers {
		if !left[n] {
			return false
		}
	}
	return len(routers) > 0
}

func (w *Watch) step(p wire.RolloutPhase, why string) *wire.RolloutStep {
	return &wire.RolloutStep{Service: w.Service, Order: w.Order, Phase: p, Reason: why}
}

func (w *Watch) move(f *Fleet, why string) *wire.RolloutStep {
	s := w.step(wire.RolloutPhase_ROLLOUT_PHASE_MOVING, why)
	s.Replaced = f.Replaced
	return s
}
