package ledger

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sumachead/api/wire"
)

// model applies random commands to a machine and checks its invariants.
type model struct {
	t     *rapid.T
	m     *Machine
	seq   map[string]uint64
	held  map[string]int64
	total int64
	rev   uint64
	now   int64
	owner int
}

func (d *model) apply(c *wire.LedgerCommand) any {
	data, err := proto.Marshal(c)
	if err != nil {
		d.t.Fatal(err)
	}
	return d.m.Apply(0, data)
}

func (d *model) key() string {
	return fmt.Sprintf("k%d", rapid.IntRange(0, 12).Draw(d.t, "key"))
}

func (d *model) attempt() *wire.Attempt {
	d.owner++
	server := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(d.t, "server"))
	return &wire.Attempt{Owner: fmt.Sprint(d.owner), Server: server, Boot: "b"}
}

func (d *model) reserve(*rapid.T) {
	d.now++
	k := d.key()
	d.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Reserve{Reserve: &wire.ReserveRequest{
		Workspace: "w", Key: k, BodyHash: []byte(k), Budget: "b", Attempt: d.attempt(), NowUnixNano: d.now,
		Amount:           rapid.Int64Range(0, 60).Draw(d.t, "amount"),
		NotRepeatable:    k > "k6",
		DeadlineUnixNano: d.now + rapid.Int64Range(1, 20).Draw(d.t, "deadline"),
	}}})
}

func (d *model) reassign(t *rapid.T) {
	d.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Reassign{Reassign: &wire.ReassignRequest{
		Workspace: "w", Key: d.key(), From: uint32(rapid.IntRange(1, 3).Draw(t, "from")), Attempt: d.attempt(),
		NotRun: rapid.Bool().Draw(t, "notRun"), Used: rapid.Int64Range(-5, 80).Draw(t, "used"), NowUnixNano: d.now,
	}}})
}

func (d *model) settle(t *rapid.T) {
	d.now++
	k := d.key()
	before := d.m.entries[entryKey{"w", k}]
	s := &wire.SettleRequest{
		Workspace: "w", Key: k, Attempt: uint32(rapid.IntRange(1, 3).Draw(t, "attempt")), NowUnixNano: d.now,
		Tokens: rapid.Int64Range(-5, 100).Draw(t, "tokens"), Failed: rapid.Bool().Draw(t, "failed"),
	}
	// Agents never report a run of an entry that was released.
	s.NotRun = before.GetState() == wire.EntryState_ENTRY_STATE_RELEASED || rapid.Bool().Draw(t, "notRun")
	d.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Settle{Settle: &wire.SettleBatch{Settles: []*wire.SettleRequest{s, s}}}})
	after := d.m.entries[entryKey{"w", k}]
	if before.GetState() == wire.EntryState_ENTRY_STATE_SETTLED && !before.GetPresumed() && !proto.Equal(before, after) {
		t.Fatalf("a settled entry changed:\n%s", cmp.Diff(before, after, cmp.Comparer(proto.Equal)))
	}
}

func (d *model) topup(t *rapid.T) {
	d.total += rapid.Int64Range(0, 200).Draw(t, "topup")
	d.rev++
	d.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Totals{Totals: &wire.SetTotals{
		Revision: d.rev, Totals: []*wire.BudgetTotal{{Budget: "b", Total: d.total}},
	}}})
}

func (d *model) grant(t *rapid.T) {
	h := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "hall")
	before := d.m.Granted("b", "h1", "i") + d.m.Granted("b", "h2", "i")
	d.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Grant{Grant: &wire.Grant{
		Budget: "b", Hall: h, KeeperIncarnation: "i", Amount: rapid.Int64Range(-5, 100).Draw(t, "amount"), Partial: rapid.Bool().Draw(t, "partial"),
	}}})
	d.held[h] += int64(d.m.Granted("b", "h1", "i") + d.m.Granted("b", "h2", "i") - before)
}

