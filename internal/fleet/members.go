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
	// joinInterval is how often a keeper checks whether it is still a member, and asks to join if
	// it is not.
	joinInterval = 400 * time.Millisecond
	// memberCheckInterval is how often the leader checks the members.
	memberCheckInterval = 250 * time.Millisecond
	// callTimeout bounds a call to another keeper, in addition to the time that the other may hold
	// it.
	callTimeout = 700 * time.Millisecond
	// leaderlessTimeout is how long a member goes without a leader before it asks to join in case
	// it has been removed: several elections.
	leaderlessTimeout = 4 * electionTimeout
	// silentMemberTimeout is how long a member must be silent before a new member may replace it:
	// long enough for a restart.
	silentMemberTimeout = 4 * time.Second
)

// self returns this keeper as a member of the group.
func (k *Keeper) self() *wire.Member {
	return &wire.Member{Id: k.Address, Address: k.Address, Incarnation: k.identity.GetIncarnation()}
}

// joinLoop asks the others to add this keeper to the group while it is not a member, and when it
// has had no leader for long, since it may have been removed in the meantime.
func (k *Keeper) joinLoop(ctx context.Context) error {
	heard := time.Now()
	return loop.Every(ctx, joinInterval, func() {
		s := k.node.Status()
		member := raft.IsMember(s.GetMembers(), k.self())
		if member && s.GetLeader() != "" {
			heard = time.Now()
			return
		}
		if member && time.Since(heard) < leaderlessTimeout {
			return
		}
		k.requestJoin(ctx, s)
	})
}

// requestJoin sends the join request to all known keepers, and to the leaders that they name: a
// keeper with a new incarnation knows only the seeds. Only the leader acts on it.
func (k *Keeper) requestJoin(ctx context.Context, s *wire.GroupStatus) {
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
			leader := keeperclient.LeaderHint(k.requestJoinFrom(ctx, a))
			if leader != "" && leader != k.Address && !slices.Contains(addresses, leader) {
				_ = k.requestJoinFrom(ctx, leader) // requestJoinFrom logs the error
			}
		}()
	}
}

// requestJoinFrom asks one keeper to add this one to the group.
func (k *Keeper) requestJoinFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := rpc.Call[wire.Empty](ctx, k.Pool.Get(address), "Fleet.Join", &wire.JoinRequest{Group: string(Group), Member: k.self()})
	if err != nil {
		k.Log.Debug("Join request failed.", "keeper", address, "error", err)
	}
	return err
}

// withVote returns the members with a learner turned into a voter.
func withVote(ms *wire.Members, id string) *wire.Members {
	next := proto.CloneOf(ms)
	for _, m := range next.GetMembers() {
		if m.GetId() == id {
			m.Learner = false
		}
	}
	return next
}

// membersLoop manages the members while this keeper leads. Learners that have caught up become
// voters. A voter that is silent for long is removed if the number of voters is even, as the group
// then tolerates as many failures with one voter fewer. A replaced host is thus removed once its
// successor votes; if it comes back, it joins again.
func (k *Keeper) membersLoop(ctx context.Context) error {
	silentSince := make(map[string]time.Time)
	return loop.Every(ctx, memberCheckInterval, func() {
		if !k.node.IsLeader() {
			clear(silentSince)
			return
		}
		active, err := k.node.ActivePeers(ctx)
		if err != nil {
			return
		}
		members := k.node.Status().GetMembers()
		for _, m := range members {
			if m.GetLearner() && k.tryPromote(ctx, m) {
				return
			}
		}
		silent := longestSilent(members, active, silentSince, k.Address, time.Now())
		if silent != "" && countVoters(members)%2 == 0 && countVoters(members) > minVoters {
			k.remove(ctx, silent)
		}
	})
}

// minVoters is the number of voters at or below which no silent voter is removed.
const minVoters = 2

// countVoters counts the voting members.
func countVoters(ms []*wire.Member) int {
	n := 0
	for _, m := range ms {
		if !m.GetLearner() {
			n++
		}
	}
	return n
}

// longestSilent returns the member that has been silent longest, if that exceeds
// silentMemberTimeout, or else an empty string. It maintains in since when the silence of each
// member began.
func longestSilent(members []*wire.Member, active map[string]bool, since map[string]time.Time, self string, now time.Time) string {
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
		if now.Sub(since[id]) >= silentMemberTimeout && (longest == "" || since[id].Before(since[longest])) {
			longest = id
		}
	}
	return longest
}

// tryPromote makes a learner a voter if it has caught up. It reports whether the change was
// started.
func (k *Keeper) tryPromote(ctx context.Context, m *wire.Member) bool {
	if ok, err := k.node.CaughtUp(ctx, m.GetId()); err != nil || !ok {
		return false
	}
	started, err := k.node.ChangeMembers(ctx, func(ms *wire.Members) *wire.Members {
		if !raft.IsMember(ms.GetMembers(), m) {
			return nil
		}
		return withVote(ms, m.GetId())
	})
	if err != nil || !started {
		return false
	}
	k.Log.Info("Learner has caught up and is now a voter.", "keeper", m.GetId())
	return true
}

// remove removes a member from the group.
func (k *Keeper) remove(ctx context.Context, id string) {
	started, err := k.node.ChangeMembers(ctx, func(ms *wire.Members) *wire.Members { return raft.WithoutMember(ms, id) })
	k.Log.Info("Removing a silent keeper from the group.", "keeper", id, "started", started, "error", err)
}
