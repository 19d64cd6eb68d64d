package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// fakeClock is a clock whose time the test sets.
type fakeClock struct{ now sumachead.BootTime }

func (c *fakeClock) Now() sumachead.BootTime { return c.now }

// simulatedRoute describes the requests of one route.
type simulatedRoute struct {
	name          string
	perSecond     float64
	notIdempotent bool
	// failureShare is the share of requests that servers of any version fail.
	failureShare float64
	// median is the approximate median of the response time.
	median time.Duration
}

// defect describes what is wrong with a version.
type defect struct {
	// share is the share of its responses that fail, or that take slowdown times as long.
	share    float64
	slowdown float64
	// after is how long after the order the defect begins; route is the only one affected, empty for
	// all; underLoad restricts the defect to servers with about the load of the baseline's servers.
	after     time.Duration
	route     string
	underLoad bool
}

// faults are the faults that are injected during a rollout.
type faults struct {
	// lost is the share of messages that are lost in either direction, duplicated or delayed.
	lost float64
	// partitions: routers are partitioned for seconds; restarts: routers are restarted.
	partitions, restarts bool
	// leaderChanges: the leader changes every second or so.
	leaderChanges bool
	// flakyServers is how many servers of the target version fail half of their requests, whatever the
	// defect of the version.
	flakyServers int
}

// simulation is a fleet that rolls out a service, with a simulated clock.
type simulation struct {
	rand     *rand.Rand
	clock    *fakeClock
	routes   []simulatedRoute
	servers  int
	duration time.Duration
	defect   defect
	faults   faults
	bounds   Bounds

	store      *Store
	controller *Controller
	targets    []*wire.ServerRecord
	routers    []*simulatedRouter

	reached, exposed int64
	badResponses     int64
	fiftiethAt       time.Duration
	// lateExposed is how many requests were sampled long after the 50th bad response.
	lateExposed int64
	// overcounted is by how much the leader's count of arrived requests exceeded the actual one.
	overcounted int64
	// delayed are reports that will arrive after newer ones.
	delayed   []*wire.RolloutReport
	perServer map[string][]time.Duration
	// endedAfter is the time from the order to the last decision of the leader.
	endedAfter time.Duration
}

// simulatedRouter is one router.
type simulatedRouter struct {
	*Sampler
	partitionedUntil sumachead.BootTime
	incarnation      int
}

const (
	tick = 10 * time.Millisecond
	// rollbackTimeout is the time after the 50th bad response from which on nothing may be sent to a
	// version.
	rollbackTimeout = 5 * time.Second
)

// newSimulation returns a simulation with an order that has just started.
func newSimulation(seed uint64, routers, servers int, lasts time.Duration, routes []simulatedRoute) *simulation {
	p := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), clock: &fakeClock{now: sumachead.BootTime(time.Hour)}, routes: routes, servers: servers,
		duration: lasts, bounds: Bounds{Share: 0.1, Slack: 50}, perServer: make(map[string][]time.Duration),
	}
	p.store = &Store{Clock: p.clock}
	p.store.StartReplay()
	p.clock.now = p.clock.now.Add(2 * replayTimeout)
	p.store.Start(&wire.RolloutOrder{Service: "s", Target: "v2", DeadlineUnixMillis: lasts.Milliseconds()})
	for i := range servers {
		p.targets = append(p.targets, &wire.ServerRecord{Id: fmt.Sprintf("new-%d", i), Service: "s", Software: "v2"})
	}
	for i := range routers {
		p.routers = append(p.routers, p.newRouter(i, 0))
	}
	p.changeLeader()
	return p
}

func (p *simulation) newRouter(i, n int) *simulatedRouter {
	r := &simulatedRouter{Sampler: &Sampler{
		Clock: p.clock, Node: sumachead.NodeID(fmt.Sprintf("router-%d", i)), Boot: sumachead.BootID(fmt.Sprint(n)),
	}, incarnation: n}
	r.Update(p.store.SnapshotWithAges())
	return r
}

// changeLeader replaces the leader by a new one, which knows only the replicated state.
func (p *simulation) changeLeader() {
	r := p.store.Get("s")
	ordered, deadline := p.store.Times("s")
	p.controller = &Controller{
		Service: "s", Order: r.GetOrder(), OrderedAt: ordered, Deadline: deadline, MaxRequestTime: 2 * time.Second, Bounds: p.bounds,
		Exposure: NewExposure(r),
	}
}

// sinceOrder returns the time since the order.
func (p *simulation) sinceOrder() time.Duration { return p.clock.now.Sub(p.controller.OrderedAt) }

// run runs the simulation until a second after the deadline and returns the last phase.
func (p *simulation) run() wire.RolloutPhase {
	for p.sinceOrder() < p.duration+time.Second {
		p.clock.now = p.clock.now.Add(tick)
		p.injectFaults()
		for _, r := range p.routers {
			p.serve(r)
		}
		if p.sinceOrder()%(50*time.Millisecond) == 0 {
			for _, r := range p.routers {
				p.exchange(r)
			}
		}
		if p.sinceOrder()%controllerInterval == 0 {
			p.step()
		}
	}
	return p.store.Get("s").GetPhase()
}

