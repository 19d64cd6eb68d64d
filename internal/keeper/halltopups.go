package keeper

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"sumachead/internal/loop"
)

const topupsEvery = 500 * time.Millisecond

// hallTopupsLoop writes top-ups that halls took while cut off into the tree.
func (k *Keeper) hallTopupsLoop(ctx context.Context) error {
	return loop.Every(ctx, topupsEvery, func() {
		if !k.settings.node.IsLeader() {
			return
		}
		for budget, topups := range k.ledger.HallTopups() {
			for id, tokens := range topups {
				if err := k.recordTopup(ctx, budget, id, tokens); err != nil {
					k.Log.Warn("A hall's top-up was not written into the tree.", "budget", budget, "topup", id, "error", err)
				}
			}
		}
	})
}

func (k *Keeper) recordTopup(ctx context.Context, budget, id string, tokens int64) error {
	tree, revision, _ := k.machine.Current()
	if _, ok := tree.Objects().Topups[budget][id]; ok {
		return nil
	}
	if _, ok := tree.Objects().Budgets[budget]; !ok {
		return trace.NotFound("the tree has no budget %q", budget)
	}
	return k.proposeTopup(ctx, revision, budget, id, tokens)
}
