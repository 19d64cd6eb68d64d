package rollout

import (
	"maps"
	"slices"

	"sumachead/api/wire"
)

// life names one life of a router.
type life struct{ node, boot string }

// tally is what became of requests.
type tally struct {
	answers, failed int64
	// first are times until answers began, and pace those between the events of answers.
	first, pace histogram
}

// merge adds what a router tells.
func (t *tally) merge(a *wire.RolloutAnswers) {
	t.answers += a.GetAnswers()
	t.failed += a.GetFailed()
	t.first.merge(a.GetFirst())
	t.pace.merge(a.GetPace())
}

// Evidence is what routers have told of one order: of each of their lives the newest report,
// whose counts are totals. The zero value is ready; it is not safe for concurrent use.
type Evidence struct {
	reports map[life]*wire.RolloutReport
}

// Take takes in a report. It must not be changed any more.
func (e *Evidence) Take(r *wire.RolloutReport) {
	if e.reports == nil {
		e.reports = make(map[life]*wire.RolloutReport)
	}
	e.reports[life{r.GetNode(), r.GetBoot()}] = r
}

// routeEvidence is what is known of one route.
type routeEvidence struct {
	name string
	// others are all servers of other versions; target is by server.
	others tally
	target map[string]*tally
}

// sums are all reports added up.
type sums struct {
	// routes are in the order of their names.
	routes []*routeEvidence
	// ended are the servers of the target version that have ended under requests.
	ended map[string]bool
}

// sum adds up the reports.
func (e *Evidence) sum() *sums {
	byName := make(map[string]*routeEvidence)
	s := &sums{ended: make(map[string]bool)}
	for _, r := range e.reports {
		for _, a := range r.GetAnswers() {
			if a.GetEnded() {
				s.ended[a.GetServer()] = true
				continue
			}
			x := byName[a.GetRoute()]
			if x == nil {
				x = &routeEvidence{name: a.GetRoute(), target: make(map[string]*tally)}
				byName[a.GetRoute()] = x
			}
			x.tallyOf(a.GetServer()).merge(a)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s.routes = append(s.routes, byName[name])
	}
	return s
}

// tallyOf returns the tally of a server of the target version, or of all others where none is
// named.
func (r *routeEvidence) tallyOf(server string) *tally {
	if server == "" {
		return &r.others
	}
	if r.target[server] == nil {
		r.target[server] = &tally{}
	}
	return r.target[server]
}

// sampled returns how many answers of the target version are known.
func (r *routeEvidence) sampled() int64 {
	var n int64
	for _, t := range r.target {
		n += t.answers
	}
	return n
}
