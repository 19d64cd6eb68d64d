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
	// minReportInterval is the interval at which a router reports. reportIntervalPerRouter is added for
	// each router, so that the load of the leader does not grow with their number.
	minReportInterval       = 200 * time.Millisecond
	reportIntervalPerRouter = 1500 * time.Microsecond
	// maxMoveDivisor bounds the part of an order's time, one in so many, that is reserved for the
	// move: requests in flight at the old servers have to finish within it.
	maxMoveDivisor = 3
	// moveMargin is how long before the deadline the move ends, whatever is still in flight. It leaves
	// time for a commit and for a change of the leader.
	moveMargin = 1200 * time.Millisecond
	// nonIdempotentFrom is the fraction of the trial after which non-idempotent requests go to the
	// target version as well: those that it fails can't be retried.
	nonIdempotentFrom = 0.5
	// scarceDivisor defines scarce routes: those with fewer canary responses than one in so many of
	// the route with the most.
	scarceDivisor = 2
	// doubtRatio is the likelihood ratio for a bad version above which non-idempotent requests are
	// withheld from it.
	doubtRatio = 3
)

// Controller holds what the leading keeper knows of one order and decides its next step. It is not
// safe for concurrent use.
type Controller struct {
	Service string
	Order   uint64
	// OrderedAt and Deadline are the times of the order by the clock of this host.
	OrderedAt, Deadline sumachead.BootTime
	// MaxRequestTime is how long a request of the service may take.
	MaxRequestTime time.Duration
	Bounds         Bounds

	Exposure *Exposure
	results  Results
	// routes are the routes that have had requests.
	routes map[string]bool
	// canaryResponses is the number of responses of the target version by route, and doubt is set if
	// the evidence against it exceeds doubtRatio; both are as of the last call of NextStep.
	canaryResponses map[string]int64
	doubt           bool
	// moved are the routers that have reported that they know of the move, with the number of their
	// requests that are still in flight at the replaced versions.
	moved map[incarnation]int64
}

// TrialDeadline returns when the trial ends. It leaves only the time for the move, since some
// versions fail only after a while.
func (w *Controller) TrialDeadline() sumachead.BootTime {
	move := min(w.Deadline.Sub(w.OrderedAt)/maxMoveDivisor, w.MaxRequestTime+moveMargin)
	return w.Deadline.Add(-move)
}

// TrialProgress returns the fraction of the trial that has passed.
func (w *Controller) TrialProgress(now sumachead.BootTime) float64 {
	return float64(now.Sub(w.OrderedAt)) / float64(max(w.TrialDeadline().Sub(w.OrderedAt), 1))
}

// HandleReport processes a report, which must not be modified afterwards. If it is a duplicate of its
// router's last one, it returns the reply to that; stale is set for an older one.
func (w *Controller) HandleReport(r *wire.RolloutReport, moving *wire.Rollout) (reply *wire.RolloutGrants, stale bool) {
	if reply, stale = w.Exposure.HandleReport(r); reply != nil || stale {
		return reply, stale
	}
	w.results.Add(r)
	for id := range w.moved {
		if id.node == r.GetNode() {
			delete(w.moved, id) // also the reports of earlier incarnations
		}
	}
	if moving.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_MOVING && r.GetRevision() >= moving.GetRevision() {
		if w.moved == nil {
			w.moved = make(map[incarnation]int64)
		}
		w.moved[incarnation{r.GetNode(), r.GetBoot()}] = r.GetOpenReplaced()
	}
	return nil, false
}

// GrantRequests returns the reply to a report, with grants out of the available requests.
func (w *Controller) GrantRequests(r *wire.RolloutReport, notIdempotent func(route string) bool, routers int, now sumachead.BootTime) *wire.RolloutGrants {
	var arrivals int64
	for _, a := range r.GetArrivals() {
		if w.routes == nil {
			w.routes = make(map[string]bool)
		}
		w.routes[a.GetRoute()] = true
		arrivals += a.GetRequests()
	}
	g := &wire.RolloutGrants{
		Requests: FairShare(w.Exposure.Available(), arrivals), ValidMillis: grantTTL.Milliseconds(),
		AgainMillis: (minReportInterval + time.Duration(routers)*reportIntervalPerRouter).Milliseconds(),
	}
	early := w.TrialProgress(now) < nonIdempotentFrom || w.doubt
	for _, route := range slices.Sorted(maps.Keys(w.routes)) {
		switch {
		case early && notIdempotent(route):
			g.Withheld = append(g.Withheld, route)
		case w.isScarce(route):
			g.Scarce = append(g.Scarce, route)
		}
	}
	w.Exposure.Grant(r, g)
	return g
}

