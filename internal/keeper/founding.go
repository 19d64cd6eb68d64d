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
	identityFile = "identity"
	probeTimeout = 500 * time.Millisecond
	probeEvery   = 200 * time.Millisecond
)

// probeService answers other keepers that want to know whether the system
// exists already.
type probeService struct {
	keeper  *Keeper
	answers atomic.Pointer[wire.ProbeReply]
}

// Ask tells this keeper's incarnation and whether it runs its groups.
func (p *probeService) Ask(_ *wire.Empty, reply *wire.ProbeReply) error {
	proto.Merge(reply, p.answers.Load())
	return nil
}

func (p *probeService) publish(id *wire.Identity) {
	p.answers.Store(&wire.ProbeReply{
		Keeper: id.GetKeeper(), Incarnation: id.GetIncarnation(),
		Running: id.GetFounders() != nil || id.GetJoined(), Founders: id.GetFounders(),
	})
}

// openIdentity reads the identity or writes a new one to an empty folder.
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

// found settles whether this keeper founds the system or joins it, and opens
// the groups. An empty folder founds only when every keeper is reached and
// none runs: a keeper that lost its disk thus never starts a second history.
func (k *Keeper) found(ctx context.Context, p *probeService) error {
	for k.identity.GetFounders() == nil && !k.identity.GetJoined() {
		if err := k.decide(ctx); err != nil {
			return err
		}
	}
	if err := k.openGroups(); err != nil {
		return err
	}
	k.opened.Store(true)
	p.publish(k.identity)
	return nil
}

// decide makes one round of questions.
func (k *Keeper) decide(ctx context.Context) error {
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
			return k.enter(r)
		}
		reached++
		founders.Members = append(founders.Members, &wire.Member{
			Id: other.ID, Incarnation: r.GetIncarnation(), Address: other.Address,
		})
	}
	if reached == len(k.Config.Keepers) {
		k.Log.Info("Founding the system.", "keepers", reached)
		k.identity.Founders = founders
		return k.saveIdentity()
	}
	loop.Sleep(ctx, probeEvery)
	return ctx.Err()
}

// enter takes part in a system that runs: as a founder if this very folder was
// among the founders, else as a newcomer.
func (k *Keeper) enter(r *wire.ProbeReply) error {
	for _, m := range r.GetFounders().GetMembers() {
		if m.GetId() == k.identity.GetKeeper() && m.GetIncarnation() == k.identity.GetIncarnation() {
			k.identity.Founders = r.GetFounders()
			return k.saveIdentity()
		}
	}
	k.Log.Warn("Joining a running system with an empty folder.", "incarnation", k.identity.GetIncarnation())
	k.identity.Joined = true
	k.identity.JoinedUnixNano = time.Now().UnixNano()
	return k.saveIdentity()
}

// joinLoop asks the leaders to take this keeper in until they have.
func (k *Keeper) joinLoop(ctx context.Context) error {
	const joinEvery = 500 * time.Millisecond
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
			callCtx, cancel := context.WithTimeout(ctx, joinEvery)
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
		if !loop.Sleep(ctx, joinEvery) {
			return nil
		}
	}
}
