package ledger

import (
	"sumachead/api/wire"
)

// expire presumes the bill of entries that no witness settled in time, and
// forgets entries that ended long ago.
func (m *Machine) expire(x *wire.Expire) {
	for range maxExpirePerCommand {
		k, deadline, ok := m.open.first()
		if !ok || deadline >= x.GetPresumeBeforeUnixNano() {
			break
		}
		m.open.drop()
		m.presume(k, deadline, x.GetNowUnixNano())
	}
	for _, i := range m.later {
		m.open.add(i.key, i.deadline)
	}
	m.later = nil
	n := 0
	for n < len(m.done) && n < maxExpirePerCommand && m.done[n].at < x.GetRetainBeforeUnixNano() {
		m.forget(m.done[n])
		n++
	}
	m.done = m.done[n:]
}

// presume bills the reservation: the request may have run and used all of it.
func (m *Machine) presume(k entryKey, deadline, now int64) {
	e := m.entries[k]
	if e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED || e.GetDeadlineUnixNano() != deadline {
		return
	}
	if e.GetHall() != "" {
		m.presumeOfHall(k, e, now)
		return
	}
	b := m.budgets[e.GetBudget()]
	next := Presumed(e, now)
	b.reserved -= e.GetReserved()
	b.spent += next.GetBilled()
	m.end(k, next)
	m.verify(e.GetBudget())
}

// presumeOfHall presumes an entry of a lost journal; one of a journal that
// lives comes up again later.
func (m *Machine) presumeOfHall(k entryKey, e *wire.Entry, now int64) {
	if m.isOrphan(e) {
		m.endOrphan(k, e, Presumed(e, now))
		return
	}
	m.later = append(m.later, deadlineItem{k, e.GetDeadlineUnixNano()})
}

func (m *Machine) forget(d endedEntry) {
	e := m.entries[d.key]
	if e != nil && e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED && e.GetUpdatedUnixNano() <= d.at {
		delete(m.entries, d.key)
	}
}
