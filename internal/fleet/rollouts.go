package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/loop"
	"sumachead/internal/rollout"
)

// An operator's order rolls a service out to another version. Orders and their phases are
// replicated by the log, and so is the number of requests that may be sent to a canary version,
// before they are granted. The outcomes that routers report are kept only by the leader: routers
// report totals, so that a new leader has all of them with their next reports.

const (
	// rolloutCheckInterval is how often the leader checks the rollouts: it costs a commit and some
	// calls, and is far below the seconds within which a bad version has to be rolled back.
	rolloutCheckInterval = 100 * time.Millisecond
	// duplicateOrderWindow is how long a repeated order counts as a duplicate of the previous one:
	// longer than operators retry, so that a late duplicate does not start the rollout again.
	duplicateOrderWindow = 15 * time.Second
	// maxRolloutDuration bounds the duration of a rollout.
	maxRolloutDuration = 30 * 24 * time.Hour
	// maxVersionLength bounds the length of a version name.
	maxVersionLength = 256
)

// defaultExposure bounds the requests that a bad version may get if nothing else is set.
var defaultExposure = rollout.Bounds{Share: 0.1, Slack: 20}

// applyRolloutOrder accepts an order unless another order was accepted first or the service is
// unknown. The caller holds mu.
func (m *StateMachine) applyRolloutOrder(o *wire.RolloutOrder) *wire.RolloutReply {
	if !slices.ContainsFunc(m.declaration.GetCatalog().GetServices(), func(s *wire.Service) bool { return s.GetName() == o.GetService() }) {
		return &wire.RolloutReply{Unknown: true}
	}
	reply := m.rollouts.Start(o)
	m.notify()
	return reply
}

// Rollouts returns the newest rollout of each service with its age.
func (m *StateMachine) Rollouts() *wire.Rollouts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rollouts.SnapshotWithAges()
}

// RolloutsRevision returns the revision of the newest change of a rollout.
func (m *StateMachine) RolloutsRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rollouts.Revision()
}

// CountRollouts counts the rollouts in a phase.
func (m *StateMachine) CountRollouts(p wire.RolloutPhase) int {
	n := 0
	for _, r := range m.Rollouts().GetRollouts() {
		if r.GetPhase() == p {
			n++
		}
	}
	return n
}

// activeRollouts returns a new controller for each rollout in progress.
func (m *StateMachine) activeRollouts(b rollout.Bounds) []*rollout.Controller {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*rollout.Controller
	for _, r := range m.rollouts.Snapshot().GetRollouts() {
		if rollout.Ended(r) {
			continue
		}
		w := &rollout.Controller{Service: r.GetService(), Order: r.GetOrder(), Bounds: b, Exposure: rollout.NewExposure(r)}
		w.OrderedAt, w.Deadline = m.rollouts.Times(r.GetService())
		w.MaxRequestTime = maxRequestTimeout(m.declaration.GetCatalog(), r.GetService())
		out = append(out, w)
	}
	return out
}

// latestRollout returns the newest rollout of a service, which must not be changed; nil if there
// is none.
func (m *StateMachine) latestRollout(service string) *wire.Rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rollouts.Get(service)
}

// forEachRoute calls f for each route that sends a share to a service.
func forEachRoute(c *wire.Catalog, service string, f func(*wire.Route)) {
	for _, r := range c.GetRoutes() {
		if slices.ContainsFunc(r.GetShares(), func(s *wire.ServiceShare) bool { return s.GetService() == service }) {
			f(r)
		}
	}
}

// maxRequestTimeout returns the longest timeout of a request to a service.
func maxRequestTimeout(c *wire.Catalog, service string) time.Duration {
	var longest int64
	forEachRoute(c, service, func(r *wire.Route) { longest = max(longest, r.GetTimeoutMillis()) })
	return time.Duration(longest) * time.Millisecond
}

// isNonIdempotent reports whether requests of a route must not be executed twice.
func isNonIdempotent(c *wire.Catalog, service, route string) bool {
	once := false
	forEachRoute(c, service, func(r *wire.Route) {
		once = once || r.GetName() == route && (r.GetKind() == wire.RouteKind_ROUTE_KIND_SINGLE ||
			r.GetKind() == wire.RouteKind_ROUTE_KIND_STREAM && !r.GetResumable())
	})
	return once
}

