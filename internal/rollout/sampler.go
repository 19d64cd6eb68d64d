package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// Sampler is a router's part of roll-outs. It is safe for concurrent use. Set the exported
// fields before the first call.
type Sampler struct {
	Clock sumachead.Clock
	Node  sumachead.NodeID
	// Boot names this life of the router.
	Boot sumachead.BootID

	mu       sync.Mutex // guards the fields below
	revision uint64
	// trials are by the service; those that have ended are not kept.
	trials map[string]*trial
	// open counts requests under way.
	open map[versionOf]int64
}

// versionOf names a version of a service.
type versionOf struct{ service, version string }

// answeredBy names what answers are counted by.
type answeredBy struct{ route, server string }

// trial is what a router knows of one order.
type trial struct {
	order    uint64
	target   string
	phase    wire.RolloutPhase
	replaced []string
	// deadline is the order's, by this host.
	deadline sumachead.BootTime
	// number is that of the newest report, and dueAt when the next one is due; asking while
	// one is under way.
	number uint64
	dueAt  sumachead.BootTime
	asking bool

	reached, granted, lapsed int64
	grants                   []grant
	// scarce are routes whose requests go first, and withheld those of which none goes; resting
	// are those of which the last request went to the target version.
	scarce, withheld []string
	resting          map[string]bool
	arrivals         map[string]int64
	answers          map[answeredBy]*tally
	ended            map[string]bool
}

// grant allows requests to be sent to the target version until a time: those of scarce routes at
// once, and others from a time on.
type grant struct {
	left           int64
	anyFrom, until sumachead.BootTime
}

// Follow takes in all roll-outs. Nothing that is known goes back.
func (s *Sampler) Follow(r *wire.Rollouts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.GetRevision() <= s.revision {
		return
	}
	s.revision = r.GetRevision()
	if s.trials == nil {
		s.trials = make(map[string]*trial)
	}
	for _, x := range r.GetRollouts() {
		s.follow(x)
	}
}

// follow takes in one roll-out. The caller holds mu.
func (s *Sampler) follow(r *wire.Rollout) {
	if Ended(r) {
		delete(s.trials, r.GetService())
		return
	}
	t := s.trials[r.GetService()]
	if t == nil || t.order != r.GetOrder() {
		age := time.Duration(r.GetAgeMillis()) * time.Millisecond
		t = &trial{
			order: r.GetOrder(), target: r.GetTarget(), deadline: s.Clock.Now().Add(lasts(r) - age),
			resting: make(map[string]bool), arrivals: make(map[string]int64), answers: make(map[answeredBy]*tally), ended: make(map[string]bool),
		}
		s.trials[r.GetService()] = t
	}
	t.phase, t.replaced = r.GetPhase(), r.GetReplaced()
	t.dueAt = 0 // what has changed is to be told that it is known
}

// Revision returns that of the newest roll-outs that were taken in.
func (s *Sampler) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Draw counts a request of a route that is about to be sent to a server, and reports whether
// it is to go to one of the target version; nearly always there is no order, and it is not.
func (s *Sampler) Draw(service, route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trials[service]
	if t == nil {
		return false
	}
	t.arrivals[route]++
	now := s.Clock.Now()
	t.expire(now)
	drawn := t.phase == wire.RolloutPhase_ROLLOUT_PHASE_TRIAL && !t.resting[route] && !slices.Contains(t.withheld, route) && t.spend(route, now)
	// Callers whose request was a sample and who try again here meet another version.
	t.resting[route] = drawn
	return drawn
}

// spend takes one of the grants for a request of a route, if there is one.
func (t *trial) spend(route string, now sumachead.BootTime) bool {
	first := len(t.scarce) == 0 || slices.Contains(t.scarce, route)
	for i := range t.grants {
		if g := &t.grants[i]; g.left > 0 && (first || now >= g.anyFrom) {
			g.left--
			return true
		}
	}
	return false
}

// Undo gives back what Draw has taken for a request that was not sent to the target version.
func (s *Sampler) Undo(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.trials[service]; t != nil {
		t.lapsed++
	}
}

// expire lets grants lapse whose time is over.
func (t *trial) expire(now sumachead.BootTime) {
	t.grants = slices.DeleteFunc(t.grants, func(g grant) bool {
		over := now >= g.until
		if over {
			t.lapsed += g.left
		}
		return over || g.left == 0
	})
}

// Overdue reports whether the deadline of a service's order has passed while this router knows
// of no end: it may be cut off from all that could tell it.
func (s *Sampler) Overdue(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trials[service]
	return t != nil && s.Clock.Now() >= t.deadline
}

