package keeper

import (
	"context"
	"time"

	"sumachead"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
)

// treeIsEmpty reports whether no change was ever made. Only a leader that has
// applied all that may be committed can tell.
func (k *Keeper) treeIsEmpty(ctx context.Context) bool {
	if _, revision, _ := k.machine.Current(); revision > 0 {
		return false
	}
	if k.settings.node.ReadBarrier(ctx) != nil {
		return false
	}
	_, revision, _ := k.machine.Current()
	return revision == 0
}

// contacts reports which halls' keepers are in contact with this leader of the
// settings group.
func (k *Keeper) contacts(ctx context.Context) map[sumachead.HallID]bool {
	active, err := k.settings.node.ActivePeers(ctx)
	if err != nil {
		return nil
	}
	halls := make(map[sumachead.HallID]bool)
	for _, h := range hallsOf(k.Config.Keepers) {
		holder, _ := keeperclient.Holder(h, k.Config.Keepers)
		halls[h] = holder.ID == string(k.Config.Node) || active[holder.ID]
	}
	return halls
}

// leadershipLoop notes when this keeper begins to lead the settings group.
func (k *Keeper) leadershipLoop(ctx context.Context) error {
	const (
		watchEvery   = 10 * time.Millisecond
		contactEvery = 10 // rounds
	)
	rounds := 0
	return loop.Every(ctx, watchEvery, func() {
		for _, g := range k.groups() {
			g.noteLeader(time.Now())
		}
		if s := k.settings.node.Status(); s.GetLeader() == string(k.Config.Node) {
			k.nodes.lead(s.GetTerm(), k.treeIsEmpty(ctx), time.Now())
			if rounds++; rounds%contactEvery == 0 {
				k.nodes.contact(k.contacts(ctx), time.Now())
			}
		}
	})
}
