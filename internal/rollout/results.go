package rollout

import (
	"maps"
	"slices"

	"sumachead/api/wire"
)

// incarnation identifies an incarnation of a router.
type incarnation struct{ node, boot string }

// outcomes counts the outcomes of requests.
type outcomes struct {
	responses, failed int64
	// firstEvents are the times until the first event of responses, and gaps those between events.
	firstEvents, gaps histogram
}

// merge adds the counts that a router reports.
func (t *outcomes) merge(a *wire.RolloutAnswers) {
	t.responses += a.GetAnswers()
	t.failed += a.GetFailed()
	t.firstEvents.merge(a.GetFirst())
	t.gaps.merge(a.GetPace())
}

// Results holds the outcomes that routers have reported for one order: the newest report of each
// incarnation, since its counts are totals. The zero value is ready to use; it is not safe for
// concurrent use.
type Results struct {
	reports map[incarnation]*wire.RolloutReport
}

// Add adds a report, which must not be modified afterwards.
func (e *Results) Add(r *wire.RolloutReport) {
	if e.reports == nil {
		e.reports = make(map[incarnation]*wire.RolloutReport)
	}
	e.reports[incarnation{r.GetNode(), r.GetBoot()}] = r
}

// routeResults holds the outcomes on one route.
type routeResults struct {
	name string
	// baseline are all servers of other versions; target is keyed by server.
	baseline outcomes
	target   map[string]*outcomes
}

// totals are the sums of all reports.
type totals struct {
	// routes are sorted by name.
	routes []*routeResults
	// crashed are the servers of the target version that have crashed while running requests.
	crashed map[string]bool
}

// sum returns the totals of the reports.
func (e *Results) sum() *totals {
	byName := make(map[string]*routeResults)
	s := &totals{crashed: make(map[string]bool)}
	for _, r := range e.reports {
		for _, a := range r.GetAnswers() {
			if a.GetEnded() {
				s.crashed[a.GetServer()] = true
				continue
			}
			x := byName[a.GetRoute()]
			if x == nil {
				x = &routeResults{name: a.GetRoute(), target: make(map[string]*outcomes)}
				byName[a.GetRoute()] = x
			}
			x.outcomesOf(a.GetServer()).merge(a)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s.routes = append(s.routes, byName[name])
	}
	return s
}

// outcomesOf returns the outcomes of a server of the target version, or of the baseline for the empty
// name.
func (r *routeResults) outcomesOf(server string) *outcomes {
	if server == "" {
		return &r.baseline
	}
	if r.target[server] == nil {
		r.target[server] = &outcomes{}
	}
	return r.target[server]
}

// canaryResponses returns the number of responses of the target version.
func (r *routeResults) canaryResponses() int64 {
	var n int64
	for _, t := range r.target {
		n += t.responses
	}
	return n
}
