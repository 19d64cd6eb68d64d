package raft

import (
	"context"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/loop"
)

// Status returns the latest published status; the caller must not modify it.
func (n *Node) Status() *wire.GroupStatus { return n.status.Load() }

// IsLeader reports whether this member considers itself the leader.
func (n *Node) IsLeader() bool { return n.Status().GetLeader() == n.ID }

// Step queues messages from other members. It drops them if the inbox is full, since
// the sender will resend them.
func (n *Node) Step(batch []*wire.RaftMessage) {
	select {
	case n.inbox <- batch:
	default:
	}
}

// ReportConnectionRefused reports that a member's address refuses connections, as it does
// after its process has exited. It does not block.
func (n *Node) ReportConnectionRefused(id string) {
	select {
	case n.calls <- func() { n.core.ReportConnectionRefused(n.now(), id) }:
	default: // the election timeout will detect the failure later
	}
}

// Propose replicates a command and returns the result of the state machine.
// After a [*NotLeaderError] the command has no effect; after [ErrUncertain] or the
// error of ctx it may still take effect.
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

// call runs f on the goroutine of Run and returns its result.
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

// AwaitLeader blocks until a leader is known or ctx is done.
func (n *Node) AwaitLeader(ctx context.Context) error {
	select {
	case <-n.hasLeader.Wait():
		return nil
	case <-n.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ReadBarrier returns nil if this member is the leader with a valid lease and its state
// machine has applied every command that was acknowledged before the call. Reads after
// it are linearizable.
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

// ChangeMembers calls f with the current configuration and starts a change to the one
// that f returns; nil means no change. It reports whether a change was started.
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

// CaughtUp reports whether this member, as the leader, knows that another member has all
// but the latest entries.
func (n *Node) CaughtUp(ctx context.Context, id string) (bool, error) {
	const maxLag = 64
	return call(ctx, n, func() bool {
		p := n.core.peers[id]
		return p != nil && p.match > 0 && p.match+maxLag >= n.core.lastIndex()
	})
}

// ActivePeers returns for each peer whether this member, as the leader, received a
// reply from it within the last election timeout.
func (n *Node) ActivePeers(ctx context.Context) (map[string]bool, error) {
	return call(ctx, n, func() map[string]bool {
		active := make(map[string]bool)
		for id, p := range n.core.peers {
			active[id] = n.core.isActive(p)
		}
		return active
	})
}

// TransferLeadership starts a leadership transfer to another voter; it reports whether
// there is one.
func (n *Node) TransferLeadership(ctx context.Context) (bool, error) {
	return call(ctx, n, n.core.TransferLeadership)
}

// ResignLeadership transfers leadership to another member, so that the group does
// not wait for an election timeout after a planned shutdown. It returns once this member is
// not the leader, no member can take over, or ctx is done.
func (n *Node) ResignLeadership(ctx context.Context) {
	const pollInterval = 10 * time.Millisecond // a few round trips within a data hall
	for n.IsLeader() && ctx.Err() == nil {
		if ok, err := n.TransferLeadership(ctx); err != nil || !ok {
			return
		}
		loop.Until(ctx, pollInterval, func() bool { return !n.IsLeader() })
	}
}
