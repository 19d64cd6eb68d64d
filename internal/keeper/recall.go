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
	// recallBackoff is how long no recalls are sent to a hall after one failed.
	recallBackoff = time.Second
	// recallFactor is the number of requests of the current size that one recall
	// covers.
	recallFactor = 16
)

// Grant grants tokens to the journal of a hall, and recalls them from other halls
// if necessary.
func (s *ledgerService) Grant(g *wire.Grant, reply *wire.LedgerReply) error {
	c := &wire.LedgerCommand{Command: &wire.LedgerCommand_Grant{Grant: g}}
	err := s.keeper.proposeReply(c, reply)
	if err == nil && s.keeper.recallOnShortfall(g.GetBudget(), g.GetAmount(), g.GetHall(), reply) {
		return s.keeper.proposeReply(c, reply)
	}
	return err
}

// recallOnShortfall recalls tokens if a budget was exhausted while other halls
// hold some of it. It reports whether a retry may succeed.
func (k *Keeper) recallOnShortfall(budget string, amount int64, except string, reply *wire.LedgerReply) bool {
	if !k.allotPolicy.Recalls() || reply.GetCode() != wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED || reply.GetBudget().GetAllotted() == 0 {
		return false
	}
	recalled, _, _ := k.recalls.calls.Do(budget, func() (any, error) {
		return k.recallFromHalls(reply.GetBudget(), amount, except), nil
	})
	return recalled.(bool)
}

func (k *Keeper) recallFromHalls(b *wire.BudgetState, amount int64, except string) bool {
	recalled := false
	for _, a := range b.GetAllotments() {
		if a.GetHeld() > 0 && a.GetHall() != except && k.recall(a, max(amount*recallFactor, a.GetHeld()/2)) {
			recalled = true
		}
	}
	return recalled
}

// recall recalls tokens from one hall and reports whether that succeeded.
func (k *Keeper) recall(a *wire.Allotment, amount int64) bool {
	journalKeeper, ok := keeperclient.JournalKeeper(sumachead.HallID(a.GetHall()), k.Config.Keepers)
	if !ok || !k.recalls.isAllowed(journalKeeper.ID, time.Now()) || k.incarnationOf(journalKeeper.ID) != a.GetKeeperIncarnation() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
	defer cancel()
	_, err := rpc.Call[wire.Empty](ctx, k.Pool.Get(journalKeeper.Address), "Hall.Recall",
		&wire.RecallRequest{Budget: a.GetBudget(), Amount: amount})
	if err != nil {
		k.recalls.backOff(journalKeeper.ID, time.Now())
	}
	return err == nil
}

// recallState suppresses recalls to halls that recently failed to reply.
type recallState struct {
	// calls lets concurrent shortfalls of the same budget share one recall.
	calls singleflight.Group

	mu           sync.Mutex // guards backoffUntil
	backoffUntil map[string]time.Time
}

func (r *recallState) isAllowed(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.After(r.backoffUntil[id])
}

func (r *recallState) backOff(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backoffUntil == nil {
		r.backoffUntil = make(map[string]time.Time)
	}
	r.backoffUntil[id] = now.Add(recallBackoff)
}