// Begin counts a request that may now be sent to a server of a version, until end is called.
func (s *Sampler) Begin(service, version string) (end func()) {
	v := versionOf{service, version}
	s.count(v, 1)
	return func() { s.count(v, -1) }
}

func (s *Sampler) count(v versionOf, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[versionOf]int64)
	}
	s.open[v] += n
	if s.open[v] == 0 {
		delete(s.open, v)
	}
}

// Sample is what became of a request that reached a server.
type Sample struct {
	Service, Route string
	// Server and Version are the server's.
	Server, Version string
	// Counts: the server has answered, or should have.
	Counts bool
	// Failed: it answered with a failure of its own, or not as it should.
	Failed bool
	// Ended: the server has ended under it.
	Ended bool
	// First is the time until the answer began, and Pace that between its events; 0 for none.
	First, Pace time.Duration
}

// Note takes in what became of a request that reached a server.
func (s *Sampler) Note(x Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trials[x.Service]
	if t == nil {
		return
	}
	t.reached++
	by := answeredBy{route: x.Route}
	if x.Version == t.target {
		by.server = x.Server
	}
	switch {
	case x.Ended && by.server != "":
		t.ended[by.server] = true
	case x.Counts:
		t.note(by, x)
	}
	if x.Failed && by.server != "" {
		t.dueAt = 0 // bad news are told at once
	}
}

// note counts an answer.
func (t *trial) note(by answeredBy, x Sample) {
	a := t.answers[by]
	if a == nil {
		a = &tally{}
		t.answers[by] = a
	}
	a.answers++
	switch {
	case x.Failed:
		a.failed++
		return
	case x.First > 0:
		a.first.add(x.First)
	}
	if x.Pace > 0 {
		a.pace.add(x.Pace)
	}
}

// Due returns the reports that are due; each is under way until Take is called for it.
func (s *Sampler) Due() []*wire.RolloutReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.RolloutReport
	now := s.Clock.Now()
	for service, t := range s.trials {
		if t.asking || now < t.dueAt {
			continue
		}
		t.asking = true
		t.expire(now)
		out = append(out, s.report(service, t))
	}
	return out
}

// report returns a report and begins to count arrivals anew. The caller holds mu.
func (s *Sampler) report(service string, t *trial) *wire.RolloutReport {
	t.number++
	r := &wire.RolloutReport{
		Node: string(s.Node), Boot: string(s.Boot), Number: t.number, Service: service, Order: t.order, Revision: s.revision,
		Reached: t.reached, Granted: t.granted, Lapsed: t.lapsed,
	}
	for _, route := range slices.Sorted(maps.Keys(t.arrivals)) {
		r.Arrivals = append(r.Arrivals, &wire.RolloutArrivals{Route: route, Requests: t.arrivals[route]})
	}
	clear(t.arrivals)
	for by, a := range t.answers {
		r.Answers = append(r.Answers, &wire.RolloutAnswers{
			Route: by.route, Server: by.server, Answers: a.answers, Failed: a.failed, First: a.first.encode(), Pace: a.pace.encode(),
		})
	}
	for id := range t.ended {
		r.Answers = append(r.Answers, &wire.RolloutAnswers{Server: id, Ended: true})
	}
	slices.SortFunc(r.Answers, func(a, b *wire.RolloutAnswers) int {
		return cmp.Or(cmp.Compare(a.GetRoute(), b.GetRoute()), cmp.Compare(a.GetServer(), b.GetServer()))
	})
	for _, v := range t.replaced {
		r.OpenReplaced += s.open[versionOf{service, v}]
	}
	return r
}

// Take takes in the answer to a report that was made at a time, nil for none. It must be that
// of the newest report.
func (s *Sampler) Take(r *wire.RolloutReport, g *wire.RolloutGrants, madeAt sumachead.BootTime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trials[r.GetService()]
	if t == nil || t.order != r.GetOrder() {
		return
	}
	t.asking = false
	t.dueAt = madeAt.Add(max(time.Duration(g.GetAgainMillis())*time.Millisecond, reportEvery))
	if g == nil {
		return
	}
	t.scarce, t.withheld = g.GetScarce(), g.GetWithheld()
	t.granted += g.GetRequests()
	if g.GetRequests() > 0 {
		valid := time.Duration(g.GetValidMillis()) * time.Millisecond
		t.grants = append(t.grants, grant{g.GetRequests(), madeAt.Add(valid / 2), madeAt.Add(valid)})
	}
}

// Going reports whether a service is rolled out.
func (s *Sampler) Going(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trials[service] != nil
}
