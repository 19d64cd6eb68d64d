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

// Sampler is the part of rollouts that runs in a router. It is safe for concurrent use. Set the
// exported fields before the first call.
type Sampler struct {
	Clock sumachead.Clock
	Node  sumachead.NodeID
	// Boot identifies this incarnation of the router.
	Boot sumachead.BootID

	mu       sync.Mutex // guards the fields below
	revision uint64
	// orders are the orders in progress, keyed by service.
	orders map[string]*activeOrder
	// open counts requests in flight.
	open map[serviceVersion]int64
}

// serviceVersion identifies a version of a service.
type serviceVersion struct{ service, version string }

// outcomeKey is the key by which outcomes are counted.
type outcomeKey struct{ route, server string }

// activeOrder is what a router knows of one order in progress.
type activeOrder struct {
	order    uint64
	target   string
	phase    wire.RolloutPhase
	replaced []string
	// deadline is the order's deadline by the clock of this host.
	deadline sumachead.BootTime
	// number is the number of the newest report, and dueAt when the next one is due; reportPending is
	// set while a report has no reply.
	number        uint64
	dueAt         sumachead.BootTime
	reportPending bool

	reached, granted, lapsed int64
	grants                   []grant
	// scarce are routes whose requests are sampled first, withheld those whose requests are never
	// sampled, and skipNext those whose last request was sampled.
	scarce, withheld []string
	skipNext         map[string]bool
	arrivals         map[string]int64
	outcomes         map[outcomeKey]*outcomes
	crashed          map[string]bool
}

// grant allows requests to be sent to the target version until expiresAt: those of scarce routes at
// once, others from anyFrom on.
type grant struct {
	remaining          int64
	anyFrom, expiresAt sumachead.BootTime
}

// Update updates the sampler to a newer state of all rollouts; older states are ignored.
func (s *Sampler) Update(r *wire.Rollouts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.GetRevision() <= s.revision {
		return
	}
	s.revision = r.GetRevision()
	if s.orders == nil {
		s.orders = make(map[string]*activeOrder)
	}
	for _, x := range r.GetRollouts() {
		s.updateOrder(x)
	}
}

// updateOrder updates one order to the state of its rollout. The caller holds mu.
func (s *Sampler) updateOrder(r *wire.Rollout) {
	if Ended(r) {
		delete(s.orders, r.GetService())
		return
	}
	t := s.orders[r.GetService()]
	if t == nil || t.order != r.GetOrder() {
		age := time.Duration(r.GetAgeMillis()) * time.Millisecond
		t = &activeOrder{
			order: r.GetOrder(), target: r.GetTarget(), deadline: s.Clock.Now().Add(orderDuration(r) - age),
			skipNext: make(map[string]bool), arrivals: make(map[string]int64), outcomes: make(map[outcomeKey]*outcomes), crashed: make(map[string]bool),
		}
		s.orders[r.GetService()] = t
	}
	t.phase, t.replaced = r.GetPhase(), r.GetReplaced()
	t.dueAt = 0 // report that the change is known
}

// Revision returns the revision of the newest known state.
func (s *Sampler) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// SampleRequest counts a request that is about to be sent to a server, and reports whether it is
// sampled, that is, should go to a server of the target version. Without an order in progress it
// never is.
func (s *Sampler) SampleRequest(service, route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.orders[service]
	if t == nil {
		return false
	}
	t.arrivals[route]++
	now := s.Clock.Now()
	t.expire(now)
	sampled := t.phase == wire.RolloutPhase_ROLLOUT_PHASE_TRIAL && !t.skipNext[route] && !slices.Contains(t.withheld, route) && t.spendGrant(route, now)
	// A caller whose sampled request failed and who retries here gets another version.
	t.skipNext[route] = sampled
	return sampled
}

// SampleResumed reports whether a stream that began at a version may be resumed there now: the
// version is the target of an order whose canary requests are limited, and there is a grant for one
// more.
func (s *Sampler) SampleResumed(service, route, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.orders[service]
	if t == nil || t.target != version || t.phase != wire.RolloutPhase_ROLLOUT_PHASE_TRIAL {
		return false
	}
	now := s.Clock.Now()
	t.expire(now)
	return t.spendGrant(route, now)
}

// spendGrant takes one request out of the grants, if one is available for the route.
func (t *activeOrder) spendGrant(route string, now sumachead.BootTime) bool {
	first := len(t.scarce) == 0 || slices.Contains(t.scarce, route)
	for i := range t.grants {
		if g := &t.grants[i]; g.remaining > 0 && (first || now >= g.anyFrom) {
			g.remaining--
			return true
		}
	}
	return false
}

// CancelSample gives back the grant that SampleRequest has spent for a request that was not sent to
// the target version.
func (s *Sampler) CancelSample(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.orders[service]; t != nil {
		t.lapsed++
	}
}

