package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/loop"
	"sumachead/internal/rollout"
)

// A service is rolled out to another version by order. Orders and their phases are part of the
// log, and so is what may be sent to a version on trial before it may be granted. What routers
// tell of answers is kept by the leader alone: routers tell totals, so that a new leader has all
// of it again with their next reports.

const (
	// watchEvery is how often the leader looks at roll-outs: a commit and some calls, far
	// below the seconds within which a bad version has to be left.
	watchEvery = 100 * time.Millisecond
	// repeatWithin is for how long a repeated order is taken for a copy of the one before:
	// longer than operators send it again, so that a late copy begins nothing anew.
	repeatWithin = 15 * time.Second
	// longestRollout bounds the time of an order.
	longestRollout = 30 * 24 * time.Hour
	// longestVersion bounds the name of a version.
	longestVersion = 256
)

// usualExposure bounds what a bad version gets where nothing else is set.
var usualExposure = rollout.Bounds{Share: 0.1, Slack: 20}

// orderRollout takes an order, unless another one came first or the service is unknown. The
// caller holds mu.
func (m *Machine) orderRollout(o *wire.RolloutOrder) *wire.RolloutReply {
	if !slices.ContainsFunc(m.declaration.GetCatalog().GetServices(), func(s *wire.Service) bool { return s.GetName() == o.GetService() }) {
		return &wire.RolloutReply{Unknown: true}
	}
	reply := m.rollouts.Start(o)
	m.notify()
	return reply
}

// Rollouts returns the newest roll-outs of all services with their ages.
func (m *Machine) Rollouts() *wire.Rollouts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rollouts.SnapshotWithAges()
}

// RolloutsRevision returns the revision of the newest change of a roll-out.
func (m *Machine) RolloutsRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rollouts.Revision()
}

// CountRollouts counts the roll-outs in a phase.
func (m *Machine) CountRollouts(p wire.RolloutPhase) int {
	n := 0
	for _, r := range m.Rollouts().GetRollouts() {
		if r.GetPhase() == p {
			n++
		}
	}
	return n
}

// going returns the roll-outs that go on, with a new watch of each.
func (m *Machine) going(b rollout.Bounds) []*rollout.Controller {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*rollout.Controller
	for _, r := range m.rollouts.Snapshot().GetRollouts() {
		if rollout.Ended(r) {
			continue
		}
		w := &rollout.Controller{Service: r.GetService(), Order: r.GetOrder(), Bounds: b, Exposure: rollout.NewExposure(r)}
		w.OrderedAt, w.Deadline = m.rollouts.Times(r.GetService())
		w.MaxRequestTime = longestRequest(m.declaration.GetCatalog(), r.GetService())
		out = append(out, w)
	}
	return out
}

// rolloutOf returns the newest roll-out of a service; nil for none. It must not be changed.
func (m *Machine) rolloutOf(service string) *wire.Rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rollouts.Get(service)
}

// routesOf calls f for each route that has a share at a service.
func routesOf(c *wire.Catalog, service string, f func(*wire.Route)) {
	for _, r := range c.GetRoutes() {
		if slices.ContainsFunc(r.GetShares(), func(s *wire.ServiceShare) bool { return s.GetService() == service }) {
			f(r)
		}
	}
}

// longestRequest returns how long a request of a service may take.
func longestRequest(c *wire.Catalog, service string) time.Duration {
	var most int64
	routesOf(c, service, func(r *wire.Route) { most = max(most, r.GetTimeoutMillis()) })
	return time.Duration(most) * time.Millisecond
}

// runsOnce reports whether requests of a route may run only once.
func runsOnce(c *wire.Catalog, service, route string) bool {
	once := false
	routesOf(c, service, func(r *wire.Route) {
		once = once || r.GetName() == route && (r.GetKind() == wire.RouteKind_ROUTE_KIND_SINGLE ||
			r.GetKind() == wire.RouteKind_ROUTE_KIND_STREAM && !r.GetResumable())
	})
	return once
}

// Rollouts returns the newest roll-outs; the answer is linearizable.
func (s *service) Rollouts(_ *wire.Empty, reply *wire.Rollouts) error {
	if err := s.keeper.leading(); err != nil {
		return err
	}
	proto.Merge(reply, s.keeper.machine.Rollouts())
	return nil
}

