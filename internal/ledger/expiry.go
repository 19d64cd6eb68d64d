package ledger

import (
	"sumachead/api/wire"
)

// expire bills entries that were not settled in time at their presumed cost, and evicts
// entries that finished before the retention period.
func (m *Machine) expire(x *wire.Expire) {
	for range maxExpirePerCommand {
		k, deadline, ok := m.deadlines.peek()
		if !ok || deadline >= x.GetPresumeBeforeUnixNano() {
			break
		}
		m.deadlines.pop()
		m.presume(k, deadline, x.GetNowUnixNano())
	}
	for _, i := range m.deferred {
		m.deadlines.add(i.key, i.deadline)
	}
	m.deferred = nil
	n := 0
	for n < len(m.finished) && n < maxExpirePerCommand && m.finished[n].finishedAt < x.GetRetainBeforeUnixNano() {
		m.evict(m.finished[n])
		n++
	}
	m.finished = m.finished[n:]
}

// presume bills an overdue entry its whole reservation, since the request may have
// run and used all of it.
func (m *Machine) presume(k entryKey, deadline, now int64) {
	e := m.entries[k]
	if e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED || e.GetDeadlineUnixNano() != deadline {
		return
	}
	if e.GetHall() != "" {
		m.presumeHallEntry(k, e, now)
		return
	}
	b := m.budgets[e.GetBudget()]
	next := PresumedEntry(e, now)
	b.reserved -= e.GetReserved()
	b.spent += next.GetBilled()
	m.finish(k, next)
	m.verify(e.GetBudget())
}

// presumeHallEntry bills an overdue entry of a lost journal. Entries of an active
// journal are deferred to the next Expire command.
func (m *Machine) presumeHallEntry(k entryKey, e *wire.Entry, now int64) {
	if m.isOrphan(e) {
		m.finishOrphan(k, e, PresumedEntry(e, now))
		return
	}
	m.deferred = append(m.deferred, deadlineItem{k, e.GetDeadlineUnixNano()})
}

func (m *Machine) evict(d finishedEntry) {
	e := m.entries[d.key]
	if e != nil && e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED && e.GetUpdatedUnixNano() <= d.finishedAt {
		delete(m.entries, d.key)
	}
}
