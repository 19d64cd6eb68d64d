package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/escrow"
)

// reserveTimes records since when the last part of each budget is reserved for urgent requests.
// Like the allocator's state it belongs to the leader and is not replicated.
type reserveTimes struct {
	mu    sync.Mutex // guards since
	since map[sumachead.WorkspaceID]time.Time
}

// record records that a reserve starts or ends.
func (r *reserveTimes) record(w sumachead.WorkspaceID, active bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !active {
		delete(r.since, w)
		return
	}
	if r.since == nil {
		r.since = make(map[sumachead.WorkspaceID]time.Time)
	}
	r.since[w] = now
}

// get returns since when a workspace has a reserve; zero if it has none.
func (r *reserveTimes) get(w sumachead.WorkspaceID) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since[w]
}

// handleReserveChange records and logs that a workspace's reserve starts or ends. The allocator
// calls it with its lock held.
func (k *Keeper) handleReserveChange(s escrow.ReserveState) {
	k.reserveTimes.record(s.Workspace, s.Active, time.Now())
	k.limitedLog.Info(k.Log, "Priority reserve of a budget changed.", "workspace", s.Workspace, "active", s.Active, "left", s.Left,
		"size", s.Size, "urgent_rate", s.UrgentRate, "in_flight", s.InFlight, "free", s.Free, "total", s.Total)
}

// activeReserves returns the number of workspaces with an active reserve, or 0 if this keeper
// does not lead: its state is then that of an earlier term.
func (k *Keeper) activeReserves() int {
	if !k.node.IsLeader() {
		return 0
	}
	return k.allocator.ActiveReserves()
}

// Budgets returns the budgets of all workspaces that have one, sorted by workspace. What the ledger
// knows is linearizable; the rest is as of the last report on each workspace.
func (s *service) Budgets(_ *wire.Empty, reply *wire.WorkspaceBudgets) error {
	k := s.keeper
	if err := k.requireLeadership(); err != nil {
		return err
	}
	states := make(map[sumachead.WorkspaceID]escrow.ReserveState)
	for _, x := range k.allocator.BudgetStates() {
		states[x.Workspace] = x
	}
	budgets := k.machine.Budgets()
	for _, b := range budgets {
		w := sumachead.WorkspaceID(b.GetWorkspace())
		addReserveState(b, states[w], k.reserveTimes.get(w))
	}
	proto.Merge(reply, &wire.WorkspaceBudgets{Budgets: budgets})
	return nil
}

// addReserveState adds the leader's soft state to what the ledger knows of a budget. A state with no
// workspace is that of a budget on which no holder has reported to this leader.
func addReserveState(b *wire.WorkspaceBudget, s escrow.ReserveState, since time.Time) {
	if s.Workspace == "" {
		b.Left = max(b.GetFree(), 0)
		return
	}
	b.InFlight = int64(s.InFlight)
	// The total may have changed since the last report.
	b.Left = max(int64(s.Left)+b.GetTotal()-int64(s.Total), 0)
	if s.Active {
		b.ReserveActive, b.ReserveSize = true, int64(s.Size)
		if !since.IsZero() {
			b.ReserveSinceUnixMillis = since.UnixMilli()
		}
	}
}

// Budgets returns what the ledger knows of all workspaces that have a budget, sorted by workspace.
func (m *StateMachine) Budgets() []*wire.WorkspaceBudget {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.WorkspaceBudget
	for _, a := range m.declaration.GetCatalog().GetWorkspaces() {
		w := sumachead.WorkspaceID(a.GetName())
		total, limited := m.ledger.Total(w)
		if !limited {
			continue
		}
		out = append(out, &wire.WorkspaceBudget{
			Workspace: a.GetName(), Total: int64(total), Free: int64(m.ledger.Unallocated(w)), Spent: int64(m.ledger.ReportedSpent(w)),
		})
	}
	slices.SortFunc(out, func(a, b *wire.WorkspaceBudget) int { return cmp.Compare(a.GetWorkspace(), b.GetWorkspace()) })
	return out
}