// OrderRollout commits an order.
func (s *service) OrderRollout(o *wire.RolloutOrder, reply *wire.RolloutReply) error {
	result, err := s.keeper.propose(&wire.FleetCommand{Command: &wire.FleetCommand_Rollout{Rollout: o}})
	if err != nil {
		return err
	}
	proto.Merge(reply, result.(*wire.RolloutReply))
	return nil
}

// Sample takes in what a router tells of a service that is rolled out, and grants it requests
// to the target version. A report of an order that goes on no more is answered with nothing.
func (s *service) Sample(r *wire.RolloutReport, reply *wire.RolloutGrants) error {
	k := s.keeper
	if err := k.leading(); err != nil {
		return err
	}
	k.watches.mu.Lock()
	defer k.watches.mu.Unlock()
	k.watchGoing()
	w := k.watches.of[r.GetService()]
	if w == nil || w.Order != r.GetOrder() {
		return nil
	}
	answered, stale := w.HandleReport(r, k.machine.rolloutOf(r.GetService()))
	if answered == nil && !stale {
		d, _ := k.machine.Declaration()
		once := func(route string) bool { return runsOnce(d.GetCatalog(), r.GetService(), route) }
		answered = w.GrantRequests(r, once, k.followers.count(RoleRouter), boottime.Clock{}.Now())
	}
	proto.Merge(reply, answered)
	return nil
}

// watches are what a leading keeper knows of roll-outs that go on.
type watches struct {
	mu sync.Mutex // guards the fields below
	// history is that of the leader whose watches they are.
	history string
	// revision is that of the roll-outs when they were last looked for.
	revision uint64
	of       map[string]*rollout.Controller
}

// watchGoing begins to watch the orders that are new to this leader, and ends to watch those
// that go on no more. The caller holds watches.mu.
func (k *Keeper) watchGoing() {
	w := &k.watches
	history, revision := k.history(), k.machine.RolloutsRevision()
	if w.history == history && w.revision == revision {
		return
	}
	of := make(map[string]*rollout.Controller)
	for _, x := range k.machine.going(k.exposure()) {
		if old := w.of[x.Service]; old != nil && old.Order == x.Order && w.history == history {
			x = old
		}
		of[x.Service] = x
	}
	w.history, w.revision, w.of = history, revision, of
}

// exposure returns the bounds of what a bad version gets.
func (k *Keeper) exposure() rollout.Bounds {
	return cmp.Or(k.Exposure, usualExposure)
}

// rolloutsLoop watches the roll-outs where this keeper leads.
func (k *Keeper) rolloutsLoop(ctx context.Context) error {
	return loop.Every(ctx, watchEvery, func() {
		if !k.node.Leading() || k.machine.RolloutsRevision() == 0 || k.leading() != nil {
			return
		}
		for _, c := range k.rolloutChanges() {
			if _, err := k.propose(c); err != nil {
				// The next look finds it again.
				k.lines.Info(k.Log, "A change of a roll-out was not committed.", "error", err)
			}
		}
	})
}

// rolloutChanges returns what is to be committed of the roll-outs that go on.
func (k *Keeper) rolloutChanges() []*wire.FleetCommand {
	k.watches.mu.Lock()
	defer k.watches.mu.Unlock()
	k.watchGoing()
	now := boottime.Clock{}.Now()
	var out []*wire.FleetCommand
	for _, w := range k.watches.of {
		r := k.machine.rolloutOf(w.Service)
		w.Exposure.SetCommitted(r.GetAllowed())
		if step := w.NextStep(r, k.fleetFor(r), now); step != nil {
			k.Log.Info("A roll-out goes on to its next phase.", "service", w.Service, "target", r.GetTarget(), "phase", step.GetPhase().String(),
				"reason", step.GetReason(), "allowed", r.GetAllowed(), "reached", w.Exposure.Reached())
			out = append(out, &wire.FleetCommand{Command: &wire.FleetCommand_RolloutStep{RolloutStep: step}})
			continue
		}
		if allowed, ok := w.Exposure.NextAllowance(w.Bounds, w.TrialProgress(now)); ok && r.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_TRIAL {
			out = append(out, &wire.FleetCommand{Command: &wire.FleetCommand_RolloutAllowance{RolloutAllowance: &wire.RolloutAllowance{
				Service: w.Service, Order: w.Order, Allowed: allowed, Reached: w.Exposure.Reached(),
			}}})
		}
	}
	return out
}

