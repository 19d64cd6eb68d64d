// Package journal implements the local account of a data hall. From tokens that
// were deducted from the budgets in advance, it pays for keys that belong to the
// hall and, while the hall is cut off from the ledger, for other requests.
//
// A [Journal] follows the ledger's rules for the lifecycle of an entry. Each
// update is a record that is synced to disk before the reply; many updates share
// one sync. The records are merged into the ledger in order, and unspent tokens
// are returned to it. For each budget, the hall may spend
//
//	granted + hall top-ups - returned - billed - reserved
//
// where granted is the amount that the ledger is known to have deducted for this
// journal (see P. O'Neil, "The Escrow Transactional Method", ACM TODS, 1986).
package journal

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/ledger"
)

// entryRetention is how long a finished entry is kept to detect duplicates of
// its key.
const entryRetention = 30 * time.Minute

type entryKey struct {
	workspace string
	key       string
}

// account is the journal's account of one budget, in tokens.
type account struct {
	billed   int64
	reserved int64
	returned int64
	topups   int64
}

// Journal is the durable account of one data hall. Set the exported fields, then
// call Open and Run.
type Journal struct {
	// Dir is the directory of the journal's files.
	Dir         string
	Hall        sumachead.HallID
	Incarnation string
	// Granted returns the total that the ledger is known to have granted to
	// this journal for a budget.
	Granted func(sumachead.BudgetID) sumachead.Tokens

	// TokensFreed signals that tokens may have become available.
	TokensFreed ledger.Notifier

	store *store

	mu       sync.Mutex // guards the fields below
	accounts map[string]*account
	entries  map[entryKey]*wire.Entry
	topups   map[string]bool
	seq      uint64
	// unmerged are the records that are not known to be in the ledger.
	unmerged []*wire.JournalRecord
	// pending are the records that are not synced yet.
	pending []*wire.JournalRecord
	waiters []chan error
	failure error

	wake chan struct{}
}

// Open restores the journal from its directory.
func (j *Journal) Open() error {
	j.accounts = make(map[string]*account)
	j.entries = make(map[entryKey]*wire.Entry)
	j.topups = make(map[string]bool)
	j.wake = make(chan struct{}, 1)
	f, err := openStore(j.Dir, j.restore, j.replay)
	j.store = f
	return err
}

func (j *Journal) account(budget string) *account {
	a := j.accounts[budget]
	if a == nil {
		a = &account{}
		j.accounts[budget] = a
	}
	return a
}

// available returns the tokens of a budget that may be spent. The caller holds mu.
func (j *Journal) available(budget string) int64 {
	a := j.account(budget)
	granted := int64(j.Granted(sumachead.BudgetID(budget)))
	return granted + a.topups - a.returned - a.billed - a.reserved
}

// Available returns the tokens of a budget that may be spent, and those reserved
// by requests in flight.
func (j *Journal) Available(budget sumachead.BudgetID) (available, reserved sumachead.Tokens) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return sumachead.Tokens(j.available(string(budget))), sumachead.Tokens(j.account(string(budget)).reserved)
}

// Entry returns the entry of a key, or nil.
func (j *Journal) Entry(workspace, key string) *wire.Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.entries[entryKey{workspace, key}]
}

// apply applies one record, new or read from disk, to the state in memory.
func (j *Journal) apply(r *wire.JournalRecord) {
	j.seq = r.GetSeq()
	a := j.account(r.GetBudget())
	a.returned += r.GetReturned()
	if id := r.GetTopupId(); id != "" {
		j.topups[id] = true
		a.topups += r.GetTopupTokens()
	}
	if e := r.GetEntry(); e != nil {
		k := entryKey{e.GetWorkspace(), e.GetKey()}
		a.reserved += reservedTokens(e) - reservedTokens(j.entries[k])
		a.billed += r.GetBill()
		j.entries[k] = e
	}
	j.unmerged = append(j.unmerged, r)
}

// reservedTokens returns the tokens that an entry reserves.
func reservedTokens(e *wire.Entry) int64 {
	if e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED {
		return 0
	}
	return e.GetReserved()
}

// appendRecord applies a new record and queues it for the next sync. The caller
// holds mu.
func (j *Journal) appendRecord(r *wire.JournalRecord) {
	r.Seq = j.seq + 1
	j.apply(r)
	j.pending = append(j.pending, r)
}

