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
	allotEvery = 250 * time.Millisecond
	// allotChunk bounds the budgets that one round looks at.
	allotChunk = 2000
)

// allotLoop sizes the halls' allotments where this keeper leads the ledger.
func (k *Keeper) allotLoop(ctx context.Context) error {
	next := ""
	return loop.Every(ctx, allotEvery, func() {
		if !k.money.node.IsLeader() {
			return
		}
		halls := k.liveHalls(ctx)
		grants := &wire.GrantBatch{}
		chunk := k.ledger.BudgetsAfter(next, allotChunk)
		for _, b := range chunk {
			next = b.GetBudget()
			grants.Grants = append(grants.Grants, k.allotBudget(b, halls)...)
		}
		if len(grants.GetGrants()) > 0 {
			k.try(ctx, "allotments", &wire.LedgerCommand{Command: &wire.LedgerCommand_Grants{Grants: grants}})
		}
		if len(chunk) < allotChunk {
			next = "" // that was the last one
		}
	})
}

// liveHalls returns the halls whose holders are in contact, with their
// incarnations.
func (k *Keeper) liveHalls(ctx context.Context) map[string]string {
	active, err := k.money.node.ActivePeers(ctx)
	if err != nil {
		return nil
	}
	halls := make(map[string]string)
	for _, h := range hallsOf(k.Config.Keepers) {
		holder, _ := keeperclient.Holder(h, k.Config.Keepers)
		if holder.ID != string(k.Config.Node) && !active[holder.ID] {
			continue
		}
		if i := k.incarnationOf(holder.ID); i != "" {
			halls[string(h)] = i
		}
	}
	return halls
}

// incarnationOf returns a keeper's incarnation as the ledger's group has it.
func (k *Keeper) incarnationOf(id string) string {
	for _, m := range k.money.node.Status().GetMembers() {
		if m.GetId() == id {
			return m.GetIncarnation()
		}
	}
	return ""
}

func hallsOf(keepers []config.Keeper) []sumachead.HallID {
	var halls []sumachead.HallID
	for _, k := range keepers {
		if !slices.Contains(halls, k.Hall) {
			halls = append(halls, k.Hall)
		}
	}
	return halls
}

// allotBudget recalls for one budget as the policy says, and returns what it
// grants.
func (k *Keeper) allotBudget(b *wire.BudgetState, live map[string]string) []*wire.Grant {
	in := allot.Input{Available: b.GetTotal() - b.GetSpent() - b.GetReserved() - b.GetAllotted()}
	held := make(map[string]*wire.Allotment)
	for _, a := range b.GetAllotments() {
		if a.GetKeeperIncarnation() == live[a.GetHall()] {
			held[a.GetHall()] = a
		}
	}
	var grants []*wire.Grant
	for _, h := range hallsOf(k.Config.Keepers) {
		_, isLive := live[string(h)]
		in.Halls = append(in.Halls, allot.Hall{
			ID: h, Live: isLive, Held: held[string(h)].GetHeld(),
			Demand: k.demand.Rate(b.GetBudget(), string(h), time.Now()),
		})
	}
	for _, step := range k.allotments.Plan(in) {
		hall := string(step.Hall)
		if step.Tokens < 0 {
			k.recall(held[hall], -step.Tokens)
			continue
		}
		grants = append(grants, &wire.Grant{
			Budget: b.GetBudget(), Hall: hall, KeeperIncarnation: live[hall], Amount: step.Tokens, Partial: true,
		})
	}
	return grants
}
