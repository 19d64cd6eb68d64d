package keeper

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/raft"
	"sumachead/internal/rpc"
	"sumachead/internal/wal"
)

const (
	identityFile  = "identity"
	probeTimeout  = 500 * time.Millisecond
	probeInterval = 200 * time.Millisecond
)

// probeService tells other keepers during bootstrap whether the cluster already
// exists.
type probeService struct {
	keeper *Keeper
	reply  atomic.Pointer[wire.ProbeReply]
}

// Ask returns this keeper's incarnation and whether its groups run.
func (p *probeService) Ask(_ *wire.Empty, reply *wire.ProbeReply) error {
	proto.Merge(reply, p.reply.Load())
	return nil
}

func (p *probeService) publish(id *wire.Identity) {
	p.reply.Store(&wire.ProbeReply{
		Keeper: id.GetKeeper(), Incarnation: id.GetIncarnation(),
		Running: id.GetFounders() != nil || id.GetJoined(), Founders: id.GetFounders(),
	})
}

// openIdentity reads the keeper's identity, or creates one if the data
// directory is empty.
func (k *Keeper) openIdentity(p *probeService) error {
	path := filepath.Join(k.Config.Data, identityFile)
	id := &wire.Identity{}
	data, err := wal.ReadFile(path)
	switch {
	case trace.IsNotFound(err):
		id.Keeper, id.Incarnation = string(k.Config.Node), uuid.NewString()
		k.identity = id
		err = k.saveIdentity()
	case err == nil:
		err = proto.Unmarshal(data, id)
	}
	if err != nil {
		return trace.Wrap(err, "identity of the keeper")
	}
	if id.GetKeeper() != string(k.Config.Node) {
		return trace.BadParameter("%s belongs to keeper %q, not to %q", path, id.GetKeeper(), k.Config.Node)
	}
	k.identity = id
	p.publish(id)
	return nil
}

func (k *Keeper) saveIdentity() error {
	data, err := proto.Marshal(k.identity)
	if err != nil {
		return trace.Wrap(err)
	}
	return wal.WriteFile(filepath.Join(k.Config.Data, identityFile), data)
}

// bootstrap decides whether this keeper creates the cluster or joins it, and
// opens the groups. A keeper with an empty data directory creates the cluster
// only if it reaches all keepers and none of them runs, so that a keeper that
// lost its disk never starts a second history.
func (k *Keeper) bootstrap(ctx context.Context, p *probeService) error {
	for k.identity.GetFounders() == nil && !k.identity.GetJoined() {
		if err := k.probeKeepers(ctx); err != nil {
			return err
		}
	}
	if err := k.openGroups(); err != nil {
		return err
	}
	k.groupsOpen.Store(true)
	p.publish(k.identity)
	return nil
}

// probeKeepers asks every keeper once whether the cluster exists, and creates or
// joins it if the replies allow that.
func (k *Keeper) probeKeepers(ctx context.Context) error {
	founders := &wire.Members{}
	reached := 0
	for _, other := range k.Config.Keepers {
		if other.ID == string(k.Config.Node) {
			reached++
			founders.Members = append(founders.Members, &wire.Member{
				Id: other.ID, Incarnation: k.identity.GetIncarnation(), Address: other.Address,
			})
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		r, err := rpc.Call[wire.ProbeReply](askCtx, k.Pool.Get(other.Address), "Probe.Ask", &wire.Empty{})
		cancel()
		if err != nil {
			continue
		}
		if r.GetRunning() {
			return k.joinRunningCluster(r)
		}
		reached++
		founders.Members = append(founders.Members, &wire.Member{
			Id: other.ID, Incarnation: r.GetIncarnation(), Address: other.Address,
		})
	}
	if reached == len(k.Config.Keepers) {
		k.Log.Info("Creating the cluster.", "keepers", reached)
		k.identity.Founders = founders
		return k.saveIdentity()
	}
	loop.Sleep(ctx, probeInterval)
	return ctx.Err()
}

// joinRunningCluster joins a cluster that already exists: as a founder if this
// incarnation is among the founders, and as a new member otherwise.
func (k *Keeper) joinRunningCluster(r *wire.ProbeReply) error {
	for _, m := range r.GetFounders().GetMembers() {
		if m.GetId() == k.identity.GetKeeper() && m.GetIncarnation() == k.identity.GetIncarnation() {
			k.identity.Founders = r.GetFounders()
			return k.saveIdentity()
		}
	}
	k.Log.Warn("Joining a running cluster with an empty data directory.", "incarnation", k.identity.GetIncarnation())
	k.identity.Joined = true
	k.identity.JoinedUnixNano = time.Now().UnixNano()
	return k.saveIdentity()
}

// joinLoop asks the leader of each group to add this keeper as a learner, until
// it is a member of all groups.
func (k *Keeper) joinLoop(ctx context.Context) error {
	const joinInterval = 500 * time.Millisecond
	if !k.identity.GetJoined() {
		return nil
	}
	self := &wire.Member{Id: k.identity.GetKeeper(), Incarnation: k.identity.GetIncarnation()}
	for _, c := range k.Config.Keepers {
		if c.ID == self.GetId() {
			self.Address = c.Address
		}
	}
	for {
		missing := false
		for _, g := range k.groups() {
			if raft.IsMember(g.node.Status().GetMembers(), self) {
				continue
			}
			missing = true
			callCtx, cancel := context.WithTimeout(ctx, joinInterval)
			_, err := keeperclient.Call[wire.Empty](callCtx, k.clients, g.node.Group, "Keeper.Join",
				&wire.JoinRequest{Group: string(g.node.Group), Member: self})
			cancel()
			if err != nil {
				k.Log.Debug("Joining a group failed.", "group", g.node.Group, "error", err)
			}
		}
		if !missing {
			return nil
		}
		if !loop.Sleep(ctx, joinInterval) {
			return nil
		}
	}
}