// appendEntry appends a record with the new state of an entry. The caller holds
// mu.
func (j *Journal) appendEntry(next *wire.Entry) {
	old := j.entries[entryKey{next.GetWorkspace(), next.GetKey()}]
	j.appendRecord(&wire.JournalRecord{Budget: next.GetBudget(), Entry: next, Bill: next.GetBilled() - old.GetBilled()})
}

// commit runs an update and returns once everything it read and wrote is synced.
func (j *Journal) commit(update func() *wire.LedgerReply) (*wire.LedgerReply, error) {
	j.mu.Lock()
	if j.failure != nil {
		j.mu.Unlock()
		return nil, j.failure
	}
	reply := update()
	if len(j.pending) == 0 && len(j.waiters) == 0 {
		j.mu.Unlock()
		return reply, nil
	}
	done := make(chan error, 1)
	j.waiters = append(j.waiters, done)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return reply, <-done
}

func reply(code wire.LedgerCode, e *wire.Entry) *wire.LedgerReply {
	return &wire.LedgerReply{Code: code, Entry: e}
}

// Reserve reserves the maximum cost of a request and claims its key.
func (j *Journal) Reserve(r *wire.ReserveRequest) (*wire.LedgerReply, error) {
	return j.commit(func() *wire.LedgerReply {
		e := j.entries[entryKey{r.GetWorkspace(), r.GetKey()}]
		code, isNew := ledger.CheckClaim(e, r)
		if !isNew {
			return reply(code, e)
		}
		if r.GetAmount() < 0 || j.available(r.GetBudget()) < r.GetAmount() {
			return reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, nil)
		}
		next := ledger.ReservedEntry(e, r, string(j.Hall))
		// The previous bill of the key is reserved again as part of the new
		// reservation.
		j.appendEntry(next)
		return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, next)
	})
}

// Reassign moves an entry to its next attempt.
func (j *Journal) Reassign(r *wire.ReassignRequest) (*wire.LedgerReply, error) {
	return j.commit(func() *wire.LedgerReply {
		e := j.entries[entryKey{r.GetWorkspace(), r.GetKey()}]
		code, isNew := ledger.CheckReassign(e, r)
		if !isNew {
			return reply(code, e)
		}
		// The available amount may be negative for a while after a restart with an
		// outdated replica of the ledger.
		if used := ledger.FailedAttemptUsage(e, r); used > 0 && used > j.available(e.GetBudget()) {
			return reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, e)
		}
		next := ledger.ReassignedEntry(e, r)
		j.appendEntry(next)
		return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, next)
	})
}

// Settle settles entries, all with one sync.
func (j *Journal) Settle(b *wire.SettleBatch) ([]*wire.LedgerReply, error) {
	defer j.TokensFreed.Broadcast()
	var replies []*wire.LedgerReply
	_, err := j.commit(func() *wire.LedgerReply {
		for _, s := range b.GetSettles() {
			replies = append(replies, j.settle(s))
		}
		return nil
	})
	return replies, err
}

// settle settles one entry. The caller holds mu.
func (j *Journal) settle(s *wire.SettleRequest) *wire.LedgerReply {
	e := j.entries[entryKey{s.GetWorkspace(), s.GetKey()}]
	if e == nil {
		if w := ledger.WithdrawalTombstone(s, string(j.Hall)); w != nil {
			j.appendEntry(w)
		}
		return reply(wire.LedgerCode_LEDGER_CODE_NO_ENTRY, nil)
	}
	if settles, _ := ledger.CheckSettle(e, s); !settles {
		return reply(wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, e)
	}
	next := ledger.SettledEntry(e, s)
	j.appendEntry(next)
	return reply(wire.LedgerCode_LEDGER_CODE_SETTLED, next)
}

// ReturnTokens returns up to amount unspent tokens of a budget to the ledger,
// where they arrive once the record is merged. It returns their number.
func (j *Journal) ReturnTokens(budget sumachead.BudgetID, amount sumachead.Tokens) (sumachead.Tokens, error) {
	n := int64(0)
	_, err := j.commit(func() *wire.LedgerReply {
		n = max(min(int64(amount), j.available(string(budget))), 0)
		if n > 0 {
			j.appendRecord(&wire.JournalRecord{Budget: string(budget), Returned: n})
		}
		return nil
	})
	return sumachead.Tokens(n), err
}

