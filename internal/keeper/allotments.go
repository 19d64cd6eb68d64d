package keeper

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/singleflight"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/allot"
	"sumachead/internal/config"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

const (
	mergeEvery   = 50 * time.Millisecond
	mergeBatch   = 1000
	mergeTimeout = 2 * time.Second
	allotEvery   = 250 * time.Millisecond
	// allotChunk bounds the budgets that one round looks at.
	allotChunk    = 2000
	recallTimeout = 300 * time.Millisecond
	// recallDownFor is how long a hall that did not answer a recall is left
	// alone.
	recallDownFor = time.Second
	// recallFactor is how many requests of the size at hand a recall covers.
	recallFactor = 16
	topupsEvery  = 500 * time.Millisecond
)

// errNotIntroduced has the caller try again: the ledger does not know yet that
// this journal has taken the place of a lost one.
var errNotIntroduced = errors.New("the ledger does not know this journal yet")

var errForeignTopup = errors.New("the top-up's id does not belong to this hall")

// leaderlessFor returns how long the group has had no leader, as far as this
// keeper knows; 0 when it has one.
func (g *group) leaderlessFor(now time.Time) time.Duration {
	if g.node.Status().GetLeader() != "" {
		return 0
	}
	since := g.leaderless.Load()
	if since == 0 {
		return time.Nanosecond
	}
	return max(now.Sub(time.Unix(0, since)), time.Nanosecond)
}

// noteLeader keeps the time since when there is no leader.
func (g *group) noteLeader(now time.Time) {
	if g.node.Status().GetLeader() != "" {
		g.leaderless.Store(0)
		return
	}
	g.leaderless.CompareAndSwap(0, now.UnixNano())
}

// mergeLoop brings the journal's records to the ledger while it has a leader.
func (k *Keeper) mergeLoop(ctx context.Context) error {
	if k.identity.GetJoined() {
		if err := k.journal.Introduce(); err != nil {
			return trace.Wrap(err)
		}
	}
	return loop.Every(ctx, mergeEvery, func() {
		if k.money.node.Status().GetLeader() == "" {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, mergeTimeout)
		defer cancel()
		if err := k.mergeOnce(callCtx); err != nil && ctx.Err() == nil {
			k.Log.Debug("Merging the journal failed.", "error", err)
		}
	})
}

// mergeOnce brings all synced records to the ledger.
func (k *Keeper) mergeOnce(ctx context.Context) error {
	k.mergeMu.Lock()
	defer k.mergeMu.Unlock()
	for {
		h := k.ledger.Hall(k.Config.Hall)
		if h.GetKeeperIncarnation() == k.identity.GetIncarnation() {
			k.journal.Merged(h.GetMergedSeq())
			k.merged = max(k.merged, h.GetMergedSeq())
		}
		records := k.journal.Unmerged(k.merged, mergeBatch)
		if len(records) == 0 {
			return nil
		}
		err := k.clients.Merge(ctx, &wire.MergeRequest{
			Hall: string(k.Config.Hall), KeeperIncarnation: k.identity.GetIncarnation(), Records: records,
		})
		if err != nil {
			return err
		}
		k.merged = records[len(records)-1].GetSeq()
	}
}

// Merge takes in a hall's records.
func (s *ledgerService) Merge(r *wire.MergeRequest, _ *wire.Empty) error {
	_, err := s.keeper.propose(context.Background(), &wire.LedgerCommand{Command: &wire.LedgerCommand_Merge{Merge: r}})
	return err
}

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

// WriteOff gives up what a lost journal held.
func (s *ledgerService) WriteOff(w *wire.WriteOff, _ *wire.Empty) error {
	_, err := s.keeper.propose(context.Background(), &wire.LedgerCommand{Command: &wire.LedgerCommand_WriteOff{WriteOff: w}})
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

// allotLoop sizes the halls' allotments where this keeper leads the ledger.
func (k *Keeper) allotLoop(ctx context.Context) error {
	next := ""
	return loop.Every(ctx, allotEvery, func() {
		if !k.money.node.Leading() {
			return
		}
		halls := k.liveHalls(ctx)
		grants := &wire.GrantBatch{}
		for _, b := range k.ledger.BudgetsAfter(next, allotChunk) {
			next = b.GetBudget()
			grants.Grants = append(grants.Grants, k.allotBudget(b, halls)...)
		}
		if len(grants.GetGrants()) > 0 {
			k.try(ctx, "allotments", &wire.LedgerCommand{Command: &wire.LedgerCommand_Grants{Grants: grants}})
		}
		if len(k.ledger.BudgetsAfter(next, 1)) == 0 {
			next = ""
		}
	})
}

// liveHalls returns the halls whose holders are in contact, with their
// incarnations.
func (k *Keeper) liveHalls(ctx context.Context) map[string]string {
	active, err := k.money.node.PeersActive(ctx)
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

// hallTopupsLoop writes top-ups that halls took while cut off into the tree.
func (k *Keeper) hallTopupsLoop(ctx context.Context) error {
	return loop.Every(ctx, topupsEvery, func() {
		if !k.settings.node.Leading() {
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
