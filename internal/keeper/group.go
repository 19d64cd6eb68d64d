package keeper

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sumachead"
	"sumachead/internal/keeperclient"
	"sumachead/internal/raft"
)

// group is one replicated group of this keeper.
type group struct {
	node   *raft.Node
	sender *sender
	// leaderless is since when the group has no leader, in Unix nanoseconds; 0
	// when it has one.
	leaderless atomic.Int64
}

// leaderlessFor returns how long the group has had no leader, as far as this
// keeper knows; 0 when it has one.
func (g *group) leaderlessFor(now time.Time) time.Duration {
	if g.node.Status().GetLeader() != "" {
		return 0
	}
	since := g.leaderless.Load()
	if since == 0 {
		return time.Nanosecond
	}
	return max(now.Sub(time.Unix(0, since)), time.Nanosecond)
}

// noteLeader keeps the time since when there is no leader.
func (g *group) noteLeader(now time.Time) {
	if g.node.Status().GetLeader() != "" {
		g.leaderless.Store(0)
		return
	}
	g.leaderless.CompareAndSwap(0, now.UnixNano())
}

// readBarrier returns nil when a read of this keeper's copy is linearizable, and
// otherwise the error to answer a caller with.
func (g *group) readBarrier() error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return keeperclient.EncodeError(g.node.ReadBarrier(ctx))
}

func (k *Keeper) openGroup(id sumachead.GroupID, m sumachead.StateMachine) (*group, error) {
	s := newSender(k.Config.Keepers, k.Pool)
	n := &raft.Node{
		Group: id, ID: string(k.Config.Node), Incarnation: k.identity.GetIncarnation(),
		Dir: filepath.Join(k.Config.Data, "groups", string(id)), Machine: m,
		Send: s.send, Founders: k.identity.GetFounders(), Log: k.Log.Named(string(id)),
	}
	if err := n.Open(); err != nil {
		return nil, err
	}
	return &group{node: n, sender: s}, nil
}

func (k *Keeper) runGroups(ctx context.Context, tasks *errgroup.Group) {
	for _, g := range k.groups() {
		tasks.Go(func() error { return g.node.Run(ctx) })
		g.sender.run(ctx, tasks)
	}
}

// handOver passes leadership on, so that a planned stop costs no election.
func (k *Keeper) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, g := range k.groups() {
		g.node.ResignLeadership(ctx)
	}
}