// expire removes expired grants and counts their requests as lapsed.
func (t *activeOrder) expire(now sumachead.BootTime) {
	t.grants = slices.DeleteFunc(t.grants, func(g grant) bool {
		expired := now >= g.expiresAt
		if expired {
			t.lapsed += g.remaining
		}
		return expired || g.remaining == 0
	})
}

// Overdue reports whether the deadline of a service's order has passed without this router knowing
// its result: the router may be partitioned.
func (s *Sampler) Overdue(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.orders[service]
	return t != nil && s.Clock.Now() >= t.deadline
}

// BeginRequest counts a request as in flight at a version until end is called.
func (s *Sampler) BeginRequest(service, version string) (end func()) {
	v := serviceVersion{service, version}
	s.addOpen(v, 1)
	return func() { s.addOpen(v, -1) }
}

func (s *Sampler) addOpen(v serviceVersion, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[serviceVersion]int64)
	}
	s.open[v] += n
	if s.open[v] == 0 {
		delete(s.open, v)
	}
}

// Outcome is the outcome of a request that reached a server.
type Outcome struct {
	Service, Route string
	// Server and Version are the ID and the version of the server.
	Server, Version string
	// Counts: the server has responded, or should have.
	Counts bool
	// Failed: it responded with an error of its own, or with an invalid response.
	Failed bool
	// Crashed: the server crashed while running the request.
	Crashed bool
	// FirstEvent is the time until the response began, and EventGap the mean time between its events;
	// 0 for none.
	FirstEvent, EventGap time.Duration
}

// Record records the outcome of a request that reached a server.
func (s *Sampler) Record(x Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.orders[x.Service]
	if t == nil {
		return
	}
	t.reached++
	by := outcomeKey{route: x.Route}
	if x.Version == t.target {
		by.server = x.Server
	}
	switch {
	case x.Crashed && by.server != "":
		t.crashed[by.server] = true
	case x.Counts:
		t.record(by, x)
	}
	if x.Failed && by.server != "" {
		t.dueAt = 0 // report failures at once
	}
}

// record counts a response.
func (t *activeOrder) record(by outcomeKey, x Outcome) {
	a := t.outcomes[by]
	if a == nil {
		a = &outcomes{}
		t.outcomes[by] = a
	}
	a.responses++
	switch {
	case x.Failed:
		a.failed++
		return
	case x.FirstEvent > 0:
		a.firstEvents.add(x.FirstEvent)
	}
	if x.EventGap > 0 {
		a.gaps.add(x.EventGap)
	}
}

// DueReports returns the reports that are due; each is pending until HandleReply is called for it.
func (s *Sampler) DueReports() []*wire.RolloutReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.RolloutReport
	now := s.Clock.Now()
	for service, t := range s.orders {
		if t.reportPending || now < t.dueAt {
			continue
		}
		t.reportPending = true
		t.expire(now)
		out = append(out, s.report(service, t))
	}
	return out
}

// report returns a report and resets the counts of arrivals. The caller holds mu.
func (s *Sampler) report(service string, t *activeOrder) *wire.RolloutReport {
	t.number++
	r := &wire.RolloutReport{
		Node: string(s.Node), Boot: string(s.Boot), Number: t.number, Service: service, Order: t.order, Revision: s.revision,
		Reached: t.reached, Granted: t.granted, Lapsed: t.lapsed,
	}
	for _, route := range slices.Sorted(maps.Keys(t.arrivals)) {
		r.Arrivals = append(r.Arrivals, &wire.RolloutArrivals{Route: route, Requests: t.arrivals[route]})
	}
	clear(t.arrivals)
	for by, a := range t.outcomes {
		r.Answers = append(r.Answers, &wire.RolloutAnswers{
			Route: by.route, Server: by.server, Answers: a.responses, Failed: a.failed, First: a.firstEvents.encode(), Pace: a.gaps.encode(),
		})
	}
	for id := range t.crashed {
		r.Answers = append(r.Answers, &wire.RolloutAnswers{Server: id, Ended: true})
	}
	slices.SortFunc(r.Answers, func(a, b *wire.RolloutAnswers) int {
		return cmp.Or(cmp.Compare(a.GetRoute(), b.GetRoute()), cmp.Compare(a.GetServer(), b.GetServer()))
	})
	for _, v := range t.replaced {
		r.OpenReplaced += s.open[serviceVersion{service, v}]
	}
	return r
}

// HandleReply processes the reply to the newest report, which was made at a time; nil if there was no
// reply.
func (s *Sampler) HandleReply(r *wire.RolloutReport, g *wire.RolloutGrants, madeAt sumachead.BootTime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.orders[r.GetService()]
	if t == nil || t.order != r.GetOrder() {
		return
	}
	t.reportPending = false
	t.dueAt = madeAt.Add(max(time.Duration(g.GetAgainMillis())*time.Millisecond, minReportInterval))
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

// InProgress reports whether a rollout of a service is in progress.
func (s *Sampler) InProgress(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[service] != nil
}
