package keeper

import (
	"context"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/allot"
	"sumachead/internal/config"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
)

const (
	allotInterval = 250 * time.Millisecond
	// maxBudgetsPerRound bounds the number of budgets that one round examines.
	maxBudgetsPerRound = 2000
)

// allotLoop adjusts the allotments of the halls while this keeper leads the
// ledger group.
func (k *Keeper) allotLoop(ctx context.Context) error {
	next := ""
	return loop.Every(ctx, allotInterval, func() {
		if !k.ledgerGroup.node.IsLeader() {
			return
		}
		halls := k.connectedJournals(ctx)
		grants := &wire.GrantBatch{}
		chunk := k.ledger.BudgetsAfter(next, maxBudgetsPerRound)
		for _, b := range chunk {
			next = b.GetBudget()
			grants.Grants = append(grants.Grants, k.allotBudget(b, halls)...)
		}
		if len(grants.GetGrants()) > 0 {
			k.proposeOrLog(ctx, "allotments", &wire.LedgerCommand{Command: &wire.LedgerCommand_Grants{Grants: grants}})
		}
		if len(chunk) < maxBudgetsPerRound {
			next = "" // start over after the last budget
		}
	})
}

// connectedJournals returns the incarnations of the keepers that hold a hall's
// journal and are connected, by hall.
func (k *Keeper) connectedJournals(ctx context.Context) map[string]string {
	active, err := k.ledgerGroup.node.ActivePeers(ctx)
	if err != nil {
		return nil
	}
	halls := make(map[string]string)
	for _, h := range hallsWithKeepers(k.Config.Keepers) {
		journalKeeper, _ := keeperclient.JournalKeeper(h, k.Config.Keepers)
		if journalKeeper.ID != string(k.Config.Node) && !active[journalKeeper.ID] {
			continue
		}
		if i := k.incarnationOf(journalKeeper.ID); i != "" {
			halls[string(h)] = i
		}
	}
	return halls
}

// incarnationOf returns the incarnation of a keeper in the ledger group's
// membership, or "" if it is not a member.
func (k *Keeper) incarnationOf(id string) string {
	for _, m := range k.ledgerGroup.node.Status().GetMembers() {
		if m.GetId() == id {
			return m.GetIncarnation()
		}
	}
	return ""
}

func hallsWithKeepers(keepers []config.Keeper) []sumachead.HallID {
	var halls []sumachead.HallID
	for _, k := range keepers {
		if !slices.Contains(halls, k.Hall) {
			halls = append(halls, k.Hall)
		}
	}
	return halls
}

// allotBudget runs the allotment policy for one budget: it carries out the
// recalls and returns the grants.
func (k *Keeper) allotBudget(b *wire.BudgetState, incarnations map[string]string) []*wire.Grant {
	in := allot.Input{Available: b.GetTotal() - b.GetSpent() - b.GetReserved() - b.GetAllotted()}
	held := make(map[string]*wire.Allotment)
	for _, a := range b.GetAllotments() {
		if a.GetKeeperIncarnation() == incarnations[a.GetHall()] {
			held[a.GetHall()] = a
		}
	}
	var grants []*wire.Grant
	for _, h := range hallsWithKeepers(k.Config.Keepers) {
		_, connected := incarnations[string(h)]
		in.Halls = append(in.Halls, allot.Hall{
			ID: h, Connected: connected, Held: held[string(h)].GetHeld(),
			Demand: k.demand.Rate(b.GetBudget(), string(h), time.Now()),
		})
	}
	for _, step := range k.allotPolicy.Plan(in) {
		hall := string(step.Hall)
		if step.Tokens < 0 {
			k.recall(held[hall], -step.Tokens)
			continue
		}
		grants = append(grants, &wire.Grant{
			Budget: b.GetBudget(), Hall: hall, KeeperIncarnation: incarnations[hall], Amount: step.Tokens, Partial: true,
		})
	}
	return grants
}