// isScarce reports whether a route has far fewer canary responses than the route with the most.
func (w *Controller) isScarce(route string) bool {
	var highest int64
	for _, n := range w.canaryResponses {
		highest = max(highest, n)
	}
	return w.canaryResponses[route]*scarceDivisor < highest
}

// summarize returns the totals of the results and updates the state on which grants depend.
func (w *Controller) summarize() *totals {
	w.canaryResponses = make(map[string]int64)
	s := w.results.sum()
	all := newComparison("", s.crashed)
	for _, r := range s.routes {
		w.canaryResponses[r.name] = r.canaryResponses()
		all.addRoute(r)
	}
	w.doubt = all.logRatioWithoutWorst() > math.Log(doubtRatio)
	return s
}

// ServiceState is what the leading keeper knows of a service's servers and of the routers.
type ServiceState struct {
	// TargetSlots and OtherSlots are the slots of the ready servers of the target version and of all
	// other versions.
	TargetSlots, OtherSlots uint32
	// ReplacedVersions are the other versions.
	ReplacedVersions []string
	// Routers are the node names of the routers that follow the leader.
	Routers []string
	// Complete: all servers have had enough time to report to the leader.
	Complete bool
}

// minSlotFactor is the minimum ratio of the target version's slots to those of the other versions.
const minSlotFactor = 0.5

// NextStep returns the next step of a rollout, or nil if there is none yet. It should be called a few
// times a second.
func (w *Controller) NextStep(r *wire.Rollout, f *ServiceState, now sumachead.BootTime) *wire.RolloutStep {
	s := w.summarize()
	switch r.GetPhase() {
	case wire.RolloutPhase_ROLLOUT_PHASE_TRIAL:
		return w.nextInTrial(s, f, now)
	case wire.RolloutPhase_ROLLOUT_PHASE_MOVING:
		return w.nextInMove(s, f, now)
	}
	return nil
}

// nextInTrial ends the trial: at once if the version is bad or if no other version has servers left,
// otherwise when the time for the trial is over.
func (w *Controller) nextInTrial(s *totals, f *ServiceState, now sumachead.BootTime) *wire.RolloutStep {
	over := now >= w.TrialDeadline()
	v, why := evaluate(s, over)
	switch {
	case v == VerdictBad:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, why)
	case f.Complete && f.OtherSlots == 0 && f.TargetSlots > 0:
		return w.move(f, "no server of another version is left")
	case !over:
		return nil
	case now >= w.Deadline:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, "the deadline has passed in the trial")
	case float64(f.TargetSlots) < minSlotFactor*float64(f.OtherSlots) || f.TargetSlots == 0:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, "too few servers of the target version are there")
	case v == VerdictGood:
		return w.move(f, why)
	}
	return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, why)
}

// nextInMove ends the move: once no router has requests in flight at the other versions, or when the
// time is over. A version that turns out bad under the full load is rolled back as long as other
// versions have servers.
func (w *Controller) nextInMove(s *totals, f *ServiceState, now sumachead.BootTime) *wire.RolloutStep {
	v, why := evaluate(s, false)
	switch {
	case v == VerdictBad && f.OtherSlots > 0:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, "in the move: "+why)
	case f.Complete && f.TargetSlots == 0 && f.OtherSlots > 0:
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, "the servers of the target version have gone in the move")
	case w.allMoved(f.Routers):
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE, "nothing runs at other versions any more")
	case now >= w.Deadline.Add(-moveMargin):
		return w.step(wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE, "the deadline is near")
	}
	return nil
}

// allMoved reports whether no router has requests in flight at the replaced versions.
func (w *Controller) allMoved(routers []string) bool {
	moved := make(map[string]bool)
	for id, open := range w.moved {
		if open > 0 {
			return false
		}
		moved[id.node] = true
	}
	for _, n := range routers {
		if !moved[n] {
			return false
		}
	}
	return len(routers) > 0
}

func (w *Controller) step(p wire.RolloutPhase, why string) *wire.RolloutStep {
	return &wire.RolloutStep{Service: w.Service, Order: w.Order, Phase: p, Reason: why}
}

func (w *Controller) move(f *ServiceState, why string) *wire.RolloutStep {
	s := w.step(wire.RolloutPhase_ROLLOUT_PHASE_MOVING, why)
	s.Replaced = f.ReplacedVersions
	return s
}
