package keeper

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/rpc"
)

const (
	recallTimeout = 300 * time.Millisecond
	// recallDownFor is how long a hall that did not answer a recall is left
	// alone.
	recallDownFor = time.Second
	// recallFactor is how many requests of the size at hand a recall covers.
	recallFactor = 16
)

// Grant gives tokens to a hall's journal, recalling them from other halls if
// need be.
func (s *ledgerService) Grant(g *wire.Grant, reply *wire.LedgerReply) error {
	c := &wire.LedgerCommand{Command: &wire.LedgerCommand_Grant{Grant: g}}
	err := s.keeper.proposeReply(c, reply)
	if err == nil && s.keeper.recallFor(g.GetBudget(), g.GetAmount(), g.GetHall(), reply) {
		return s.keeper.proposeReply(c, reply)
	}
	return err
}

// recallFor recalls tokens when a budget refused although other halls hold
// some; it reports whether trying again makes sense.
func (k *Keeper) recallFor(budget string, amount int64, but string, reply *wire.LedgerReply) bool {
	if !k.allotments.Recalls() || reply.GetCode() != wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED || reply.GetBudget().GetAllotted() == 0 {
		return false
	}
	recalled, _, _ := k.recalls.group.Do(budget, func() (any, error) {
		return k.recallAll(reply.GetBudget(), amount, but), nil
	})
	return recalled.(bool)
}

func (k *Keeper) recallAll(b *wire.BudgetState, amount int64, but string) bool {
	recalled := false
	for _, a := range b.GetAllotments() {
		if a.GetHeld() > 0 && a.GetHall() != but && k.recall(a, max(amount*recallFactor, a.GetHeld()/2)) {
			recalled = true
		}
	}
	return recalled
}

// recall asks one hall for tokens.
func (k *Keeper) recall(a *wire.Allotment, amount int64) bool {
	holder, ok := keeperclient.Holder(sumachead.HallID(a.GetHall()), k.Config.Keepers)
	if !ok || !k.recalls.enter(holder.ID, time.Now()) || k.incarnationOf(holder.ID) != a.GetKeeperIncarnation() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
	defer cancel()
	_, err := rpc.Call[wire.Empty](ctx, k.Pool.Get(holder.Address), "Hall.Recall",
		&wire.RecallRequest{Budget: a.GetBudget(), Amount: amount})
	if err != nil {
		k.recalls.down(holder.ID, time.Now())
	}
	return err == nil
}

// recallState keeps recalls away from halls that do not answer.
type recallState struct {
	// group lets those who need the same budget share one recall.
	group singleflight.Group

	mu    sync.Mutex // guards until
	until map[string]time.Time
}

func (r *recallState) enter(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.After(r.until[id])
}

func (r *recallState) down(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[id] = now.Add(recallDownFor)
}