// fleetFor returns what is known of the servers of a service that is rolled out, and of the
// routers.
func (k *Keeper) fleetFor(r *wire.Rollout) *rollout.ServiceState {
	f := &rollout.ServiceState{Routers: k.followers.nodesOf(RoleRouter), Complete: k.servers.HeardOfAll(time.Now())}
	for version, slots := range k.servers.Versions(r.GetService()) {
		switch {
		case version == r.GetTarget():
			f.TargetSlots += slots
		case !slices.Contains(r.GetRejected(), version):
			f.OtherSlots += slots
			f.ReplacedVersions = append(f.ReplacedVersions, version)
		}
	}
	slices.Sort(f.ReplacedVersions)
	return f
}

// ErrUnderWay says that another version of the service is rolled out.
var ErrUnderWay = trace.AlreadyExists("the service is moved to another version")

// Rollout takes an operator's order to move a service to a version, and returns once it is
// committed. An order that is repeated changes nothing. The error is a [trace.NotFound] for a
// service that there is not, a [trace.BadParameter] for an order that can't be used,
// ErrUnderWay, or leaves open whether the order will be in force. One whose operator has gone,
// as ctx tells, is not proposed.
func (k *Keeper) Rollout(ctx context.Context, service, target string, lasts time.Duration) error {
	err := k.rollout(ctx, service, target, lasts)
	k.Log.Info("A service is ordered to be moved to a version.", "service", service, "target", target, "lasts", lasts, "error", err)
	return err
}

func (k *Keeper) rollout(ctx context.Context, name, target string, lasts time.Duration) error {
	switch {
	case name == "":
		return trace.BadParameter("no service is named")
	case target == "" || len(target) > longestVersion:
		return trace.BadParameter("no version is named, or one whose name is too long")
	case lasts < time.Millisecond || lasts > longestRollout:
		return trace.BadParameter("the time is none for a roll-out: %v", lasts)
	}
	for {
		old, err := k.RolloutOf(ctx, name)
		if err != nil {
			return err
		}
		switch {
		case repeats(old, target):
			return nil
		case !rollout.Ended(old):
			return ErrUnderWay
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		now := time.Now()
		o := &wire.RolloutOrder{
			Service: name, Target: target, Against: old.GetRevision(),
			OrderedUnixMillis: now.UnixMilli(), DeadlineUnixMillis: now.Add(lasts).UnixMilli(),
		}
		reply, err := ask[wire.RolloutReply](ctx, k, "Fleet.OrderRollout", o, (&service{k}).OrderRollout)
		switch {
		case err != nil:
			return err
		case reply.GetUnknown():
			return trace.NotFound("there is no service %q", name)
		case reply.GetTaken():
			return nil
		}
	}
}

// repeats reports whether an order to move to a version repeats the newest one, nil for none: it
// goes on, has been completed, or was taken so lately that this is a copy of it.
func repeats(r *wire.Rollout, target string) bool {
	if r.GetTarget() != target {
		return false
	}
	return r.GetPhase() != wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK || r.GetAgeMillis() < repeatWithin.Milliseconds()
}

// RolloutOf returns the newest roll-out of a service, nil for none; the answer is linearizable.
func (k *Keeper) RolloutOf(ctx context.Context, name string) (*wire.Rollout, error) {
	all, err := ask[wire.Rollouts](ctx, k, "Fleet.Rollouts", &wire.Empty{}, (&service{k}).Rollouts)
	if err != nil {
		return nil, err
	}
	for _, r := range all.GetRollouts() {
		if r.GetService() == name {
			return r, nil
		}
	}
	return nil, nil //nolint:nilnil // a service for which there was no order has none
}

// nodesOf lists the nodes of a role that follow.
func (f *followers) nodesOf(role string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for n, x := range f.nodes {
		if x.role == role {
			out = append(out, string(n))
		}
	}
	return out
}