// Topup credits tokens that were bought while the hall was cut off. It credits
// each id only once.
func (j *Journal) Topup(budget sumachead.BudgetID, id string, tokens sumachead.Tokens) error {
	if id == "" || tokens < 1 {
		return trace.BadParameter("a top-up needs an id and at least one token")
	}
	defer j.TokensFreed.Broadcast()
	_, err := j.commit(func() *wire.LedgerReply {
		if !j.topups[id] {
			j.appendRecord(&wire.JournalRecord{Budget: string(budget), TopupId: id, TopupTokens: int64(tokens)})
		}
		return nil
	})
	return err
}

// Register appends the first record of a new journal, from which the ledger learns
// that it replaces a lost one. It does nothing if the journal has records.
func (j *Journal) Register() error {
	_, err := j.commit(func() *wire.LedgerReply {
		if j.seq == 0 {
			j.appendRecord(&wire.JournalRecord{})
		}
		return nil
	})
	return err
}

// Expire bills entries whose deadline is before presumeBefore their whole
// reservation, and deletes finished entries after entryRetention once all records
// are merged.
func (j *Journal) Expire(now, presumeBefore time.Time) error {
	_, err := j.commit(func() *wire.LedgerReply {
		for k, e := range j.entries {
			switch {
			case e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED:
				if e.GetUpdatedUnixNano() < now.Add(-entryRetention).UnixNano() && len(j.unmerged) == 0 {
					delete(j.entries, k)
				}
			case e.GetDeadlineUnixNano() < presumeBefore.UnixNano():
				j.appendEntry(ledger.PresumedEntry(e, now.UnixNano()))
			}
		}
		return nil
	})
	return err
}

// Unmerged returns up to limit synced records after the given sequence number that
// the ledger is not known to have.
func (j *Journal) Unmerged(after uint64, limit int) []*wire.JournalRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	synced := j.seq - uint64(len(j.pending))
	var out []*wire.JournalRecord
	for _, r := range j.unmerged {
		if r.GetSeq() > after && r.GetSeq() <= synced && len(out) < limit {
			out = append(out, r)
		}
	}
	return out
}

// MarkMerged records that the ledger has all records up to seq.
func (j *Journal) MarkMerged(seq uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for n < len(j.unmerged) && j.unmerged[n].GetSeq() <= seq {
		n++
	}
	j.unmerged = j.unmerged[n:]
}

// snapshot encodes the whole state. The caller holds mu.
func (j *Journal) snapshot() ([]byte, error) {
	s := &wire.JournalSnapshot{Incarnation: j.Incarnation, Seq: j.seq, Unmerged: j.unmerged}
	for id, a := range j.accounts {
		s.Budgets = append(s.Budgets, &wire.HallBudget{Budget: id, Billed: a.billed, Returned: a.returned, Topups: a.topups})
	}
	for _, e := range j.entries {
		s.Entries = append(s.Entries, e)
	}
	for id := range j.topups {
		s.TopupIds = append(s.TopupIds, id)
	}
	return proto.Marshal(s)
}

func (j *Journal) restore(data []byte) error {
	var s wire.JournalSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return trace.Wrap(err)
	}
	if s.GetIncarnation() != j.Incarnation {
		return trace.BadParameter("%s belongs to incarnation %s, not to %s", j.Dir, s.GetIncarnation(), j.Incarnation)
	}
	j.seq, j.unmerged = s.GetSeq(), s.GetUnmerged()
	for _, b := range s.GetBudgets() {
		j.accounts[b.GetBudget()] = &account{billed: b.GetBilled(), returned: b.GetReturned(), topups: b.GetTopups()}
	}
	for _, e := range s.GetEntries() {
		j.entries[entryKey{e.GetWorkspace(), e.GetKey()}] = e
		j.account(e.GetBudget()).reserved += reservedTokens(e)
	}
	for _, id := range s.GetTopupIds() {
		j.topups[id] = true
	}
	return nil
}

func (j *Journal) replay(record []byte) error {
	var b wire.JournalBatch
	if err := proto.Unmarshal(record, &b); err != nil {
		return trace.Wrap(err)
	}
	for _, r := range b.GetRecords() {
		j.apply(r)
	}
	return nil
}
