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
	// EntryRetention is how long an ended entry answers for its key.
	EntryRetention = 30 * time.Minute
	expireEvery    = time.Second
	membersEvery   = 300 * time.Millisecond
	totalsEvery    = 20 * time.Millisecond
)

// runControllers starts the loops that act where this keeper leads.
func (k *Keeper) runControllers(ctx context.Context, tasks *errgroup.Group) {
	loops := []func(context.Context) error{
		k.joinLoop, k.totalsLoop, k.expiryLoop, k.membersLoop, k.leadershipLoop,
		k.allotLoop, k.hallTopupsLoop,
	}
	if k.holds {
		loops = append(loops, k.journal.Run, k.mergeLoop, k.journalExpiryLoop)
	}
	for _, f := range loops {
		tasks.Go(func() error { return f(ctx) })
	}
}

// totalsLoop carries the budgets' totals from the settings tree to the ledger.
// It works at the ledger's leader, from its own copy of the tree.
func (k *Keeper) totalsLoop(ctx context.Context) error {
	return loop.Every(ctx, totalsEvery, func() {
		tree, revision, _ := k.machine.Current()
		if !k.money.node.IsLeader() || revision <= k.ledger.TotalsRevision() {
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
		k.try(ctx, "totals", &wire.LedgerCommand{Command: &wire.LedgerCommand_Totals{Totals: totals}})
	})
}

// expiryLoop presumes and forgets entries.
func (k *Keeper) expiryLoop(ctx context.Context) error {
	return loop.Every(ctx, expireEvery, func() {
		if !k.money.node.IsLeader() {
			return
		}
		now := time.Now()
		k.try(ctx, "expiry", &wire.LedgerCommand{Command: &wire.LedgerCommand_Expire{Expire: &wire.Expire{
			NowUnixNano:           now.UnixNano(),
			RetainBeforeUnixNano:  now.Add(-EntryRetention).UnixNano(),
			PresumeBeforeUnixNano: now.Add(-k.Config.PresumeAfter.Duration).UnixNano(),
		}}})
	})
}

// journalExpiryLoop presumes and forgets entries of the hall's journal.
func (k *Keeper) journalExpiryLoop(ctx context.Context) error {
	return loop.Every(ctx, expireEvery, func() {
		now := time.Now()
		if err := k.journal.Expire(now, now.Add(-k.Config.PresumeAfter.Duration)); err != nil && ctx.Err() == nil {
			k.Log.Warn("Expiry in the journal failed.", "error", err)
		}
	})
}

// proposeTopup adds a hall's top-up to the tree at a revision.
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
	_, err = k.settings.node.Propose(ctx, data)
	return trace.Wrap(err)
}

// try proposes a command; a failure is logged and the loop comes back to it.
func (k *Keeper) try(ctx context.Context, controller string, c *wire.LedgerCommand) {
	if _, err := k.propose(ctx, c); err != nil && ctx.Err() == nil {
		k.Log.Warn("A controller's command failed.", "controller", controller, "error", err)
	}
}

// membersLoop gives learners that have caught up their vote.
func (k *Keeper) membersLoop(ctx context.Context) error {
	return loop.Every(ctx, membersEvery, func() {
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
			k.Log.Info("Keeper has caught up and votes.", "group", g.node.Group, "keeper", m.GetId())
			return
		}
	}
}
