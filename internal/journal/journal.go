// Package journal is a data hall's own account: what its keeper spends, while
// the hall is cut off or for keys that belong to it, from tokens that were
// deducted from the budgets beforehand.
//
// A [Journal] follows the ledger's rules for an entry's life. Each step is a
// record that is synced before it is answered; many steps share one sync. The
// records are merged into the ledger in order, and unspent tokens are returned
// to it. The hall may spend, for each budget,
//
//	granted + top-ups taken here - returned - billed - reserved
//
// where granted is what the ledger is known to have deducted for this very
// journal (the escrow idea: P. O'Neil, "The Escrow Transactional Method", ACM
// TODS, 1986).
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

// keepFor is how long an ended entry answers for its key.
const keepFor = 30 * time.Minute

type entryKey struct {
	workspace string
	key       string
}

// account is one budget's part of the journal.
type account struct {
	billed   int64
	reserved int64
	returned int64
	topups   int64
}

// Journal is the account of one data hall. Set the exported fields, then call
// Open and Run.
type Journal struct {
	// Dir is the journal's own folder.
	Dir         string
	Hall        sumachead.HallID
	Incarnation string
	// Granted returns what the ledger is known to have granted to this journal.
	Granted func(sumachead.BudgetID) sumachead.Tokens

	// Room tells when tokens may have become free.
	TokensFreed ledger.Notifier

	files *files

	mu       sync.Mutex // guards the fields below
	accounts map[string]*account
	entries  map[entryKey]*wire.Entry
	topups   map[string]bool
	seq      uint64
	// unmerged are the records that the ledger is not known to have.
	unmerged []*wire.JournalRecord
	// pending are the records that wait for their sync.
	pending []*wire.JournalRecord
	waiting []chan error
	failed  error

	wake chan struct{}
}

// Open reads the folder.
func (j *Journal) Open() error {
	j.accounts = make(map[string]*account)
	j.entries = make(map[entryKey]*wire.Entry)
	j.topups = make(map[string]bool)
	j.wake = make(chan struct{}, 1)
	f, err := openFiles(j.Dir, j.restore, j.replay)
	j.files = f
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

// available returns what may be spent. The caller holds mu.
func (j *Journal) available(budget string) int64 {
	a := j.account(budget)
	granted := int64(j.Granted(sumachead.BudgetID(budget)))
	return granted + a.topups - a.returned - a.billed - a.reserved
}

// Available returns what may be spent of a budget, and what is reserved by
// requests under way.
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

// apply carries one record out in memory. It is used for new records and for
// those read from disk.
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
		a.reserved += held(e) - held(j.entries[k])
		a.billed += r.GetBill()
		j.entries[k] = e
	}
	j.unmerged = append(j.unmerged, r)
}

// held returns what an entry keeps reserved.
func held(e *wire.Entry) int64 {
	if e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED {
		return 0
	}
	return e.GetReserved()
}

// write makes a new record and queues it for the next sync. The caller holds
// mu.
func (j *Journal) write(r *wire.JournalRecord) {
	r.Seq = j.seq + 1
	j.apply(r)
	j.pending = append(j.pending, r)
}

// writeEntry writes an entry as a step leaves it.
func (j *Journal) writeEntry(next *wire.Entry) {
	old := j.entries[entryKey{next.GetWorkspace(), next.GetKey()}]
	j.write(&wire.JournalRecord{Budget: next.GetBudget(), Entry: next, Bill: next.GetBilled() - old.GetBilled()})
}

// do runs a step and answers once all that it saw and wrote is synced.
func (j *Journal) do(step func() *wire.LedgerReply) (*wire.LedgerReply, error) {
	j.mu.Lock()
	if j.failed != nil {
		j.mu.Unlock()
		return nil, j.failed
	}
	reply := step()
	if len(j.pending) == 0 && len(j.waiting) == 0 {
		j.mu.Unlock()
		return reply, nil
	}
	done := make(chan error, 1)
	j.waiting = append(j.waiting, done)
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

// Reserve reserves a request's cost and claims its key.
func (j *Journal) Reserve(r *wire.ReserveRequest) (*wire.LedgerReply, error) {
	return j.do(func() *wire.LedgerReply {
		e := j.entries[entryKey{r.GetWorkspace(), r.GetKey()}]
		code, isNew := ledger.CheckClaim(e, r)
		if !isNew {
			return reply(code, e)
		}
		if r.GetAmount() < 0 || j.available(r.GetBudget()) < r.GetAmount() {
			return reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, nil)
		}
		next := ledger.ReservedEntry(e, r, string(j.Hall))
		// What the key was billed before is held again as part of the new
		// reservation.
		j.writeEntry(next)
		return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, next)
	})
}

