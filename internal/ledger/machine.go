package ledger

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
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

// BudgetsAfter returns the states of the budgets that follow an id, in order, at
// most so many.
func (m *Machine) BudgetsAfter(id string, most int) []*wire.BudgetState {
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
	for _, b := range ids[:min(most, len(ids))] {
		out = append(out, m.budgets[b].state(b))
	}
	return out
}

// Available returns what can still be reserved of a budget, and what is
// reserved by requests under way.
func (m *Machine) Available(id sumachead.BudgetID) (available, reserved sumachead.Tokens) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b := m.budgets[string(id)]
	if b == nil {
		return 0, 0
	}
	return sumachead.Tokens(b.available()), sumachead.Tokens(b.reserved)
}

// Entry returns an entry, or nil. It must not be changed.
func (m *Machine) Entry(w sumachead.WorkspaceID, k sumachead.RequestKey) *wire.Entry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.entries[entryKey{string(w), string(k)}]
}

// Lookup answers operators: budgets by id (all when empty), and entries of a
// workspace, the newest first.
func (m *Machine) Lookup(r *wire.LookupRequest) *wire.LookupReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := &wire.LookupReply{TotalsRevision: m.revision, Violations: m.violations}
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

// Violations returns how often an invariant was found broken.
func (m *Machine) Violations() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.violations
}

// TotalsRevision returns the settings revision whose totals are in force.
func (m *Machine) TotalsRevision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// Snapshot implements sumachead.StateMachine.
func (m *Machine) Snapshot() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &wire.LedgerSnapshot{TotalsRevision: m.revision, Violations: m.violations}
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
	// Entries are replaced, never changed: the list alone is the capture.
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
	m.done, m.open, m.halls = nil, deadlineHeap{}, make(map[string]*wire.Hall)
	for _, h := range s.GetHalls() {
		m.halls[h.GetHall()] = h
	}
	m.revision, m.violations = s.GetTotalsRevision(), s.GetViolations()
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
			m.open.add(k, e.GetDeadlineUnixNano())
			continue
		}
		m.done = append(m.done, endedEntry{k, e.GetUpdatedUnixNano()})
	}
	return nil
}