const controllerInterval = 100 * time.Millisecond

// injectFaults injects random faults.
func (p *simulation) injectFaults() {
	const second = float64(time.Second / tick)
	if p.faults.leaderChanges && p.rand.Float64()*second < 1 {
		p.changeLeader()
	}
	for i, r := range p.routers {
		if p.faults.partitions && p.rand.Float64()*second*8 < 1 {
			r.partitionedUntil = p.clock.now.Add(time.Duration(1+p.rand.IntN(8)) * time.Second)
		}
		if p.faults.restarts && p.rand.Float64()*second*8 < 1 {
			p.routers[i] = p.newRouter(i, r.incarnation+1)
			p.routers[i].partitionedUntil = r.partitionedUntil
		}
	}
}

// serve sends the requests of one tick to a router.
func (p *simulation) serve(r *simulatedRouter) {
	for _, x := range p.routes {
		mean := x.perSecond * tick.Seconds() / float64(len(p.routers))
		for mean > 0 && p.rand.Float64() < mean {
			mean--
			p.request(r, x)
		}
	}
}

// request simulates one request.
func (p *simulation) request(r *simulatedRouter, x simulatedRoute) {
	p.reached++
	s := Outcome{Service: "s", Route: x.name, Version: "v1", Server: "old", Counts: true, FirstEvent: p.randLatency(x)}
	s.Failed = p.rand.Float64() < x.failureShare
	if r.SampleRequest("s", x.name) {
		few := CanaryServers(p.targets, func(*wire.ServerRecord) bool { return true })
		s.Server, s.Version = few[p.rand.IntN(len(few))].GetId(), "v2"
		p.serveCanary(&s, x)
	}
	r.Record(s)
}

// serveCanary simulates a request at the target version.
func (p *simulation) serveCanary(s *Outcome, x simulatedRoute) {
	p.exposed++
	if p.fiftiethAt > 0 && p.sinceOrder() > p.fiftiethAt+rollbackTimeout {
		p.lateExposed++
	}
	if p.isDefective(s, x) && p.rand.Float64() < p.defect.share {
		p.badResponses++
		if p.badResponses == 50 {
			p.fiftiethAt = p.sinceOrder()
		}
		if p.defect.slowdown > 0 {
			s.FirstEvent = time.Duration(float64(s.FirstEvent) * p.defect.slowdown)
		} else {
			s.Failed = true
		}
	}
	for i := range p.faults.flakyServers {
		few := CanaryServers(p.targets, func(*wire.ServerRecord) bool { return true })
		if s.Server == few[i].GetId() {
			s.Failed = s.Failed || p.rand.IntN(2) == 0
		}
	}
}

// isDefective reports whether the defect of the version may affect a request.
func (p *simulation) isDefective(s *Outcome, x simulatedRoute) bool {
	now := p.sinceOrder()
	recent := p.perServer[s.Server]
	for len(recent) > 0 && now-recent[0] > time.Second {
		recent = recent[1:]
	}
	p.perServer[s.Server] = append(recent, now)
	total := 0.0
	for _, y := range p.routes {
		total += y.perSecond
	}
	// Somewhat below the average load of a server, since arrivals vary.
	const loadFactor = 0.6
	loaded := float64(len(recent)) >= loadFactor*total/float64(p.servers)
	return now >= p.defect.after && (p.defect.route == "" || p.defect.route == x.name) && (!p.defect.underLoad || loaded)
}

// randLatency returns a random response time; some are three times as long as others.
func (p *simulation) randLatency(x simulatedRoute) time.Duration {
	return time.Duration(float64(x.median) * (0.6 + p.rand.ExpFloat64()*0.5))
}

// exchange has a router send its reports and receive the state and the replies, unless messages are
// lost.
func (p *simulation) exchange(r *simulatedRouter) {
	if p.clock.now < r.partitionedUntil {
		for _, x := range r.DueReports() {
			r.HandleReply(x, nil, p.clock.now)
		}
		return
	}
	r.Update(p.store.SnapshotWithAges())
	madeAt := p.clock.now
	for _, x := range r.DueReports() {
		var g *wire.RolloutGrants
		if p.rand.Float64() >= p.faults.lost {
			g = p.reply(x)
			if p.rand.Float64() < p.faults.lost {
				p.reply(x) // a duplicate of the report, over another path
				p.delayed = append(p.delayed, proto.CloneOf(x))
			}
			if p.rand.Float64() < p.faults.lost {
				g = nil
			}
		}
		r.HandleReply(x, g, madeAt)
	}
}

