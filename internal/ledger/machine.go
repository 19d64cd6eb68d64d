package ledger

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// maxExpirePerCommand bounds the work of one Expire command.
const maxExpirePerCommand = 5000

// entryKey finds an entry.
type entryKey struct {
	workspace string
	key       string
}

// budget is the state of one prepaid budget.
type budget struct {
	total    int64
	spent    int64
	reserved int64
	// allotted is the escrow of the data halls.
	allotted   int64
	allotments map[allotmentKey]*wire.Allotment
	// hallTopups are top-ups that data halls took and that the settings tree
	// does not show yet.
	hallTopups map[string]int64
	broken     bool
}

// available returns what can still be reserved or allotted.
func (b *budget) available() int64 {
	if b.broken {
		return 0
	}
	return b.total - b.spent - b.reserved - b.allotted
}

// Machine is the ledger of one group. Reads are safe for concurrent use.
type Machine struct {
	mu      sync.RWMutex // guards the fields below
	budgets map[string]*budget
	entries map[entryKey]*wire.Entry
	// done holds the keys of ended entries in the order in which they ended.
	done []endedEntry
	open deadlineHeap
	// later are entries to look at again at the next expiry.
	later    []deadlineItem
	halls    map[string]*wire.Hall
	revision uint64
	// violations counts what must never happen.
	violations uint64

	// Room tells when tokens may have become free.
	Room Room
}

// allotmentKey finds a budget's escrow at one journal.
type allotmentKey struct {
	hall        string
	incarnation string
}

type endedEntry struct {
	key entryKey
	at  int64
}

// NewMachine returns an empty ledger.
func NewMachine() *Machine {
	return &Machine{
		budgets: make(map[string]*budget), entries: make(map[entryKey]*wire.Entry),
		halls: make(map[string]*wire.Hall),
	}
}

// Apply implements sumachead.StateMachine. The command is a LedgerCommand; the
// result is a *wire.LedgerReply, or a *wire.LedgerReplies for a settle batch.
func (m *Machine) Apply(_ uint64, command []byte) any {
	var c wire.LedgerCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return &wire.LedgerReply{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch x := c.GetCommand().(type) {
	case *wire.LedgerCommand_Reserve:
		return m.reserve(x.Reserve)
	case *wire.LedgerCommand_Reassign:
		return m.reassign(x.Reassign)
	case *wire.LedgerCommand_Settle:
		defer m.Room.Freed()
		return m.settleAll(x.Settle)
	case *wire.LedgerCommand_Totals:
		defer m.Room.Freed()
		m.setTotals(x.Totals)
	case *wire.LedgerCommand_Expire:
		m.expire(x.Expire)
	case *wire.LedgerCommand_Grant:
		return m.grant(x.Grant)
	case *wire.LedgerCommand_Grants:
		for _, g := range x.Grants.GetGrants() {
			m.grant(g)
		}
	case *wire.LedgerCommand_Merge:
		defer m.Room.Freed()
		m.merge(x.Merge)
	case *wire.LedgerCommand_WriteOff:
		m.writeOff(x.WriteOff)
	}
	return &wire.LedgerReply{}
}

func (m *Machine) reserve(r *wire.ReserveRequest) *wire.LedgerReply {
	k := entryKey{r.GetWorkspace(), r.GetKey()}
	e := m.entries[k]
	if e.GetHall() != "" && e.GetState() == wire.EntryState_ENTRY_STATE_SETTLED && reopens(e) {
		return reply(wire.LedgerCode_LEDGER_CODE_SETTLED, e) // the hall's journal decides
	}
	code, fresh := Claim(e, r)
	if !fresh {
		return reply(code, e)
	}
	b := m.budgets[r.GetBudget()]
	if b == nil {
		return reply(wire.LedgerCode_LEDGER_CODE_UNKNOWN_BUDGET, nil)
	}
	if r.GetAmount() < 0 || b.available() < r.GetAmount() {
		rep := reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, nil)
		rep.Budget = b.state(r.GetBudget())
		return rep
	}
	next := Opened(e, r, "")
	b.spent -= next.GetCarried()
	b.reserved += next.GetReserved()
	m.entries[k] = next
	m.open.add(k, next.GetDeadlineUnixNano())
	m.verify(r.GetBudget())
	return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, next)
}

