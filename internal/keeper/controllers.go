package keeper

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/settings"
	"sumachead/internal/strictjson"
)

const (
	// EntryRetention is how long a finished entry is kept to detect duplicates
	// of its key.
	EntryRetention  = 30 * time.Minute
	expiryInterval  = time.Second
	membersInterval = 300 * time.Millisecond
	totalsInterval  = 20 * time.Millisecond
)

// runControllers starts the control loops. Most of them act only while this
// keeper leads the group they concern.
func (k *Keeper) runControllers(ctx context.Context, tasks *errgroup.Group) {
	loops := []func(context.Context) error{
		k.joinLoop, k.totalsLoop, k.expiryLoop, k.membersLoop, k.leadershipLoop,
		k.allotLoop, k.hallTopupsLoop,
	}
	if k.holdsJournal {
		loops = append(loops, k.journal.Run, k.mergeLoop, k.journalExpiryLoop)
	}
	for _, f := range loops {
		tasks.Go(func() error { return f(ctx) })
	}
}

// totalsLoop copies the totals of the budgets from the settings tree to the
// ledger. It runs on the ledger's leader and reads its local copy of the tree.
func (k *Keeper) totalsLoop(ctx context.Context) error {
	return loop.Every(ctx, totalsInterval, func() {
		tree, revision, _ := k.settingsMachine.Current()
		if !k.ledgerGroup.node.IsLeader() || revision <= k.ledger.TotalsRevision() {
			return
		}
		totals := &wire.SetTotals{Revision: revision}
		for id := range tree.Objects().Budgets {
			total, hallTopups := tree.Total(id)
			if b := k.ledger.Budget(sumachead.BudgetID(id)); b != nil && b.GetTotal() == int64(total) && len(hallTopups) == 0 {
				continue
			}
			totals.Totals = append(totals.Totals, &wire.BudgetTotal{Budget: id, Total: int64(total), HallTopups: hallTopups})
		}
		k.proposeOrLog(ctx, "totals", &wire.LedgerCommand{Command: &wire.LedgerCommand_Totals{Totals: totals}})
	})
}

// expiryLoop bills overdue entries of the ledger at their presumed cost and
// deletes finished ones after EntryRetention.
func (k *Keeper) expiryLoop(ctx context.Context) error {
	return loop.Every(ctx, expiryInterval, func() {
		if !k.ledgerGroup.node.IsLeader() {
			return
		}
		now := time.Now()
		k.proposeOrLog(ctx, "expiry", &wire.LedgerCommand{Command: &wire.LedgerCommand_Expire{Expire: &wire.Expire{
			NowUnixNano:           now.UnixNano(),
			RetainBeforeUnixNano:  now.Add(-EntryRetention).UnixNano(),
			PresumeBeforeUnixNano: now.Add(-k.Config.PresumeAfter.Duration).UnixNano(),
		}}})
	})
}

// journalExpiryLoop does the same as expiryLoop for the hall's journal.
func (k *Keeper) journalExpiryLoop(ctx context.Context) error {
	return loop.Every(ctx, expiryInterval, func() {
		now := time.Now()
		if err := k.journal.Expire(now, now.Add(-k.Config.PresumeAfter.Duration)); err != nil && ctx.Err() == nil {
			k.Log.Warn("Expiring journal entries failed.", "error", err)
		}
	})
}

// proposeTopup proposes to add a hall's top-up to the settings tree, based on
// the given revision.
func (k *Keeper) proposeTopup(ctx context.Context, revision uint64, budget, id string, tokens int64) error {
	hall := keeperclient.HallOf(id, k.Config.Keepers)
	object, err := strictjson.Encode(settings.Topup{Tokens: sumachead.Tokens(tokens), Hall: hall})
	if err != nil {
		return err
	}
	data, err := proto.Marshal(&wire.ChangeRequest{
		ChangeId: "hall-topup/" + budget + "/" + id, BaseRevision: revision, Author: string(k.Config.Node),
		AtUnixNano: time.Now().UnixNano(),
		Objects:    []*wire.SettingsObject{{Path: settings.KindTopups + "/" + budget + "/" + id, Json: object}},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err = k.settingsGroup.node.Propose(ctx, data)
	return trace.Wrap(err)
}

// proposeOrLog proposes a command and logs a failure: the control loop retries
// in its next round.
func (k *Keeper) proposeOrLog(ctx context.Context, controller string, c *wire.LedgerCommand) {
	if _, err := k.propose(ctx, c); err != nil && ctx.Err() == nil {
		k.Log.Warn("A controller's command failed.", "controller", controller, "error", err)
	}
}

// membersLoop promotes learners that have caught up to voters.
func (k *Keeper) membersLoop(ctx context.Context) error {
	return loop.Every(ctx, membersInterval, func() {
		for _, g := range k.groups() {
			if g.node.IsLeader() {
				k.promote(ctx, g)
			}
		}
	})
}

func (k *Keeper) promote(ctx context.Context, g *group) {
	for _, m := range g.node.Status().GetMembers() {
		if !m.GetLearner() {
			continue
		}
		if ok, err := g.node.CaughtUp(ctx, m.GetId()); err != nil || !ok {
			continue
		}
		started, err := g.node.ChangeMembers(ctx, func(ms *wire.Members) *wire.Members {
			next := proto.CloneOf(ms)
			for _, x := range next.GetMembers() {
				if x.GetId() == m.GetId() && x.GetIncarnation() == m.GetIncarnation() {
					x.Learner = false
				}
			}
			return next
		})
		if err == nil && started {
			k.Log.Info("Keeper has caught up and was promoted to voter.", "group", g.node.Group, "keeper", m.GetId())
			return
		}
	}
}
