package keeper

import (
	"context"
	"time"

	"sumachead"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
)

// isTreeEmpty reports whether the settings tree has never been changed. Only a
// leader that has applied every entry that may be committed can tell.
func (k *Keeper) isTreeEmpty(ctx context.Context) bool {
	if _, revision, _ := k.settingsMachine.Current(); revision > 0 {
		return false
	}
	if k.settingsGroup.node.ReadBarrier(ctx) != nil {
		return false
	}
	_, revision, _ := k.settingsMachine.Current()
	return revision == 0
}

// connectedHalls reports, for each hall, whether the keeper of its journal is
// connected to this leader of the settings group.
func (k *Keeper) connectedHalls(ctx context.Context) map[sumachead.HallID]bool {
	active, err := k.settingsGroup.node.ActivePeers(ctx)
	if err != nil {
		return nil
	}
	halls := make(map[sumachead.HallID]bool)
	for _, h := range hallsWithKeepers(k.Config.Keepers) {
		journalKeeper, _ := keeperclient.JournalKeeper(h, k.Config.Keepers)
		halls[h] = journalKeeper.ID == string(k.Config.Node) || active[journalKeeper.ID]
	}
	return halls
}

// leadershipLoop tracks how long each group has had a leader and, while this
// keeper leads the settings group, its term and the connected halls.
func (k *Keeper) leadershipLoop(ctx context.Context) error {
	const (
		watchInterval      = 10 * time.Millisecond
		roundsPerHallCheck = 10
	)
	rounds := 0
	return loop.Every(ctx, watchInterval, func() {
		for _, g := range k.groups() {
			g.trackLeader(time.Now())
		}
		if s := k.settingsGroup.node.Status(); s.GetLeader() == string(k.Config.Node) {
			k.nodes.startTerm(s.GetTerm(), k.isTreeEmpty(ctx), time.Now())
			if rounds++; rounds%roundsPerHallCheck == 0 {
				k.nodes.recordConnectedHalls(k.connectedHalls(ctx), time.Now())
			}
		}
	})
}