// reassign moves an entry to its next attempt. Entries are replaced, never
// changed: a reply that shares one stays as it was.
func (m *Machine) reassign(r *wire.ReassignRequest) *wire.LedgerReply {
	k := entryKey{r.GetWorkspace(), r.GetKey()}
	e := m.entries[k]
	if e.GetHall() != "" {
		return reply(wire.LedgerCode_LEDGER_CODE_EXISTS, e) // the hall's journal decides
	}
	code, fresh := Move(e, r)
	if !fresh {
		return reply(code, e)
	}
	b := m.budgets[e.GetBudget()]
	used := UsedBefore(e, r)
	if used > b.available() {
		return reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, e)
	}
	b.reserved += used
	next := Moved(e, r)
	m.entries[k] = next
	if next.GetDeadlineUnixNano() != e.GetDeadlineUnixNano() {
		m.open.add(k, next.GetDeadlineUnixNano())
	}
	m.verify(e.GetBudget())
	return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, next)
}

func (m *Machine) settleAll(b *wire.SettleBatch) *wire.LedgerReplies {
	out := &wire.LedgerReplies{}
	for _, s := range b.GetSettles() {
		out.Replies = append(out.Replies, m.settle(s))
	}
	return out
}

// settle ends an entry once; later reports change nothing, but for the actual
// usage of an entry whose bill was presumed.
func (m *Machine) settle(s *wire.SettleRequest) *wire.LedgerReply {
	k := entryKey{s.GetWorkspace(), s.GetKey()}
	e := m.entries[k]
	if e == nil {
		if w := Withdrawn(s, ""); w != nil {
			m.end(k, w)
		}
		return reply(wire.LedgerCode_LEDGER_CODE_NO_ENTRY, nil)
	}
	if e.GetHall() != "" && !m.isOrphan(e) {
		return reply(wire.LedgerCode_LEDGER_CODE_EXISTS, e) // the hall's journal decides
	}
	ends, lateRun := Ends(e, s)
	if lateRun {
		m.violations++
	}
	if !ends {
		return reply(wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, e)
	}
	b := m.budgets[e.GetBudget()]
	next := Ended(e, s)
	if e.GetHall() != "" {
		m.endOrphan(k, e, next)
		return reply(wire.LedgerCode_LEDGER_CODE_SETTLED, next)
	}
	if e.GetPresumed() {
		b.spent -= e.GetBilled()
	} else {
		b.reserved -= e.GetReserved()
	}
	b.spent += next.GetBilled()
	m.end(k, next)
	m.verify(e.GetBudget())
	return reply(wire.LedgerCode_LEDGER_CODE_SETTLED, next)
}

// end stores an ended entry and notes when it may be forgotten.
func (m *Machine) end(k entryKey, e *wire.Entry) {
	m.entries[k] = e
	m.done = append(m.done, endedEntry{k, e.GetUpdatedUnixNano()})
}

// setTotals takes in the budgets' totals from the settings tree. A total below
// what is already committed takes effect as far as it can.
func (m *Machine) setTotals(t *wire.SetTotals) {
	if t.GetRevision() <= m.revision {
		return
	}
	m.revision = t.GetRevision()
	for _, x := range t.GetTotals() {
		b := m.budget(x.GetBudget())
		for _, id := range x.GetHallTopups() {
			delete(b.hallTopups, id)
		}
		total := x.GetTotal()
		for _, tokens := range b.hallTopups {
			total += tokens
		}
		b.total = max(total, b.spent+b.reserved+b.allotted)
	}
}

func (m *Machine) budget(id string) *budget {
	b := m.budgets[id]
	if b == nil {
		b = &budget{allotments: make(map[allotmentKey]*wire.Allotment), hallTopups: make(map[string]int64)}
		m.budgets[id] = b
	}
	return b
}

// verify checks the invariant of a budget after a change.
func (m *Machine) verify(id string) {
	b := m.budgets[id]
	if b.spent+b.reserved+b.allotted > b.total || min(b.spent, b.reserved, b.allotted) < 0 {
		m.violations++
		b.broken = true
	}
}

func reply(code wire.LedgerCode, e *wire.Entry) *wire.LedgerReply {
	return &wire.LedgerReply{Code: code, Entry: e}
}