// Rollouts returns the newest rollouts; the read is linearizable.
func (s *service) Rollouts(_ *wire.Empty, reply *wire.Rollouts) error {
	if err := s.keeper.requireLeadership(); err != nil {
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

// Sample records a router's report on a service that is being rolled out, and grants the router
// requests to the target version. The reply to a report on an order that is no longer active is
// empty.
func (s *service) Sample(r *wire.RolloutReport, reply *wire.RolloutGrants) error {
	k := s.keeper
	if err := k.requireLeadership(); err != nil {
		return err
	}
	k.rolloutControllers.mu.Lock()
	defer k.rolloutControllers.mu.Unlock()
	k.refreshControllers()
	w := k.rolloutControllers.byService[r.GetService()]
	if w == nil || w.Order != r.GetOrder() {
		return nil
	}
	grants, stale := w.HandleReport(r, k.machine.latestRollout(r.GetService()))
	if grants == nil && !stale {
		d, _ := k.machine.Declaration()
		nonIdempotent := func(route string) bool { return isNonIdempotent(d.GetCatalog(), r.GetService(), route) }
		grants = w.GrantRequests(r, nonIdempotent, k.followers.count(RoleRouter), boottime.Clock{}.Now())
	}
	proto.Merge(reply, grants)
	return nil
}

// controllerSet holds the controllers of active rollouts on the leading keeper.
type controllerSet struct {
	mu sync.Mutex // guards the fields below
	// history identifies the leader term that the controllers belong to.
	history string
	// revision is the rollouts' revision at which the set was last updated.
	revision  uint64
	byService map[string]*rollout.Controller
}

// refreshControllers adds controllers for orders that are new to this leader, and drops those of
// rollouts that are no longer active. The caller holds rolloutControllers.mu.
func (k *Keeper) refreshControllers() {
	w := &k.rolloutControllers
	history, revision := k.history(), k.machine.RolloutsRevision()
	if w.history == history && w.revision == revision {
		return
	}
	of := make(map[string]*rollout.Controller)
	for _, x := range k.machine.activeRollouts(k.exposure()) {
		if old := w.byService[x.Service]; old != nil && old.Order == x.Order && w.history == history {
			x = old
		}
		of[x.Service] = x
	}
	w.history, w.revision, w.byService = history, revision, of
}

// exposure returns the bounds for the requests that a bad version may get.
func (k *Keeper) exposure() rollout.Bounds {
	return cmp.Or(k.Exposure, defaultExposure)
}

// rolloutsLoop drives the rollouts while this keeper leads.
func (k *Keeper) rolloutsLoop(ctx context.Context) error {
	return loop.Every(ctx, rolloutCheckInterval, func() {
		if !k.node.IsLeader() || k.machine.RolloutsRevision() == 0 || k.requireLeadership() != nil {
			return
		}
		for _, c := range k.rolloutCommands() {
			if _, err := k.propose(c); err != nil {
				// The next check retries it.
				k.limitedLog.Info(k.Log, "Failed to commit a rollout change.", "error", err)
			}
		}
	})
}

// rolloutCommands returns the commands that the active rollouts need.
func (k *Keeper) rolloutCommands() []*wire.FleetCommand {
	k.rolloutControllers.mu.Lock()
	defer k.rolloutControllers.mu.Unlock()
	k.refreshControllers()
	now := boottime.Clock{}.Now()
	var out []*wire.FleetCommand
	for _, w := range k.rolloutControllers.byService {
		r := k.machine.latestRollout(w.Service)
		w.Exposure.SetCommitted(r.GetAllowed())
		if step := w.NextStep(r, k.rolloutFleet(r), now); step != nil {
			k.Log.Info("Rollout enters its next phase.", "service", w.Service, "target", r.GetTarget(), "phase", step.GetPhase().String(),
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

// rolloutFleet returns the servers of a service that is being rolled out, and the routers, as far
// as they are known.
func (k *Keeper) rolloutFleet(r *wire.Rollout) *rollout.ServiceState {
	f := &rollout.ServiceState{Routers: k.followers.nodesWithRole(RoleRouter), Complete: k.servers.HasHeardFromAll(time.Now())}
	for version, slots := range k.servers.SlotsByVersion(r.GetService()) {
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

// ErrRolloutInProgress means that the service is being rolled out to another version.
var ErrRolloutInProgress = trace.AlreadyExists("the service is moved to another version")

// StartRollout executes an operator's order to roll a service out to a version, and returns once
// it is committed. A duplicate of an order changes nothing. The error is a [trace.NotFound] for an
// unknown service, a [trace.BadParameter] for an invalid order, or ErrRolloutInProgress; after any
// other error the order may or may not come into force. An order is not proposed once ctx has
// ended, which means that its operator is gone.
func (k *Keeper) StartRollout(ctx context.Context, service, target string, lasts time.Duration) error {
	err := error(trace.BadParameter("a name is not valid UTF-8"))
	if utf8.ValidString(service) && utf8.ValidString(target) {
		err = k.startRollout(ctx, service, target, lasts)
	}
	k.Log.Info("Processed a rollout order.", "service", service, "target", target, "lasts", lasts, "error", err)
	return err
}

func (k *Keeper) startRollout(ctx context.Context, name, target string, lasts time.Duration) error {
	switch {
	case name == "":
		return trace.BadParameter("no service is named")
	case target == "" || len(target) > maxVersionLength:
		return trace.BadParameter("no version is named, or one whose name is too long")
	case lasts < time.Millisecond || lasts > maxRolloutDuration:
		return trace.BadParameter("the time is none for a roll-out: %v", lasts)
	}
	for {
		old, err := k.LatestRollout(ctx, name)
		if err != nil {
			return err
		}
		switch {
		case isDuplicateOrder(old, target):
			return nil
		case !rollout.Ended(old):
			return ErrRolloutInProgress
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		now := time.Now()
		o := &wire.RolloutOrder{
			Service: name, Target: target, Against: old.GetRevision(),
			OrderedUnixMillis: now.UnixMilli(), DeadlineUnixMillis: now.Add(lasts).UnixMilli(),
		}
		reply, err := callLeader[wire.RolloutReply](ctx, k, "Fleet.OrderRollout", o, (&service{k}).OrderRollout)
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

// isDuplicateOrder reports whether an order to roll out to target duplicates the newest one, r,
// which may be nil: r has the same target and is in progress, is complete, or was rolled back so
// recently that this is a retry.
func isDuplicateOrder(r *wire.Rollout, target string) bool {
	if r.GetTarget() != target {
		return false
	}
	return r.GetPhase() != wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK || r.GetAgeMillis() < duplicateOrderWindow.Milliseconds()
}

// LatestRollout returns the newest rollout of a service, nil if there is none; the read is
// linearizable.
func (k *Keeper) LatestRollout(ctx context.Context, name string) (*wire.Rollout, error) {
	all, err := callLeader[wire.Rollouts](ctx, k, "Fleet.Rollouts", &wire.Empty{}, (&service{k}).Rollouts)
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

// nodesWithRole lists the followers with a role.
func (f *followers) nodesWithRole(role string) []string {
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
