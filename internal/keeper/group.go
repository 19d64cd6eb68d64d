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

// group is this keeper's member of one Raft group.
type group struct {
	node   *raft.Node
	sender *sender
	// leaderlessSince is when the group lost its leader, in Unix nanoseconds; 0
	// while it has one.
	leaderlessSince atomic.Int64
}

// leaderlessFor returns how long the group has had no leader as seen by this
// keeper, or 0 if it has one.
func (g *group) leaderlessFor(now time.Time) time.Duration {
	if g.node.Status().GetLeader() != "" {
		return 0
	}
	since := g.leaderlessSince.Load()
	if since == 0 {
		return time.Nanosecond
	}
	return max(now.Sub(time.Unix(0, since)), time.Nanosecond)
}

// trackLeader records when the group loses its leader.
func (g *group) trackLeader(now time.Time) {
	if g.node.Status().GetLeader() != "" {
		g.leaderlessSince.Store(0)
		return
	}
	g.leaderlessSince.CompareAndSwap(0, now.UnixNano())
}

// readBarrier returns nil if a read of the local state is linearizable, and the
// error to return to the caller otherwise.
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

// resignLeadership transfers the leadership of all groups, so that a planned
// stop does not cause an election.
func (k *Keeper) resignLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, g := range k.groups() {
		g.node.ResignLeadership(ctx)
	}
}
