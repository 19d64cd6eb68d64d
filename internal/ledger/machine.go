package ledger

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// maxExpirePerCommand bounds the work of one Expire command.
const maxExpirePerCommand = 5000

// entryKey identifies an entry.
type entryKey struct {
	workspace string
	key       string
}

// budget is the state of one prepaid budget.
type budget struct {
	total    int64
	spent    int64
	reserved int64
	// allotted is the sum of the data halls' escrow.
	allotted   int64
	allotments map[allotmentKey]*wire.Allotment
	// hallTopups are the top-ups that data halls accepted and that the settings
	// tree does not contain yet, by id.
	hallTopups map[string]int64
	broken     bool
}

// available returns the tokens that can still be reserved or allotted.
func (b *budget) available() int64 {
	if b.broken {
		return 0
	}
	return b.total - b.spent - b.reserved - b.allotted
}

// Machine is the state machine of the ledger group. It is safe for concurrent
// use.
type Machine struct {
	mu      sync.RWMutex // guards the fields below
	budgets map[string]*budget
	entries map[entryKey]*wire.Entry
	// finished lists the settled and released entries in the order in which
	// they finished.
	finished  []finishedEntry
	deadlines deadlineHeap
	// deferred are the entries that the next Expire command checks again.
	deferred       []deadlineItem
	halls          map[string]*wire.Hall
	totalsRevision uint64
	// violations counts broken invariants.
	violations uint64

	// TokensFreed signals that tokens may have become available.
	TokensFreed Notifier
}

// allotmentKey identifies a budget's escrow in one journal.
type allotmentKey struct {
	hall        string
	incarnation string
}

type finishedEntry struct {
	key        entryKey
	finishedAt int64
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
		defer m.TokensFreed.Broadcast()
		return m.settleBatch(x.Settle)
	case *wire.LedgerCommand_Totals:
		defer m.TokensFreed.Broadcast()
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
		defer m.TokensFreed.Broadcast()
		m.merge(x.Merge)
	case *wire.LedgerCommand_WriteOff:
		m.writeOff(x.WriteOff)
	}
	return &wire.LedgerReply{}
}

func (m *Machine) reserve(r *wire.ReserveRequest) *wire.LedgerReply {
	k := entryKey{r.GetWorkspace(), r.GetKey()}
	e := m.entries[k]
	if e.GetHall() != "" && e.GetState() == wire.EntryState_ENTRY_STATE_SETTLED && isRetryable(e) {
		return reply(wire.LedgerCode_LEDGER_CODE_SETTLED, e) // the hall's journal decides
	}
	code, isNew := CheckClaim(e, r)
	if !isNew {
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
	next := ReservedEntry(e, r, "")
	b.spent -= next.GetCarried()
	b.reserved += next.GetReserved()
	m.entries[k] = next
	m.deadlines.add(k, next.GetDeadlineUnixNano())
	m.verify(r.GetBudget())
	return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, next)
}

// reassign moves an entry to its next attempt. Entries are immutable and get
// replaced, so that replies can share them.
func (m *Machine) reassign(r *wire.ReassignRequest) *wire.LedgerReply {
	k := entryKey{r.GetWorkspace(), r.GetKey()}
	e := m.entries[k]
	if e.GetHall() != "" {
		return reply(wire.LedgerCode_LEDGER_CODE_EXISTS, e) // the hall's journal decides
	}
	code, isNew := CheckReassign(e, r)
	if !isNew {
		return reply(code, e)
	}
	b := m.budgets[e.GetBudget()]
	used := FailedAttemptUsage(e, r)
	if used > b.available() {
		return reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, e)
	}
	b.reserved += used
	next := ReassignedEntry(e, r)
	m.entries[k] = next
	if next.GetDeadlineUnixNano() != e.GetDeadlineUnixNano() {
		m.deadlines.add(k, next.GetDeadlineUnixNano())
	}
	m.verify(e.GetBudget())
	return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, next)
}

func (m *Machine) settleBatch(b *wire.SettleBatch) *wire.LedgerReplies {
	out := &wire.LedgerReplies{}
	for _, s := range b.GetSettles() {
		out.Replies = append(out.Replies, m.settle(s))
	}
	return out
}

// settle settles or releases an entry once. Later reports have no effect, except
// that actual usage replaces a presumed bill.
func (m *Machine) settle(s *wire.SettleRequest) *wire.LedgerReply {
	k := entryKey{s.GetWorkspace(), s.GetKey()}
	e := m.entries[k]
	if e == nil {
		if w := WithdrawalTombstone(s, ""); w != nil {
			m.finish(k, w)
		}
		return reply(wire.LedgerCode_LEDGER_CODE_NO_ENTRY, nil)
	}
	if e.GetHall() != "" && !m.isOrphan(e) {
		return reply(wire.LedgerCode_LEDGER_CODE_EXISTS, e) // the hall's journal decides
	}
	settles, ranAfterRelease := CheckSettle(e, s)
	if ranAfterRelease {
		m.violations++
	}
	if !settles {
		return reply(wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, e)
	}
	b := m.budgets[e.GetBudget()]
	next := SettledEntry(e, s)
	if e.GetHall() != "" {
		m.finishOrphan(k, e, next)
		return reply(wire.LedgerCode_LEDGER_CODE_SETTLED, next)
	}
	if e.GetPresumed() {
		b.spent -= e.GetBilled()
	} else {
		b.reserved -= e.GetReserved()
	}
	b.spent += next.GetBilled()
	m.finish(k, next)
	m.verify(e.GetBudget())
	return reply(wire.LedgerCode_LEDGER_CODE_SETTLED, next)
}

// finish stores a settled or released entry and queues it for eviction.
func (m *Machine) finish(k entryKey, e *wire.Entry) {
	m.entries[k] = e
	m.finished = append(m.finished, finishedEntry{k, e.GetUpdatedUnixNano()})
}

// setTotals applies the totals of the budgets from the settings tree. A total
// below the tokens already spent, reserved or allotted is raised to these.
func (m *Machine) setTotals(t *wire.SetTotals) {
	if t.GetRevision() <= m.totalsRevision {
		return
	}
	m.totalsRevision = t.GetRevision()
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

// verify checks the invariant of a budget after a change. A budget that violates
// it is marked as broken.
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
