package raft

import (
	"context"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/loop"
)

// Status returns the newest published state; it must not be changed.
func (n *Node) Status() *wire.GroupStatus { return n.status.Load() }

// Leading reports whether this member believes that it leads.
func (n *Node) Leading() bool { return n.Status().GetLeader() == n.ID }

// Step takes in messages from other members. It drops them when the inbox is
// full: the sender repeats them.
func (n *Node) Step(batch []*wire.RaftMessage) {
	select {
	case n.inbox <- batch:
	default:
	}
}

// PeerRefused takes in that a member's address refuses connections, as it does when its
// process has ended. It does not block.
func (n *Node) PeerRefused(id string) {
	select {
	case n.calls <- func() { n.core.PeerRefused(n.now(), id) }:
	default: // the peer's silence tells the same later
	}
}

// Propose replicates a command and returns what the state machine answered.
// A [*NotLeaderError] means that nothing was done; [ErrUncertain] or the error
// of ctx that it may be.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-n.stopped:
		return nil, ErrUncertain
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// call runs f on the goroutine of Run.
func call[T any](ctx context.Context, n *Node, f func() T) (T, error) {
	done := make(chan T, 1)
	var zero T
	select {
	case n.calls <- func() { done <- f() }:
	case <-n.stopped:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case v := <-done:
		return v, nil
	case <-n.stopped:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// AwaitLeader returns once a leader is known, or when ctx ends.
func (n *Node) AwaitLeader(ctx context.Context) error {
	select {
	case <-n.led.Wait():
		return nil
	case <-n.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ReadBarrier returns nil when the state machine holds every command that was
// acknowledged before the call: reads after it are linearizable.
func (n *Node) ReadBarrier(ctx context.Context) error {
	ok, err := call(ctx, n, func() bool {
		return n.core.LeaseValid(n.now()) && n.appliedIndex >= n.core.commit
	})
	if err != nil {
		return err
	}
	if !ok {
		return &NotLeaderError{Leader: n.Status().GetLeader()}
	}
	return nil
}

// ChangeMembers starts the membership change that f makes of the present one;
// f returns nil for none. It reports whether a change was started.
func (n *Node) ChangeMembers(ctx context.Context, f func(*wire.Members) *wire.Members) (bool, error) {
	return call(ctx, n, func() bool {
		if n.core.role != Leader {
			return false
		}
		m := f(n.core.members)
		if m == nil {
			return false
		}
		_, ok := n.core.ProposeMembers(m)
		return ok
	})
}

// CaughtUp reports whether a leader knows that the member has all but the
// newest entries.
func (n *Node) CaughtUp(ctx context.Context, id string) (bool, error) {
	const slack = 64
	return call(ctx, n, func() bool {
		p := n.core.peers[id]
		return p != nil && p.match > 0 && p.match+slack >= n.core.lastIndex()
	})
}

// PeersActive lists the members that a leader has heard of within an election
// timeout.
func (n *Node) PeersActive(ctx context.Context) (map[string]bool, error) {
	return call(ctx, n, func() map[string]bool {
		active := make(map[string]bool)
		for id, p := range n.core.peers {
			active[id] = p.heardAt > 0 && n.now()-p.heardAt < n.Election
		}
		return active
	})
}

// Transfer hands leadership to another member; it reports whether one was
// found.
func (n *Node) Transfer(ctx context.Context) (bool, error) {
	return call(ctx, n, n.core.Transfer)
}

// HandOver passes leadership on, so that a planned stop costs no election. It
// returns when this member does not lead, nobody can take over, or ctx ends.
func (n *Node) HandOver(ctx context.Context) {
	const pollEvery = 10 * time.Millisecond // a few round trips within a data hall
	for n.Leading() && ctx.Err() == nil {
		if ok, err := n.Transfer(ctx); err != nil || !ok {
			return
		}
		loop.Until(ctx, pollEvery, func() bool { return !n.Leading() })
	}
}