// merge sends a valid record of a hall's journal, twice.
func (d *model) merge(t *rapid.T) {
	h := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "hall")
	n := rapid.Int64Range(0, max(d.held[h], 0)).Draw(t, "tokens")
	d.seq[h]++
	r := &wire.JournalRecord{Seq: d.seq[h], Budget: "b"}
	if rapid.Bool().Draw(t, "return") {
		r.Returned = n
	} else {
		k := d.key()
		r.Bill = n
		r.Entry = &wire.Entry{Workspace: "w", Key: k, Hall: h, Budget: "b", Billed: n, State: wire.EntryState_ENTRY_STATE_SETTLED, BodyHash: []byte(k)}
	}
	d.held[h] -= n
	m := &wire.LedgerCommand{Command: &wire.LedgerCommand_Merge{Merge: &wire.MergeRequest{Hall: h, KeeperIncarnation: "i", Records: []*wire.JournalRecord{r}}}}
	d.apply(m)
	d.apply(m)
}

func (d *model) expire(*rapid.T) {
	d.now += 3
	d.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Expire{Expire: &wire.Expire{
		NowUnixNano: d.now, PresumeBeforeUnixNano: d.now - 10, RetainBeforeUnixNano: d.now - 30,
	}}})
}

// restore replaces the machine by one restored from its snapshot.
func (d *model) restore(t *rapid.T) {
	data, err := d.m.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	next := NewMachine()
	if err := next.Restore(data); err != nil {
		t.Fatal(err)
	}
	second, err := next.Snapshot()()
	if err != nil || string(second) != string(data) {
		t.Fatalf("snapshot of the restored machine differs: %v", err)
	}
	d.m = next
}

// check compares the budget with the sum of its entries and allotments.
func (d *model) check(t *rapid.T) {
	if n := d.m.Violations(); n != 0 {
		t.Fatalf("%d violations", n)
	}
	b := d.m.budgets["b"]
	if b == nil {
		return
	}
	reserved := int64(0)
	for _, e := range d.m.entries {
		if e.GetState() == wire.EntryState_ENTRY_STATE_RESERVED && e.GetHall() == "" {
			reserved += e.GetReserved()
		}
	}
	if reserved != b.reserved || b.spent+b.reserved+b.allotted > b.total || b.allotted != d.held["h1"]+d.held["h2"] {
		t.Fatalf("total %d, spent %d, reserved %d (entries %d), allotted %d (held %v)", b.total, b.spent, b.reserved, reserved, b.allotted, d.held)
	}
}

func TestBudgetInvariantsUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &model{t: t, m: NewMachine(), seq: make(map[string]uint64), held: make(map[string]int64)}
		t.Repeat(map[string]func(*rapid.T){
			"": d.check, "reserve": d.reserve, "reassign": d.reassign, "settle": d.settle, "topup": d.topup,
			"grant": d.grant, "merge": d.merge, "expire": d.expire, "restore": d.restore,
		})
	})
}

func TestClaim(t *testing.T) {
	entry := func(s wire.EntryState, notRepeatable, failed bool) *wire.Entry {
		return &wire.Entry{State: s, BodyHash: []byte("x"), NotRepeatable: notRepeatable, Failed: failed, Attempt: &wire.Attempt{Owner: "first", Number: 1}}
	}
	const (
		reserved = wire.EntryState_ENTRY_STATE_RESERVED
		settled  = wire.EntryState_ENTRY_STATE_SETTLED
		released = wire.EntryState_ENTRY_STATE_RELEASED
	)
	tests := []struct {
		name  string
		e     *wire.Entry
		owner string
		body  string
		want  wire.LedgerCode
		isNew bool
	}{
		{"new key", nil, "a", "x", wire.LedgerCode_LEDGER_CODE_GRANTED, true},
		{"other body", entry(reserved, false, false), "a", "y", wire.LedgerCode_LEDGER_CODE_KEY_CONFLICT, false},
		{"other owner", entry(reserved, true, false), "a", "x", wire.LedgerCode_LEDGER_CODE_EXISTS, false},
		{"resend", entry(reserved, true, false), "first", "x", wire.LedgerCode_LEDGER_CODE_GRANTED, false},
		{"settled", entry(settled, true, false), "a", "x", wire.LedgerCode_LEDGER_CODE_SETTLED, false},
		{"failed run", entry(settled, false, true), "a", "x", wire.LedgerCode_LEDGER_CODE_GRANTED, true},
		{"failed run, not idempotent", entry(settled, true, true), "a", "x", wire.LedgerCode_LEDGER_CODE_SETTLED, false},
		{"released", entry(released, true, false), "a", "x", wire.LedgerCode_LEDGER_CODE_GRANTED, true},
		{"late duplicate after release", entry(released, true, false), "first", "x", wire.LedgerCode_LEDGER_CODE_STALE_ATTEMPT, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &wire.ReserveRequest{BodyHash: []byte(tt.body), Attempt: &wire.Attempt{Owner: tt.owner}}
			if code, isNew := CheckClaim(tt.e, r); code != tt.want || isNew != tt.isNew {
				t.Errorf("got %v, %v; want %v, %v", code, isNew, tt.want, tt.isNew)
			}
		})
	}
}

