package ledger

import (
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// grant moves tokens of a budget into the escrow of a data hall's keeper. A
// keeper that lost its disk has another incarnation: until the old escrow is
// written off it gets none.
func (m *Machine) grant(g *wire.Grant) *wire.LedgerReply {
	b := m.budgets[g.GetBudget()]
	if b == nil {
		return reply(wire.LedgerCode_LEDGER_CODE_UNKNOWN_BUDGET, nil)
	}
	if g.GetAmount() <= 0 || b.available() < g.GetAmount() {
		return reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, nil)
	}
	a := b.allotments[g.GetHall()]
	if a != nil && a.GetKeeperIncarnation() != g.GetKeeperIncarnation() {
		return reply(wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE, nil)
	}
	if a == nil {
		a = &wire.Allotment{Budget: g.GetBudget(), Hall: g.GetHall(), KeeperIncarnation: g.GetKeeperIncarnation()}
		b.allotments[g.GetHall()] = a
	}
	a.Held += g.GetAmount()
	a.GrantedTotal += g.GetAmount()
	a.Grants++
	b.allotted += g.GetAmount()
	m.verify(g.GetBudget())
	return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, nil)
}

// merge takes in what a hall's journal holds beyond what was merged before.
func (m *Machine) merge(r *wire.MergeRequest) {
	for _, x := range r.GetRecords() {
		b := m.budgets[x.GetBudget()]
		if b == nil {
			b = m.budget(x.GetBudget())
		}
		a := b.allotments[r.GetHall()]
		if a == nil && x.GetTopupId() != "" {
			a = &wire.Allotment{Budget: x.GetBudget(), Hall: r.GetHall(), KeeperIncarnation: r.GetKeeperIncarnation()}
			b.allotments[r.GetHall()] = a
		}
		if a == nil || a.GetKeeperIncarnation() != r.GetKeeperIncarnation() || x.GetSeq() <= a.GetMergedSeq() {
			continue
		}
		a.MergedSeq = x.GetSeq()
		m.mergeRecord(b, a, x)
		m.verify(x.GetBudget())
	}
}

func (m *Machine) mergeRecord(b *budget, a *wire.Allotment, x *wire.JournalRecord) {
	if x.GetTopupId() != "" && b.hallTopups[x.GetTopupId()] == 0 {
		b.hallTopups[x.GetTopupId()] = x.GetTopupTokens()
		b.total += x.GetTopupTokens()
		b.allotted += x.GetTopupTokens()
		a.Held += x.GetTopupTokens()
	}
	if n := x.GetReturned(); n > 0 {
		a.Held -= n
		b.allotted -= n
	}
	if x.GetEntry() != nil {
		m.mergeEntry(b, a, x.GetEntry())
	}
}

// mergeEntry takes in an entry as the hall has it. The escrow pays for what
// the hall billed. A key that was also used elsewhere is billed once: the
// hall's bill goes back to the budget.
func (m *Machine) mergeEntry(b *budget, a *wire.Allotment, e *wire.Entry) {
	k := entryKey{e.GetWorkspace(), e.GetKey()}
	have := m.entries[k]
	foreign := have != nil && have.GetHall() != e.GetHall() && have.GetState() != wire.EntryState_ENTRY_STATE_RELEASED
	billedBefore := int64(0)
	if have != nil && have.GetHall() == e.GetHall() {
		billedBefore = have.GetBilled()
	}
	bill := e.GetBilled() - billedBefore
	a.Held -= bill
	b.allotted -= bill
	if foreign {
		return
	}
	b.spent += bill
	next := proto.CloneOf(e)
	if next.GetState() == wire.EntryState_ENTRY_STATE_RESERVED {
		m.entries[k] = next
		return
	}
	m.end(k, next)
}

// writeOff gives up the escrow of a keeper that lost its disk: what it may
// have spent counts as spent.
func (m *Machine) writeOff(w *wire.WriteOff) {
	b := m.budgets[w.GetBudget()]
	if b == nil {
		return
	}
	a := b.allotments[w.GetHall()]
	if a == nil {
		return
	}
	b.allotted -= a.GetHeld()
	b.spent += a.GetHeld()
	delete(b.allotments, w.GetHall())
	m.verify(w.GetBudget())
}
