package keeper

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"sumachead/internal/loop"
)

const topupsInterval = 500 * time.Millisecond

// hallTopupsLoop copies top-ups that halls accepted while cut off into the
// settings tree.
func (k *Keeper) hallTopupsLoop(ctx context.Context) error {
	return loop.Every(ctx, topupsInterval, func() {
		if !k.settingsGroup.node.IsLeader() {
			return
		}
		for budget, topups := range k.ledger.HallTopups() {
			for id, tokens := range topups {
				if err := k.recordTopup(ctx, budget, id, tokens); err != nil {
					k.Log.Warn("Writing a hall's top-up to the settings tree failed.", "budget", budget, "topup", id, "error", err)
				}
			}
		}
	})
}

func (k *Keeper) recordTopup(ctx context.Context, budget, id string, tokens int64) error {
	tree, revision, _ := k.settingsMachine.Current()
	if _, ok := tree.Objects().Topups[budget][id]; ok {
		return nil
	}
	if _, ok := tree.Objects().Budgets[budget]; !ok {
		return trace.NotFound("the tree has no budget %q", budget)
	}
	return k.proposeTopup(ctx, revision, budget, id, tokens)
}
