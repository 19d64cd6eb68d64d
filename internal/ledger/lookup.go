package ledger

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

func (b *budget) state(id string) *wire.BudgetState {
	s := &wire.BudgetState{Budget: id, Total: b.total, Spent: b.spent, Reserved: b.reserved, Allotted: b.allotted}
	for _, a := range b.allotments {
		s.Allotments = append(s.Allotments, proto.CloneOf(a))
	}
	slices.SortFunc(s.Allotments, func(a, b *wire.Allotment) int {
		return cmp.Or(cmp.Compare(a.GetHall(), b.GetHall()), cmp.Compare(a.GetKeeperIncarnation(), b.GetKeeperIncarnation()))
	})
	return s
}

// Budget returns the state of a budget, or nil.
func (m *Machine) Budget(id sumachead.BudgetID) *wire.BudgetState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b := m.budgets[string(id)]
	if b == nil {
		return nil
	}
	return b.state(string(id))
}

// BudgetsAfter returns the states of up to limit budgets whose ids follow the
// given id, in order.
func (m *Machine) BudgetsAfter(id string, limit int) []*wire.BudgetState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var ids []string
	for b := range m.budgets {
		if b > id {
			ids = append(ids, b)
		}
	}
	slices.Sort(ids)
	var out []*wire.BudgetState
	for _, b := range ids[:min(limit, len(ids))] {
		out = append(out, m.budgets[b].state(b))
	}
	return out
}

// Available returns the tokens of a budget that can still be reserved, and those
// reserved by requests in flight.
func (m *Machine) Available(id sumachead.BudgetID) (available, reserved sumachead.Tokens) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b := m.budgets[string(id)]
	if b == nil {
		return 0, 0
	}
	return sumachead.Tokens(b.available()), sumachead.Tokens(b.reserved)
}

// Entry returns an entry, or nil. The caller must not modify it.
func (m *Machine) Entry(w sumachead.WorkspaceID, k sumachead.RequestKey) *wire.Entry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.entries[entryKey{string(w), string(k)}]
}

// Lookup returns budgets by id (all if empty), and entries of a workspace, newest
// first.
func (m *Machine) Lookup(r *wire.LookupRequest) *wire.LookupReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := &wire.LookupReply{TotalsRevision: m.totalsRevision, Violations: m.violations}
	for _, id := range slices.Sorted(maps.Keys(m.budgets)) {
		if r.GetBudget() == "" || r.GetBudget() == id {
			out.Budgets = append(out.Budgets, m.budgets[id].state(id))
		}
	}
	if r.GetWorkspace() == "" {
		return out
	}
	if r.GetKey() != "" {
		if e := m.entries[entryKey{r.GetWorkspace(), r.GetKey()}]; e != nil {
			out.Entries = append(out.Entries, e)
		}
		return out
	}
	for k, e := range m.entries {
		if k.workspace == r.GetWorkspace() {
			out.Entries = append(out.Entries, e)
		}
	}
	slices.SortFunc(out.Entries, func(a, b *wire.Entry) int {
		return cmp.Or(cmp.Compare(b.GetUpdatedUnixNano(), a.GetUpdatedUnixNano()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	if limit := int(r.GetLimit()); limit > 0 && len(out.Entries) > limit {
		out.Entries = out.Entries[:limit]
	}
	return out
}

// Violations returns the number of invariant violations.
func (m *Machine) Violations() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.violations
}

// TotalsRevision returns the settings revision whose totals are applied.
func (m *Machine) TotalsRevision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.totalsRevision
}
