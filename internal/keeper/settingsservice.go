package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/raft"
	"sumachead/internal/settings"
)

// maxSyncWait bounds how long a sync call is held.
const maxSyncWait = 2 * time.Second

// acceptWait bounds how long a change waits to be in force everywhere. It is
// more than the currency lease, after which a silent node has stopped itself.
const acceptWait = settings.CurrencyLease + 3*time.Second

// silentAfter is how long a keeper has no leader before it says that it is cut
// off. A leader notices sooner that it has lost the keeper, and lets no change
// pass for accepted in the time that nodes then go by the keeper's word.
const silentAfter = 2 * raft.DefaultElectionTimeout

// settingsService serves the settings tree to nodes and operators.
type settingsService struct{ keeper *Keeper }

// Change commits a change and answers once it is in force everywhere, or with
// COMMITTED and the nodes it still waits for.
func (s *settingsService) Change(r *wire.ChangeRequest, reply *wire.ChangeReply) error {
	if r.GetChangeId() == "" {
		return trace.BadParameter("a change needs an id")
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	serving := s.keeper.cutOffHalls(r.GetHallsDown())
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	result, err := s.keeper.settings.node.Propose(ctx, data)
	if err != nil {
		return keeperclient.EncodeError(err)
	}
	proto.Merge(reply, result.(*wire.ChangeReply))
	if reply.GetStatus() != wire.ChangeStatus_CHANGE_STATUS_COMMITTED {
		return nil
	}
	if concernsNodes(s.keeper.machine.ChangedBy(r)) {
		serving = append(serving, s.keeper.cutOffHalls(r.GetHallsDown())...)
		reply.WaitingFor = s.keeper.awaitNodes(reply.GetRevision(), serving)
	}
	reply.WaitingFor = append(reply.WaitingFor, s.keeper.awaitLedger(reply.GetRevision())...)
	if len(reply.GetWaitingFor()) == 0 {
		reply.Status = wire.ChangeStatus_CHANGE_STATUS_ACCEPTED
	}
	return nil
}

// cutOffHalls lists the halls that serve while cut off, by the tree as it is
// now, but for those that the operator knows to be down.
func (k *Keeper) cutOffHalls(down []string) []sumachead.HallID {
	tree, _, _ := k.machine.Current()
	return slices.DeleteFunc(tree.CutOffHalls(), func(h sumachead.HallID) bool {
		return slices.Contains(down, string(h))
	})
}

// concernsNodes reports whether routers or agents go by any of the objects.
// Budgets and top-ups are the ledger's alone.
func concernsNodes(objects []*wire.SettingsObject) bool {
	return slices.ContainsFunc(objects, func(o *wire.SettingsObject) bool {
		kind := settings.Kind(o.GetPath())
		return kind != settings.KindTopups && kind != settings.KindBudgets
	})
}

// awaitLedger waits until the ledger counts with a revision's totals.
func (k *Keeper) awaitLedger(revision uint64) []string {
	ctx, cancel := context.WithTimeout(context.Background(), acceptWait)
	defer cancel()
	loop.Until(ctx, pollEvery, func() bool { return k.ledger.TotalsRevision() >= revision })
	if ctx.Err() != nil {
		return []string{"the ledger"}
	}
	return nil
}

// awaitNodes waits until every node that may still work has a revision, and
// returns the nodes, and the halls out of contact among those that serve then,
// that are missing when the time is up.
func (k *Keeper) awaitNodes(revision uint64, serving []sumachead.HallID) []string {
	slices.Sort(serving)
	serving = slices.Compact(serving)
	deadline := time.Now().Add(acceptWait)
	for {
		st := k.settings.node.Status()
		if st.GetLeader() != string(k.Config.Node) {
			return []string{"a new leader"}
		}
		missing, changed := k.nodes.missing(revision, st.GetTerm(), time.Now())
		missing = append(missing, k.nodes.silentHalls(serving, time.Now())...)
		if len(missing) == 0 || time.Now().After(deadline) {
			return missing
		}
		const pollEvery = 20 * time.Millisecond
		select {
		case <-changed:
		case <-time.After(pollEvery):
		}
	}
}

// Sync tells a node what it lacks. A leader that holds its quorum lease answers
// that the node was current when it asked; another keeper tells what it has.
func (s *settingsService) Sync(r *wire.SyncRequest, reply *wire.SyncReply) error {
	k := s.keeper
	k.nodes.saw(r, time.Now())
	s.holdSync(r)
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	current := k.settings.node.ReadBarrier(ctx) == nil
	if current {
		// The lease is noted before the answer leaves: the node's own starts
		// when it asked, so it ends first.
		k.nodes.lease(r, time.Now())
	}
	answer, err := k.machine.Sync(r)
	if err != nil {
		return err
	}
	proto.Merge(reply, answer)
	reply.Current = current
	reply.Leader = k.settings.node.Status().GetLeader()
	reply.CutOff = k.settings.leaderlessFor(time.Now()) >= silentAfter
	return nil
}

// holdSync waits for a revision beyond the node's, for as long as it allows.
func (s *settingsService) holdSync(r *wire.SyncRequest) {
	_, revision, changed := s.keeper.machine.Current()
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxSyncWait)
	if revision != r.GetRevision() || r.GetSession() == "" || wait <= 0 {
		return
	}
	select {
	case <-changed:
	case <-time.After(wait):
	}
}

// Read returns the whole tree; the answer is linearizable.
func (s *settingsService) Read(_ *wire.Empty, reply *wire.SyncReply) error {
	if err := s.keeper.settings.readBarrier(); err != nil {
		return err
	}
	answer, err := s.keeper.machine.Sync(&wire.SyncRequest{})
	if err != nil {
		return err
	}
	proto.Merge(reply, answer)
	return nil
}

// History shows the kept changes.
func (s *settingsService) History(r *wire.HistoryRequest, reply *wire.HistoryReply) error {
	if err := s.keeper.settings.readBarrier(); err != nil {
		return err
	}
	proto.Merge(reply, s.keeper.machine.History(r))
	return nil
}
