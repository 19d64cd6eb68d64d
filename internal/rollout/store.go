package rollout

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// replayTimeout is how long after its start a process may apply old log entries.
	replayTimeout = 3 * time.Second
	// maxRejected bounds the rejected versions of a service; the oldest are removed.
	maxRejected = 32
)

// Store is the replicated state of rollouts: the newest order of each service, to which the fleet's
// log is applied. The replicated state depends on no clock; the ages of orders are measured by the
// clock of this process. A Store is not safe for concurrent use. Set the exported field before the
// first call.
type Store struct {
	Clock sumachead.Clock

	// revision counts the changes that other processes need to know.
	revision uint64
	// rollouts are keyed by service; the messages are replaced, never modified.
	rollouts map[string]*wire.Rollout
	// orderedAt is when the newest order of each service was accepted.
	orderedAt map[string]sumachead.BootTime
	// replayStartedAt is when this process began to apply the log.
	replayStartedAt sumachead.BootTime
}

// Start starts a rollout, unless the service's rollout has changed since the order was made or is
// still in progress.
func (b *Store) Start(o *wire.RolloutOrder) *wire.RolloutReply {
	old := b.rollouts[o.GetService()]
	if old.GetRevision() != o.GetAgainst() || !Ended(old) {
		return &wire.RolloutReply{}
	}
	b.revision++
	b.put(&wire.Rollout{
		Service: o.GetService(), Target: o.GetTarget(), Revision: b.revision, Order: b.revision,
		OrderedUnixMillis: o.GetOrderedUnixMillis(), DeadlineUnixMillis: o.GetDeadlineUnixMillis(),
		Rejected: rejected(old, o.GetTarget()),
	})
	return &wire.RolloutReply{Taken: true}
}

// rejected returns the versions that are rejected once a target is ordered after an old rollout.
func rejected(old *wire.Rollout, target string) []string {
	out := slices.Clone(old.GetRejected())
	if old.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK {
		out = append(out, old.GetTarget())
	}
	out = slices.DeleteFunc(out, func(v string) bool { return v == target })
	return out[max(len(out)-maxRejected, 0):]
}

// Ended reports whether a rollout, nil for none, is no longer in progress.
func Ended(r *wire.Rollout) bool {
	return r == nil || r.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE || r.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
}

// Advance moves a rollout to its next phase, unless it is in that or a later one. A rollout that has
// ended doesn't change any more.
func (b *Store) Advance(s *wire.RolloutStep) *wire.RolloutReply {
	old := b.rollouts[s.GetService()]
	if old.GetOrder() != s.GetOrder() || Ended(old) || s.GetPhase() <= old.GetPhase() {
		return &wire.RolloutReply{}
	}
	next := proto.CloneOf(old)
	b.revision++
	next.Revision, next.Phase, next.Reason = b.revision, s.GetPhase(), s.GetReason()
	if s.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_MOVING {
		next.Replaced = s.GetReplaced()
	}
	b.put(next)
	return &wire.RolloutReply{Taken: true}
}

// RaiseAllowance raises the number of requests that may be sent to the target version on trial. It
// keeps the revision, since only a later leader needs to know the allowance.
func (b *Store) RaiseAllowance(a *wire.RolloutAllowance) *wire.RolloutReply {
	old := b.rollouts[a.GetService()]
	if old.GetOrder() != a.GetOrder() || Ended(old) || a.GetAllowed() < old.GetAllowed() {
		return &wire.RolloutReply{}
	}
	next := proto.CloneOf(old)
	next.Allowed, next.Reached = a.GetAllowed(), max(a.GetReached(), old.GetReached())
	b.put(next)
	return &wire.RolloutReply{Taken: true}
}

// put replaces a service's rollout.
func (b *Store) put(r *wire.Rollout) {
	if b.rollouts == nil {
		b.rollouts = make(map[string]*wire.Rollout)
		b.orderedAt = make(map[string]sumachead.BootTime)
	}
	now := b.Clock.Now()
	if b.replayStartedAt == 0 {
		b.replayStartedAt = now
	}
	if old := b.rollouts[r.GetService()]; old.GetOrder() != r.GetOrder() {
		b.orderedAt[r.GetService()] = now
		if now.Sub(b.replayStartedAt) <= replayTimeout {
			b.orderedAt[r.GetService()] = now.Add(-wallClockAge(r))
		}
	}
	b.rollouts[r.GetService()] = r
}

// wallClockAge returns the age of an order by the wall clock, which may be wrong by seconds. It is
// used for orders that were logged while this process was down or lagged behind.
func wallClockAge(r *wire.Rollout) time.Duration {
	age := time.Since(time.UnixMilli(r.GetOrderedUnixMillis()))
	return min(max(age, 0), orderDuration(r))
}

// orderDuration returns the time from an order to its deadline.
func orderDuration(r *wire.Rollout) time.Duration {
	return time.Duration(r.GetDeadlineUnixMillis()-r.GetOrderedUnixMillis()) * time.Millisecond
}

// StartReplay starts the interval in which old log entries may be applied.
func (b *Store) StartReplay() { b.replayStartedAt = b.Clock.Now() }

// Get returns the newest rollout of a service, nil for none, which must not be modified.
func (b *Store) Get(service string) *wire.Rollout { return b.rollouts[service] }

// Times returns when the newest order of a service was accepted, and its deadline.
func (b *Store) Times(service string) (ordered, deadline sumachead.BootTime) {
	ordered = b.orderedAt[service]
	return ordered, ordered.Add(orderDuration(b.rollouts[service]))
}

// Revision returns the revision of the newest change.
func (b *Store) Revision() uint64 { return b.revision }

// SnapshotWithAges returns all rollouts with their ages.
func (b *Store) SnapshotWithAges() *wire.Rollouts {
	s := b.Snapshot()
	now := b.Clock.Now()
	for i, r := range s.GetRollouts() {
		s.Rollouts[i] = proto.CloneOf(r)
		s.Rollouts[i].AgeMillis = now.Sub(b.orderedAt[r.GetService()]).Milliseconds()
	}
	return s
}

// Snapshot returns the replicated state; the messages in it must not be modified.
func (b *Store) Snapshot() *wire.Rollouts {
	s := &wire.Rollouts{Revision: b.revision}
	for _, r := range b.rollouts {
		s.Rollouts = append(s.Rollouts, r)
	}
	slices.SortFunc(s.Rollouts, func(x, y *wire.Rollout) int { return cmp.Compare(x.GetService(), y.GetService()) })
	return s
}

// Restore replaces the state with a snapshot.
func (b *Store) Restore(s *wire.Rollouts) {
	old := *b
	b.revision, b.rollouts, b.orderedAt = s.GetRevision(), nil, nil
	for _, r := range s.GetRollouts() {
		b.put(r)
		b.orderedAt[r.GetService()] = b.Clock.Now().Add(-wallClockAge(r))
		if old.rollouts[r.GetService()].GetOrder() == r.GetOrder() {
			b.orderedAt[r.GetService()] = old.orderedAt[r.GetService()]
		}
	}
}
