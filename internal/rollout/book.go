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
	// replayWithin is for how long after its start a process applies what was logged long ago.
	replayWithin = 3 * time.Second
	// maxRejected bounds the versions that a service keeps as rejected; the oldest are dropped.
	maxRejected = 32
)

// Book is the newest order of each service, as the fleet's log has it. What is logged depends on
// no clock; for how long an order has stood is by the clock of this process. A Book is not safe
// for concurrent use. Set the exported field before the first call.
type Book struct {
	Clock sumachead.Clock

	// revision counts the changes that others are told of.
	revision uint64
	// rollouts are by service; the messages are replaced, never changed.
	rollouts map[string]*wire.Rollout
	// orderedAt is when services' newest orders were taken.
	orderedAt map[string]sumachead.BootTime
	// openedAt is when this book was first used.
	openedAt sumachead.BootTime
}

// Order begins a roll-out, unless something has changed for the service since the order was
// made.
func (b *Book) Order(o *wire.RolloutOrder) *wire.RolloutReply {
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

// rejected returns the versions that stay rejected once a target is ordered after a roll-out.
func rejected(old *wire.Rollout, target string) []string {
	out := slices.Clone(old.GetRejected())
	if old.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK {
		out = append(out, old.GetTarget())
	}
	out = slices.DeleteFunc(out, func(v string) bool { return v == target })
	return out[max(len(out)-maxRejected, 0):]
}

// Ended reports whether a roll-out, nil for none, goes on no more.
func Ended(r *wire.Rollout) bool {
	return r == nil || r.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE || r.GetPhase() == wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
}

// Step moves a roll-out to its next phase, unless it is there or beyond. What has ended stays
// as it ended.
func (b *Book) Step(s *wire.RolloutStep) *wire.RolloutReply {
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

// Allow raises what may have been sent to the target version on trial; nobody but a later
// leader needs to know.
func (b *Book) Allow(a *wire.RolloutAllowance) *wire.RolloutReply {
	old := b.rollouts[a.GetService()]
	if old.GetOrder() != a.GetOrder() || Ended(old) || a.GetAllowed() < old.GetAllowed() {
		return &wire.RolloutReply{}
	}
	next := proto.CloneOf(old)
	next.Allowed, next.Reached = a.GetAllowed(), max(a.GetReached(), old.GetReached())
	b.put(next)
	return &wire.RolloutReply{Taken: true}
}

// put replaces a service's roll-out.
func (b *Book) put(r *wire.Rollout) {
	if b.rollouts == nil {
		b.rollouts = make(map[string]*wire.Rollout)
		b.orderedAt = make(map[string]sumachead.BootTime)
	}
	now := b.Clock.Now()
	if b.openedAt == 0 {
		b.openedAt = now
	}
	if old := b.rollouts[r.GetService()]; old.GetOrder() != r.GetOrder() {
		b.orderedAt[r.GetService()] = now
		if now.Sub(b.openedAt) <= replayWithin {
			b.orderedAt[r.GetService()] = now.Add(-ageByDay(r))
		}
	}
	b.rollouts[r.GetService()] = r
}

// ageByDay returns for how long an order has stood by the time of day, which may be wrong by
// seconds. It is for orders that were logged while this process did not run, or was behind.
func ageByDay(r *wire.Rollout) time.Duration {
	age := time.Since(time.UnixMilli(r.GetOrderedUnixMillis()))
	return min(max(age, 0), lasts(r))
}

// lasts returns how long an order has from the order to its deadline.
func lasts(r *wire.Rollout) time.Duration {
	return time.Duration(r.GetDeadlineUnixMillis()-r.GetOrderedUnixMillis()) * time.Millisecond
}

// Open starts the time within which the book may be read from what was logged long ago.
func (b *Book) Open() { b.openedAt = b.Clock.Now() }

// Get returns the newest roll-out of a service, nil for none, which must not be changed.
func (b *Book) Get(service string) *wire.Rollout { return b.rollouts[service] }

// Times returns when the newest order of a service was taken, and its deadline.
func (b *Book) Times(service string) (ordered, deadline sumachead.BootTime) {
	ordered = b.orderedAt[service]
	return ordered, ordered.Add(lasts(b.rollouts[service]))
}

// Revision returns that of the newest change.
func (b *Book) Revision() uint64 { return b.revision }

// Tell returns all roll-outs with their ages.
func (b *Book) Tell() *wire.Rollouts {
	s := b.Snapshot()
	now := b.Clock.Now()
	for i, r := range s.GetRollouts() {
		s.Rollouts[i] = proto.CloneOf(r)
		s.Rollouts[i].AgeMillis = now.Sub(b.orderedAt[r.GetService()]).Milliseconds()
	}
	return s
}

// Snapshot returns what is stored; the messages in it must not be changed.
func (b *Book) Snapshot() *wire.Rollouts {
	s := &wire.Rollouts{Revision: b.revision}
	for _, r := range b.rollouts {
		s.Rollouts = append(s.Rollouts, r)
	}
	slices.SortFunc(s.Rollouts, func(x, y *wire.Rollout) int { return cmp.Compare(x.GetService(), y.GetService()) })
	return s
}

// Restore replaces everything by what was stored.
func (b *Book) Restore(s *wire.Rollouts) {
	old := *b
	b.revision, b.rollouts, b.orderedAt = s.GetRevision(), nil, nil
	for _, r := range s.GetRollouts() {
		b.put(r)
		b.orderedAt[r.GetService()] = b.Clock.Now().Add(-ageByDay(r))
		if old.rollouts[r.GetService()].GetOrder() == r.GetOrder() {
			b.orderedAt[r.GetService()] = old.orderedAt[r.GetService()]
		}
	}
}
