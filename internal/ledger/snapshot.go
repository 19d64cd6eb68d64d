package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// Snapshot implements sumachead.StateMachine.
func (m *Machine) Snapshot() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &wire.LedgerSnapshot{TotalsRevision: m.totalsRevision, Violations: m.violations}
	for _, id := range slices.Sorted(maps.Keys(m.budgets)) {
		b := m.budgets[id]
		st := b.state(id)
		st.HallTopups = maps.Clone(b.hallTopups)
		st.Broken = b.broken
		s.Budgets = append(s.Budgets, st)
	}
	for _, h := range slices.Sorted(maps.Keys(m.halls)) {
		s.Halls = append(s.Halls, m.halls[h])
	}
	// Entries are immutable, so copying the list is enough.
	s.Entries = slices.Collect(maps.Values(m.entries))
	return func() ([]byte, error) { return encodeSnapshot(s) }
}

func encodeSnapshot(s *wire.LedgerSnapshot) ([]byte, error) {
	slices.SortFunc(s.Entries, func(a, b *wire.Entry) int {
		return cmp.Or(
			cmp.Compare(a.GetUpdatedUnixNano(), b.GetUpdatedUnixNano()),
			cmp.Compare(a.GetWorkspace(), b.GetWorkspace()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return data, trace.Wrap(err)
}

// Restore implements sumachead.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var s wire.LedgerSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return trace.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budgets, m.entries = make(map[string]*budget), make(map[entryKey]*wire.Entry)
	m.finished, m.deadlines, m.halls = nil, deadlineHeap{}, make(map[string]*wire.Hall)
	for _, h := range s.GetHalls() {
		m.halls[h.GetHall()] = h
	}
	m.totalsRevision, m.violations = s.GetTotalsRevision(), s.GetViolations()
	for _, st := range s.GetBudgets() {
		b := m.budget(st.GetBudget())
		b.total, b.spent, b.reserved, b.allotted = st.GetTotal(), st.GetSpent(), st.GetReserved(), st.GetAllotted()
		b.broken = st.GetBroken()
		maps.Copy(b.hallTopups, st.GetHallTopups())
		for _, a := range st.GetAllotments() {
			b.allotments[allotmentKey{a.GetHall(), a.GetKeeperIncarnation()}] = a
		}
	}
	for _, e := range s.GetEntries() {
		k := entryKey{e.GetWorkspace(), e.GetKey()}
		m.entries[k] = e
		if e.GetState() == wire.EntryState_ENTRY_STATE_RESERVED {
			m.deadlines.add(k, e.GetDeadlineUnixNano())
			continue
		}
		m.finished = append(m.finished, finishedEntry{k, e.GetUpdatedUnixNano()})
	}
	return nil
}
