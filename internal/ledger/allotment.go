package ledger

import (
	"sumachead"
	"sumachead/api/wire"
)

// grant moves tokens of a budget into the escrow of a data hall's journal. A
// keeper that lost its disk has a new incarnation and therefore a new escrow; the
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

// allotment returns the budget's escrow at a hall and creates it if necessary.
func (b *budget) allotment(id, hall, incarnation string) *wire.Allotment {
	k := allotmentKey{hall, incarnation}
	a := b.allotments[k]
	if a == nil {
		a = &wire.Allotment{Budget: id, Hall: hall, KeeperIncarnation: incarnation}
		b.allotments[k] = a
	}
	return a
}

// merge applies the records of a hall's journal that follow those already merged.
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
		return // the first record of a journal, which only registers it
	}
	b := m.budget(x.GetBudget())
	a := b.allotment(x.GetBudget(), r.GetHall(), r.GetKeeperIncarnation())
	if id := x.GetTopupId(); id != "" {
		b.addHallTopup(id, x.GetTopupTokens())
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

// addHallTopup adds a top-up that a hall accepted to the total, until the settings
// tree contains it.
func (b *budget) addHallTopup(id string, tokens int64) {
	if b.hallTopups[id] == 0 {
		b.hallTopups[id] = tokens
		b.total += tokens
	}
}

// mergeEntry applies an entry of a hall's journal. Its bill is deducted from the
// hall's escrow. A key that was also used elsewhere is billed once: the hall's
// bill is returned to the budget.
func (m *Machine) mergeEntry(b *budget, a *wire.Allotment, x *wire.JournalRecord) {
	e := x.GetEntry()
	k := entryKey{e.GetWorkspace(), e.GetKey()}
	existing := m.entries[k]
	a.Held -= x.GetBill()
	b.allotted -= x.GetBill()
	if isLateDuplicate(existing, e) {
		b.reserved -= existing.GetReserved()
		existing = nil
	}
	if existing != nil && existing.GetHall() != e.GetHall() && existing.GetState() != wire.EntryState_ENTRY_STATE_RELEASED {
		return
	}
	b.spent += x.GetBill()
	e.Journal = a.GetKeeperIncarnation()
	if e.GetState() == wire.EntryState_ENTRY_STATE_RESERVED {
		m.entries[k] = e
		m.deadlines.add(k, e.GetDeadlineUnixNano())
		return
	}
	m.finish(k, e)
}

// isOrphan reports whether an entry belongs to a lost journal, which its hall has
// replaced by another. Such an entry is settled by the ledger.
func (m *Machine) isOrphan(e *wire.Entry) bool {
	h := m.halls[e.GetHall()]
	return e.GetHall() != "" && h != nil && h.GetKeeperIncarnation() != e.GetJournal()
}

// finishOrphan stores the finished entry of a lost journal. Its bill is deducted
// from the journal's escrow unless that was written off.
func (m *Machine) finishOrphan(k entryKey, e, next *wire.Entry) {
	b := m.budgets[e.GetBudget()]
	bill := next.GetBilled() - e.GetBilled()
	if a := b.allotments[allotmentKey{e.GetHall(), e.GetJournal()}]; a != nil {
		bill = min(bill, a.GetHeld())
		a.Held -= bill
		b.allotted -= bill
		b.spent += bill
	}
	m.finish(k, next)
	m.verify(e.GetBudget())
}

// isLateDuplicate reports whether existing is a reservation that reached the
// ledger late, after the hall had granted the same attempt to the same router.
func isLateDuplicate(existing, e *wire.Entry) bool {
	return existing.GetState() == wire.EntryState_ENTRY_STATE_RESERVED && existing.GetHall() == "" &&
		existing.GetOpenedBy() == e.GetOpenedBy()
}

// writeOff counts the escrow of a keeper that lost its disk as spent, since the
// keeper may have spent it.
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

// Granted returns the total ever granted to a keeper's journal for a budget.
func (m *Machine) Granted(id sumachead.BudgetID, hall sumachead.HallID, incarnation string) sumachead.Tokens {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b := m.budgets[string(id)]
	if b == nil {
		return 0
	}
	return sumachead.Tokens(b.allotments[allotmentKey{string(hall), incarnation}].GetGrantedTotal())
}

// Hall returns the merge state of a hall's journal, or nil if none was merged.
func (m *Machine) Hall(id sumachead.HallID) *wire.Hall {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.halls[string(id)]
}

// HallTopups returns the top-ups that halls accepted and the settings tree lacks,
// by budget and id.
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