// A reservation that arrives late, after a network partition has healed, must not
// bill the request twice, whichever of reservation and merge comes first.
func TestLateReservationIsBilledOnce(t *testing.T) {
	reserve := &wire.LedgerCommand{Command: &wire.LedgerCommand_Reserve{Reserve: &wire.ReserveRequest{
		Workspace: "w", Key: "k", Budget: "b", Amount: 50, Attempt: &wire.Attempt{Owner: "o"},
	}}}
	merge := &wire.LedgerCommand{Command: &wire.LedgerCommand_Merge{Merge: &wire.MergeRequest{Hall: "h", KeeperIncarnation: "i", Records: []*wire.JournalRecord{
		{Seq: 1, Budget: "b", Entry: &wire.Entry{Workspace: "w", Key: "k", Hall: "h", Budget: "b", OpenedBy: "o", Attempt: &wire.Attempt{Owner: "o", Number: 1}, State: wire.EntryState_ENTRY_STATE_RESERVED, Reserved: 50}},
		{Seq: 2, Budget: "b", Bill: 20, Entry: &wire.Entry{Workspace: "w", Key: "k", Hall: "h", Budget: "b", OpenedBy: "o", Attempt: &wire.Attempt{Owner: "o", Number: 1}, State: wire.EntryState_ENTRY_STATE_SETTLED, Reserved: 50, Billed: 20}},
	}}}}
	withdraw := &wire.LedgerCommand{Command: &wire.LedgerCommand_Settle{Settle: &wire.SettleBatch{Settles: []*wire.SettleRequest{{Workspace: "w", Key: "k", NotRun: true, Owner: "o"}}}}}
	tests := []struct {
		name     string
		commands []*wire.LedgerCommand
		spent    int64
	}{
		{"reservation first", []*wire.LedgerCommand{reserve, merge}, 20},
		{"merge first", []*wire.LedgerCommand{merge, reserve}, 20},
		{"withdrawal first", []*wire.LedgerCommand{withdraw, reserve}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewMachine()
			for _, c := range append([]*wire.LedgerCommand{
				{Command: &wire.LedgerCommand_Totals{Totals: &wire.SetTotals{Revision: 1, Totals: []*wire.BudgetTotal{{Budget: "b", Total: 1000}}}}},
				{Command: &wire.LedgerCommand_Grant{Grant: &wire.Grant{Budget: "b", Hall: "h", KeeperIncarnation: "i", Amount: 100}}},
			}, tt.commands...) {
				data, err := proto.Marshal(c)
				if err != nil {
					t.Fatal(err)
				}
				m.Apply(0, data)
			}
			b := m.Budget("b")
			if b.GetSpent() != tt.spent || b.GetReserved() != 0 || m.Violations() != 0 {
				t.Errorf("spent %d, reserved %d, violations %d", b.GetSpent(), b.GetReserved(), m.Violations())
			}
		})
	}
}