// Reassign moves an entry to its next attempt.
func (j *Journal) Reassign(r *wire.ReassignRequest) (*wire.LedgerReply, error) {
	return j.do(func() *wire.LedgerReply {
		e := j.entries[entryKey{r.GetWorkspace(), r.GetKey()}]
		code, isNew := ledger.CheckReassign(e, r)
		if !isNew {
			return reply(code, e)
		}
		// What is available may show as less than nothing for a while, after a
		// restart with an old copy of the ledger.
		if used := ledger.FailedAttemptUsage(e, r); used > 0 && used > j.available(e.GetBudget()) {
			return reply(wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED, e)
		}
		next := ledger.ReassignedEntry(e, r)
		j.writeEntry(next)
		return reply(wire.LedgerCode_LEDGER_CODE_GRANTED, next)
	})
}

// Settle ends entries, all with one sync.
func (j *Journal) Settle(b *wire.SettleBatch) ([]*wire.LedgerReply, error) {
	defer j.TokensFreed.Broadcast()
	var replies []*wire.LedgerReply
	_, err := j.do(func() *wire.LedgerReply {
		for _, s := range b.GetSettles() {
			replies = append(replies, j.settle(s))
		}
		return nil
	})
	return replies, err
}

// settle ends one entry. The caller holds mu.
func (j *Journal) settle(s *wire.SettleRequest) *wire.LedgerReply {
	e := j.entries[entryKey{s.GetWorkspace(), s.GetKey()}]
	if e == nil {
		if w := ledger.WithdrawalTombstone(s, string(j.Hall)); w != nil {
			j.writeEntry(w)
		}
		return reply(wire.LedgerCode_LEDGER_CODE_NO_ENTRY, nil)
	}
	if settles, _ := ledger.CheckSettle(e, s); !settles {
		return reply(wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, e)
	}
	next := ledger.SettledEntry(e, s)
	j.writeEntry(next)
	return reply(wire.LedgerCode_LEDGER_CODE_SETTLED, next)
}

// Return gives up to amount unspent tokens of a budget back; the ledger has
// them again once the record is merged. It returns how many.
func (j *Journal) Return(budget sumachead.BudgetID, amount sumachead.Tokens) (sumachead.Tokens, error) {
	n := int64(0)
	_, err := j.do(func() *wire.LedgerReply {
		n = max(min(int64(amount), j.available(string(budget))), 0)
		if n > 0 {
			j.write(&wire.JournalRecord{Budget: string(budget), Returned: n})
		}
		return nil
	})
	return sumachead.Tokens(n), err
}

// Topup adds tokens that were bought while the hall was cut off. A top-up is
// taken once.
func (j *Journal) Topup(budget sumachead.BudgetID, id string, tokens sumachead.Tokens) error {
	if id == "" || tokens < 1 {
		return trace.BadParameter("a top-up needs an id and at least one token")
	}
	defer j.TokensFreed.Broadcast()
	_, err := j.do(func() *wire.LedgerReply {
		if !j.topups[id] {
			j.write(&wire.JournalRecord{Budget: string(budget), TopupId: id, TopupTokens: int64(tokens)})
		}
		return nil
	})
	return err
}

// Introduce writes a first record to a new journal, by which the ledger learns
// that it has taken the place of one that was lost.
func (j *Journal) Introduce() error {
	_, err := j.do(func() *wire.LedgerReply {
		if j.seq == 0 {
			j.write(&wire.JournalRecord{})
		}
		return nil
	})
	return err
}

// Expire presumes the bills of entries whose deadline passed before presume,
// and forgets merged entries that ended long ago.
func (j *Journal) Expire(now, presume time.Time) error {
	_, err := j.do(func() *wire.LedgerReply {
		for k, e := range j.entries {
			switch {
			case e.GetState() != wire.EntryState_ENTRY_STATE_RESERVED:
				if e.GetUpdatedUnixNano() < now.Add(-keepFor).UnixNano() && len(j.unmerged) == 0 {
					delete(j.entries, k)
				}
			case e.GetDeadlineUnixNano() < presume.UnixNano():
				j.writeEntry(ledger.PresumedEntry(e, now.UnixNano()))
			}
		}
		return nil
	})
	return err
}

// Unmerged returns synced records after seq, at most so many, for the ledger.
func (j *Journal) Unmerged(after uint64, most int) []*wire.JournalRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	synced := j.seq - uint64(len(j.pending))
	var out []*wire.JournalRecord
	for _, r := range j.unmerged {
		if r.GetSeq() > after && r.GetSeq() <= synced && len(out) < most {
			out = append(out, r)
		}
	}
	return out
}

// Merged tells up to where the ledger has the records.
func (j *Journal) Merged(seq uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for n < len(j.unmerged) && j.unmerged[n].GetSeq() <= seq {
		n++
	}
	j.unmerged = j.unmerged[n:]
}

// snapshot returns the whole state. The caller holds mu.
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
		j.account(e.GetBudget()).reserved += held(e)
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
