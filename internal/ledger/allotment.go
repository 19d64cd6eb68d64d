package ledger

import (
	"sumachead"
	"sumachead/api/wire"
)

// grant moves tokens of a budget into the escrow of a data hall's journal. A
// keeper that lost its disk has another incarnation, and so another escrow; the
// old one stays deducted until it is written off.
func (m *Machine) grant(g *wire.Grant) *wire.LedgerReply {
	b := m.budgets[g.GetBudget()]
	if b == nil {
		return reply(wire.LedgerCode_LEDGER_CODE_UNKNOWN_BUDGET, nil)
	}
	amount := g.GetAmount()
	if g.GetPartial() {
		amount = min(amount, b.available())
	}
	if amount <= 0 || b.available() < amount {
		rep := reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, nil)
		rep.Budget = b.state(g.GetBudget())
		return rep
	}
	a := b.allotment(g.GetBudget(), g.GetHall(), g.GetKeeperIncarnation())
	a.Held += amount
	a.GrantedTotal += amount
	b.allotted += amount
	m.verify(g.GetBudget())
	rep := reply(wire.LedgerCode_LEDGER_CODE_GRANTED, nil)
	rep.Budget = b.state(g.GetBudget())
	return rep
}

// allotment returns the budget's escrow at a hall, new if need be.
func (b *budget) allotment(id, hall, incarnation string) *wire.Allotment {
	k := allotmentKey{hall, incarnation}
	a := b.allotments[k]
	if a == nil {
		a = &wire.Allotment{Budget: id, Hall: hall, KeeperIncarnation: incarnation}
		b.allotments[k] = a
	}
	return a
}

// merge takes in what a hall's journal holds beyond what was merged before.
func (m *Machine) merge(r *wire.MergeRequest) {
	h := m.halls[r.GetHall()]
	if h == nil || h.GetKeeperIncarnation() != r.GetKeeperIncarnation() {
		h = &wire.Hall{Hall: r.GetHall(), KeeperIncarnation: r.GetKeeperIncarnation()}
	}
	merged := h.GetMergedSeq()
	for _, x := range r.GetRecords() {
		if x.GetSeq() != merged+1 {
			continue // merged before, or after a gap
		}
		merged++
		m.mergeRecord(r, x)
	}
	m.halls[r.GetHall()] = &wire.Hall{Hall: h.GetHall(), KeeperIncarnation: h.GetKeeperIncarnation(), MergedSeq: merged}
}

func (m *Machine) mergeRecord(r *wire.MergeRequest, x *wire.JournalRecord) {
	if x.GetBudget() == "" {
		return // a journal's first record, which only introduces it
	}
	b := m.budget(x.GetBudget())
	a := b.allotment(x.GetBudget(), r.GetHall(), r.GetKeeperIncarnation())
	if id := x.GetTopupId(); id != "" {
		b.takeHallTopup(id, x.GetTopupTokens())
		b.allotted += x.GetTopupTokens()
		a.Held += x.GetTopupTokens()
	}
	a.Held -= x.GetReturned()
	b.allotted -= x.GetReturned()
	if x.GetEntry() != nil {
		m.mergeEntry(b, a, x)
	}
	if a.GetHeld() < 0 {
		m.violations++
	}
	m.verify(x.GetBudget())
}

// takeHallTopup counts a top-up that a hall took, until the tree has it.
func (b *budget) takeHallTopup(id string, tokens int64) {
	if b.hallTopups[id] == 0 {
		b.hallTopups[id] = tokens
		b.total += tokens
	}
}

// mergeEntry takes in an entry as the hall has it. The escrow pays for what
// the hall billed. A key that was also used elsewhere is billed once: the
// hall's bill goes back to the budget.
func (m *Machine) mergeEntry(b *budget, a *wire.Allotment, x *wire.JournalRecord) {
	e := x.GetEntry()
	k := entryKey{e.GetWorkspace(), e.GetKey()}
	have := m.entries[k]
	a.Held -= x.GetBill()
	b.allotted -= x.GetBill()
	if isGhost(have, e) {
		b.reserved -= have.GetReserved()
		have = nil
	}
	if have != nil && have.GetHall() != e.GetHall() && have.GetState() != wire.EntryState_ENTRY_STATE_RELEASED {
		return
	}
	b.spent += x.GetBill()
	e.Journal = a.GetKeeperIncarnation()
	if e.GetState() == wire.EntryState_ENTRY_STATE_RESERVED {
		m.entries[k] = e
		m.open.add(k, e.GetDeadlineUnixNano())
		return
	}
	m.end(k, e)
}

// isOrphan reports whether an entry is of a journal that was lost: another one
// has taken its hall's place. The ledger then decides about it.
func (m *Machine) isOrphan(e *wire.Entry) bool {
	h := m.halls[e.GetHall()]
	return e.GetHall() != "" && h != nil && h.GetKeeperIncarnation() != e.GetJournal()
}

// endOrphan ends an entry of a lost journal: its escrow pays, if it was not
// written off.
func (m *Machine) endOrphan(k entryKey, e, next *wire.Entry) {
	b := m.budgets[e.GetBudget()]
	bill := next.GetBilled() - e.GetBilled()
	if a := b.allotments[allotmentKey{e.GetHall(), e.GetJournal()}]; a != nil {
		bill = min(bill, a.GetHeld())
		a.Held -= bill
		b.allotted -= bill
		b.spent += bill
	}
	m.end(k, next)
	m.verify(e.GetBudget())
}

// isGhost reports whether have is a reservation that reached the ledger late,
// after its own router had been granted the same attempt by the hall.
func isGhost(have, e *wire.Entry) bool {
	return have.GetState() == wire.EntryState_ENTRY_STATE_RESERVED && have.GetHall() == "" &&
		have.GetOpenedBy() == e.GetOpenedBy()
}

// writeOff gives up the escrow of a keeper that lost its disk: what it may
// have spent counts as spent.
func (m *Machine) writeOff(w *wire.WriteOff) {
	b := m.budgets[w.GetBudget()]
	k := allotmentKey{w.GetHall(), w.GetKeeperIncarnation()}
	if b == nil || b.allotments[k] == nil {
		return
	}
	held := b.allotments[k].GetHeld()
	b.allotted -= held
	b.spent += held
	delete(b.allotments, k)
	m.verify(w.GetBudget())
}

// Granted returns all that was ever granted to a keeper for a budget.
func (m *Machine) Granted(id sumachead.BudgetID, hall sumachead.HallID, incarnation string) sumachead.Tokens {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b := m.budgets[string(id)]
	if b == nil {
		return 0
	}
	return sumachead.Tokens(b.allotments[allotmentKey{string(hall), incarnation}].GetGrantedTotal())
}

// Hall returns what is known of a hall's journal; nil for nothing.
func (m *Machine) Hall(id sumachead.HallID) *wire.Hall {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.halls[string(id)]
}

// HallTopups lists the top-ups that halls took and the tree lacks, by budget.
func (m *Machine) HallTopups() map[string]map[string]int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]map[string]int64)
	for id, b := range m.budgets {
		for t, tokens := range b.hallTopups {
			if out[id] == nil {
				out[id] = make(map[string]int64)
			}
			out[id][t] = tokens
		}
	}
	return out
}
