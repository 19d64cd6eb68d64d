package fleet

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/raft"
	"sumachead/internal/rpc"
)

const (
	// joinEvery is how often a keeper looks whether it is still a member, and asks
	// to be taken in if not.
	joinEvery = 400 * time.Millisecond
	// membersEvery is how often the leader looks at the members.
	membersEvery = 250 * time.Millisecond
	// callTimeout bounds a call to another keeper beyond the time that it may be
	// held.
	callTimeout = 700 * time.Millisecond
	// leaderlessBeforeJoin is how long a member hears no leader before it asks
	// whether it has been removed: some elections.
	leaderlessBeforeJoin = 4 * election
	// replaceAfter is how long a member is silent before a newcomer may take its
	// place: long enough for a restart.
	replaceAfter = 4 * time.Second
)

// self returns this member as others know it.
func (k *Keeper) self() *wire.Member {
	return &wire.Member{Id: k.Address, Address: k.Address, Incarnation: k.identity.GetIncarnation()}
}

// joinLoop asks the others to take this keeper in while it is not a member, and
// when it has heard no leader for long: it may have been removed meanwhile.
func (k *Keeper) joinLoop(ctx context.Context) error {
	heard := time.Now()
	return loop.Every(ctx, joinEvery, func() {
		s := k.node.Status()
		member := raft.IsMember(s.GetMembers(), k.self())
		if member && s.GetLeader() != "" {
			heard = time.Now()
			return
		}
		if member && time.Since(heard) < leaderlessBeforeJoin {
			return
		}
		k.askToJoin(ctx, s)
	})
}

// askToJoin sends the question to all keepers that are known, and to those that they
// name as leading: a new self knows the seeds only. The one that leads acts on it.
func (k *Keeper) askToJoin(ctx context.Context, s *wire.GroupStatus) {
	addresses := slices.Clone(k.Seeds())
	for _, m := range s.GetMembers() {
		addresses = append(addresses, m.GetAddress())
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	for _, a := range addresses {
		if a == k.Address {
			continue
		}
		go func() {
			leader := keeperclient.Leader(k.askOne(ctx, a))
			if leader != "" && leader != k.Address && !slices.Contains(addresses, leader) {
				_ = k.askOne(ctx, leader) // logged there
			}
		}()
	}
}

// askOne asks one keeper to take this one in.
func (k *Keeper) askOne(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := rpc.Call[wire.Empty](ctx, k.Pool.Get(address), "Fleet.Join", &wire.JoinRequest{Group: string(Group), Member: k.self()})
	if err != nil {
		k.Log.Debug("A keeper did not take this one in.", "keeper", address, "error", err)
	}
	return err
}

// promote gives a learner its vote.
func promote(ms *wire.Members, id string) *wire.Members {
	next := proto.CloneOf(ms)
	for _, m := range next.GetMembers() {
		if m.GetId() == id {
			m.Learner = false
		}
	}
	return next
}

// membersLoop acts at the leader: learners that have caught up get their vote,
// and a voter that is silent for long loses its place where that costs nothing:
// with an even number of voters, one fewer bears as many losses. A host that was
// replaced is so forgotten once its successor votes; one that comes back joins
// again.
func (k *Keeper) membersLoop(ctx context.Context) error {
	silentSince := make(map[string]time.Time)
	return loop.Every(ctx, membersEvery, func() {
		if !k.node.Leading() {
			clear(silentSince)
			return
		}
		active, err := k.node.PeersActive(ctx)
		if err != nil {
			return
		}
		members := k.node.Status().GetMembers()
		for _, m := range members {
			if m.GetLearner() && k.tryPromote(ctx, m) {
				return
			}
		}
		silent := longSilent(members, active, silentSince, k.Address, time.Now())
		if silent != "" && voters(members)%2 == 0 && voters(members) > minVoters {
			k.remove(ctx, silent)
		}
	})
}

// minVoters is the smallest number of voters that a silent one is removed from.
const minVoters = 2

// voters counts the members that vote.
func voters(ms []*wire.Member) int {
	n := 0
	for _, m := range ms {
		if !m.GetLearner() {
			n++
		}
	}
	return n
}

// longSilent returns a member that has been silent for long; empty for none. It
// keeps since when each one is.
func longSilent(members []*wire.Member, active map[string]bool, since map[string]time.Time, self string, now time.Time) string {
	longest := ""
	for _, m := range members {
		id := m.GetId()
		if id == self || active[id] {
			delete(since, id)
			continue
		}
		if _, ok := since[id]; !ok {
			since[id] = now
		}
		if now.Sub(since[id]) >= replaceAfter && (longest == "" || since[id].Before(since[longest])) {
			longest = id
		}
	}
	return longest
}

// tryPromote gives a learner its vote if it has caught up; it reports whether that
// was started.
func (k *Keeper) tryPromote(ctx context.Context, m *wire.Member) bool {
	if ok, err := k.node.CaughtUp(ctx, m.GetId()); err != nil || !ok {
		return false
	}
	started, err := k.node.ChangeMembers(ctx, func(ms *wire.Members) *wire.Members {
		if !raft.IsMember(ms.GetMembers(), m) {
			return nil
		}
		return promote(ms, m.GetId())
	})
	if err != nil || !started {
		return false
	}
	k.Log.Info("A keeper has caught up and votes.", "keeper", m.GetId())
	return true
}

// remove takes a member out of the group.
func (k *Keeper) remove(ctx context.Context, id string) {
	started, err := k.node.ChangeMembers(ctx, func(ms *wire.Members) *wire.Members { return raft.Without(ms, id) })
	k.Log.Info("A silent keeper gives up its place.", "keeper", id, "started", started, "error", err)
}
