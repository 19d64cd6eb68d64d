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

// maxSyncWait bounds how long a sync call waits for a new revision.
const maxSyncWait = 2 * time.Second

// acceptTimeout bounds how long a change waits until all nodes apply it. It
// exceeds the freshness lease, after which an unreachable node has stopped itself.
const acceptTimeout = settings.FreshnessLease + 3*time.Second

// cutOffReportDelay is how long a keeper has no leader before it reports that it
// is cut off. A leader detects sooner that the keeper is disconnected, and accepts
// no change while nodes may rely on such a report.
const cutOffReportDelay = 2 * raft.DefaultElectionTimeout

// settingsService serves the settings tree to nodes and operators.
type settingsService struct{ keeper *Keeper }

// Change commits a change and replies once all nodes apply it, or with COMMITTED
// and the nodes that do not apply it yet.
func (s *settingsService) Change(r *wire.ChangeRequest, reply *wire.ChangeReply) error {
	if r.GetChangeId() == "" {
		return trace.BadParameter("a change needs an id")
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	cutOff := s.keeper.cutOffHalls(r.GetHallsDown())
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	result, err := s.keeper.settingsGroup.node.Propose(ctx, data)
	if err != nil {
		return keeperclient.EncodeError(err)
	}
	proto.Merge(reply, result.(*wire.ChangeReply))
	if reply.GetStatus() != wire.ChangeStatus_CHANGE_STATUS_COMMITTED {
		return nil
	}
	if affectsNodes(s.keeper.settingsMachine.CommittedObjects(r)) {
		cutOff = append(cutOff, s.keeper.cutOffHalls(r.GetHallsDown())...)
		reply.WaitingFor = s.keeper.awaitNodes(reply.GetRevision(), cutOff)
	}
	reply.WaitingFor = append(reply.WaitingFor, s.keeper.awaitLedger(reply.GetRevision())...)
	if len(reply.GetWaitingFor()) == 0 {
		reply.Status = wire.ChangeStatus_CHANGE_STATUS_ACCEPTED
	}
	return nil
}

// cutOffHalls lists the halls that serve while cut off according to the current
// settings tree, except those that the operator knows to be down.
func (k *Keeper) cutOffHalls(down []string) []sumachead.HallID {
	tree, _, _ := k.settingsMachine.Current()
	return slices.DeleteFunc(tree.HallsServingCutOff(), func(h sumachead.HallID) bool {
		return slices.Contains(down, string(h))
	})
}

// affectsNodes reports whether routers or agents use any of the objects. Only the
// ledger uses budgets and top-ups.
func affectsNodes(objects []*wire.SettingsObject) bool {
	return slices.ContainsFunc(objects, func(o *wire.SettingsObject) bool {
		kind := settings.Kind(o.GetPath())
		return kind != settings.KindTopups && kind != settings.KindBudgets
	})
}

// awaitLedger waits until the ledger has applied the totals of a revision, and
// returns what is still missing when the timeout expires.
func (k *Keeper) awaitLedger(revision uint64) []string {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	loop.Until(ctx, pollInterval, func() bool { return k.ledger.TotalsRevision() >= revision })
	if ctx.Err() != nil {
		return []string{"the ledger"}
	}
	return nil
}

// awaitNodes waits until every node that may still work has the revision. It
// returns the nodes that still lack it when the timeout expires, and those of the
// cutOff halls that are unreachable.
func (k *Keeper) awaitNodes(revision uint64, cutOff []sumachead.HallID) []string {
	slices.Sort(cutOff)
	cutOff = slices.Compact(cutOff)
	deadline := time.Now().Add(acceptTimeout)
	for {
		st := k.settingsGroup.node.Status()
		if st.GetLeader() != string(k.Config.Node) {
			return []string{"a new leader"}
		}
		missing, changed := k.nodes.outdatedNodes(revision, st.GetTerm(), time.Now())
		missing = append(missing, k.nodes.unreachableHalls(cutOff, time.Now())...)
		if len(missing) == 0 || time.Now().After(deadline) {
			return missing
		}
		const pollInterval = 20 * time.Millisecond
		select {
		case <-changed:
		case <-time.After(pollInterval):
		}
	}
}

// Sync sends a node the changes that it lacks. A leader with a quorum lease
// confirms that the node is current as of its call; any other keeper sends what
// it has.
func (s *settingsService) Sync(r *wire.SyncRequest, reply *wire.SyncReply) error {
	k := s.keeper
	k.nodes.observe(r, time.Now())
	s.awaitNewRevision(r)
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	current := k.settingsGroup.node.ReadBarrier(ctx) == nil
	if current {
		// The lease is recorded before the reply is sent. The node counts its
		// own lease from its call, so that one expires first.
		k.nodes.recordLease(r, time.Now())
	}
	changes, err := k.settingsMachine.Sync(r)
	if err != nil {
		return err
	}
	proto.Merge(reply, changes)
	reply.Current = current
	reply.Leader = k.settingsGroup.node.Status().GetLeader()
	reply.CutOff = k.settingsGroup.leaderlessFor(time.Now()) >= cutOffReportDelay
	return nil
}

// awaitNewRevision waits until there is a newer revision than the node's, at most
// as long as the node allows (long poll).
func (s *settingsService) awaitNewRevision(r *wire.SyncRequest) {
	_, revision, changed := s.keeper.settingsMachine.Current()
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxSyncWait)
	if revision != r.GetRevision() || r.GetSession() == "" || wait <= 0 {
		return
	}
	select {
	case <-changed:
	case <-time.After(wait):
	}
}

// Read returns the whole settings tree. The read is linearizable.
func (s *settingsService) Read(_ *wire.Empty, reply *wire.SyncReply) error {
	if err := s.keeper.settingsGroup.readBarrier(); err != nil {
		return err
	}
	changes, err := s.keeper.settingsMachine.Sync(&wire.SyncRequest{})
	if err != nil {
		return err
	}
	proto.Merge(reply, changes)
	return nil
}

// History returns the retained changes.
func (s *settingsService) History(r *wire.HistoryRequest, reply *wire.HistoryReply) error {
	if err := s.keeper.settingsGroup.readBarrier(); err != nil {
		return err
	}
	proto.Merge(reply, s.keeper.settingsMachine.History(r))
	return nil
}