// reply returns the leader's reply to a report, of which it gets a copy, as over a network.
func (p *simulation) reply(x *wire.RolloutReport) *wire.RolloutGrants {
	if Ended(p.store.Get("s")) {
		return nil
	}
	reply, stale := p.controller.HandleReport(proto.CloneOf(x), p.store.Get("s"))
	if reply != nil || stale {
		return reply
	}
	notIdempotent := func(route string) bool {
		for _, y := range p.routes {
			if y.name == route {
				return y.notIdempotent
			}
		}
		return false
	}
	return p.controller.GrantRequests(x, notIdempotent, len(p.routers), p.clock.now)
}

// step has the leader process delayed reports and commit the next step or allowance.
func (p *simulation) step() {
	r := p.store.Get("s")
	if Ended(r) {
		return
	}
	f := &ServiceState{TargetSlots: uint32(p.servers), OtherSlots: uint32(p.servers), ReplacedVersions: []string{"v1"}, Complete: true}
	for _, x := range p.routers {
		f.Routers = append(f.Routers, string(x.Node))
	}
	for len(p.delayed) > 0 && p.rand.IntN(2) == 0 {
		p.reply(p.delayed[0]) // its router has sent a newer report and ignores the reply
		p.delayed = p.delayed[1:]
	}
	p.overcounted = max(p.overcounted, p.controller.Exposure.Reached()-p.reached)
	p.controller.Exposure.SetCommitted(r.GetAllowed())
	if s := p.controller.NextStep(r, f, p.clock.now); s != nil {
		p.store.Advance(s)
		p.endedAfter = p.sinceOrder()
		return
	}
	if allowed, ok := p.controller.Exposure.NextAllowance(p.bounds, p.controller.TrialProgress(p.clock.now)); ok && r.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_TRIAL {
		p.store.RaiseAllowance(&wire.RolloutAllowance{Service: "s", Order: r.GetOrder(), Allowed: allowed, Reached: p.controller.Exposure.Reached()})
	}
}

// The simulated services: engines with many requests, an application with few, and a service with a
// rare route.
var (
	engineRoutes = []simulatedRoute{
		{name: "summary", perSecond: 125, median: 200 * time.Millisecond},
		{name: "question", perSecond: 150, median: 60 * time.Millisecond},
	}
	appRoutes = []simulatedRoute{
		{name: "order", perSecond: 53, notIdempotent: true, failureShare: 0.01, median: 60 * time.Millisecond},
		{name: "lookup", perSecond: 37, failureShare: 0.01, median: 60 * time.Millisecond},
	}
	rareRoutes = []simulatedRoute{
		{name: "often", perSecond: 40, median: 60 * time.Millisecond},
		{name: "rare", perSecond: 1, median: 60 * time.Millisecond},
	}
)

// Lost, duplicated and delayed messages, partitions, restarts and leader changes must not raise the
// exposure: requests sent to the target version never exceed the committed allowance nor the bounds
// for the requests that arrived until then, and none is sent long after the 50th bad response, not
// even by a partitioned router.
func TestExposureIsBounded(t *testing.T) {
	tests := []struct {
		name    string
		trouble faults
	}{
		{"calm", faults{}},
		{"messages are lost and duplicated", faults{lost: 0.3}},
		{"routers are partitioned", faults{partitions: true, lost: 0.1}},
		{"routers are restarted", faults{restarts: true, lost: 0.1}},
		{"the leader changes", faults{leaderChanges: true, lost: 0.1}},
		{"all faults", faults{leaderChanges: true, restarts: true, partitions: true, lost: 0.3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				for _, share := range []float64{0, 0.02, 0.1, 1} {
					p := newSimulation(seed, 23, 45, 12*time.Second, engineRoutes)
					p.faults, p.defect.share = tt.trouble, share
					p.checkExposure(t, seed)
				}
			}
		})
	}
}

// checkExposure runs the simulation and checks the bounds on the exposure.
func (p *simulation) checkExposure(t *testing.T, seed uint64) {
	t.Helper()
	phase := p.run()
	if limit := p.bounds.Share*float64(p.reached) + p.bounds.Slack; float64(p.exposed) > limit {
		t.Errorf("seed %d, share %v: %d of %d requests went to the target version on trial, want at most %v", seed, p.defect.share, p.exposed, p.reached, limit)
	}
	if p.lateExposed > 0 {
		t.Errorf("seed %d: %d requests went to a bad version long after its 50th bad response", seed, p.lateExposed)
	}
	if p.defect.share == 1 && phase != wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK {
		t.Errorf("seed %d: the rollout of a version that fails everything ended as %v", seed, phase)
	}
	if p.overcounted > 0 {
		t.Errorf("seed %d: %d requests were counted that never arrived", seed, p.overcounted)
	}
	if allowed := p.store.Get("s").GetAllowed(); p.exposed > allowed {
		t.Errorf("seed %d: %d requests were sent, %d are committed", seed, p.exposed, allowed)
	}
}
