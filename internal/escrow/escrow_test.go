package escrow

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sumachead"
	"sumachead/api/wire"
)

const clerks sumachead.WorkspaceID = "clerks"

// holder is a wallet that reports to a ledger by direct calls.
type holder struct {
	*Wallet
	boot sumachead.BootID
}

func newHolder(node sumachead.NodeID, boot sumachead.BootID) *holder {
	h := &holder{&Wallet{Node: node, RequestReport: func() {}}, boot}
	h.Open(boot)
	h.balance(clerks)
	return h
}

// testLedger is a ledger with its allocator.
type testLedger struct {
	state     *Ledger
	allocator *Allocator
	contacts  Contacts
}

func newLedger(total sumachead.Tokens) *testLedger {
	l := &testLedger{state: NewLedger(), allocator: &Allocator{}}
	l.state.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: total})
	return l
}

func (l *testLedger) apply(r *wire.EscrowReport, now time.Time) *wire.EscrowReply {
	l.allocator.RecordReport(r, now)
	grants, advice := l.allocator.Allocate(l.state, r, now)
	g := &wire.EscrowGrant{Report: r, Grants: grants}
	at := sumachead.BootTime(now.UnixNano())
	if previous, ok := l.state.Incarnation(sumachead.NodeID(r.GetNode())); ok {
		g.EndedBoot = string(l.contacts.EndedBoot(r, previous, at))
	}
	reply := l.state.Apply(g)
	reply.Contact = l.contacts.Record(r, at)
	for i, a := range reply.GetAnswers() {
		Advise(a, advice[i])
	}
	return reply
}

// report sends one report and applies its reply. It reports whether the incarnation is closed.
func (h *holder) report(l *testLedger, now time.Time) bool {
	r := h.Report(now, false)
	if r == nil {
		return false
	}
	return h.ApplyReply(l.apply(r, now), h.boot, h.boot+"'", now)
}

// spend reserves and settles at once. It returns false if it was refused.
func (h *holder) spend(bound, bill sumachead.Tokens) bool {
	r, err := h.Reserve(context.Background(), Request{Workspace: clerks, Bound: bound})
	if err != nil {
		return false
	}
	r.Settle(bill)
	return true
}

func TestWalletSpendsWhatWasGranted(t *testing.T) {
	l := newLedger(100_000)
	h := newHolder("router-1", "a")
	now := time.Now()
	h.report(l, now)
	if h.spend(50_000, 40_000) {
		t.Fatal("spent more than was granted")
	}
	h.report(l, now)
	if !h.spend(50_000, 40_000) {
		t.Fatal("refused although the ledger had granted it")
	}
	if h.spend(70_000, 70_000) {
		t.Fatal("spent more than the total")
	}
}

// A holder whose demand drops must return its tokens in a few reports, since each is a commit.
func TestFallingDemandTakesFewReports(t *testing.T) {
	l := newLedger(10_000_000)
	h := newHolder("router-1", "a")
	now := time.Now()
	for range 40 {
		h.spend(20_000, 5_000)
		h.report(l, now)
		now = now.Add(50 * time.Millisecond)
	}
	before := h.Available(clerks)
	reports := 0
	const idle, step, reportInterval = 30 * time.Second, 30 * time.Millisecond, 3 * time.Second
	for at := time.Duration(0); at < idle; at += step {
		now = now.Add(step)
		if at%reportInterval == 0 {
			h.IncludeInReport([]sumachead.WorkspaceID{clerks}) // occasionally a report is due
		}
		if r := h.Report(now, false); r != nil {
			reports++
			h.ApplyReply(l.apply(r, now), h.boot, "", now)
		}
	}
	const maxReports = 25
	if reports > maxReports {
		t.Errorf("%d reports, at most %d expected", reports, maxReports)
	}
	if after := h.Available(clerks); after > before/4 {
		t.Errorf("%d of %d is still available", after, before)
	}
}

func TestIdleHolderReturnsWhatAnotherNeeds(t *testing.T) {
	l := newLedger(100_000)
	idle, busy := newHolder("router-1", "a"), newHolder("router-2", "b")
	now := time.Now()
	idle.spend(90_000, 0) // makes it request 90,000
	idle.report(l, now)
	if idle.Available(clerks) < 90_000 {
		t.Fatalf("the idle holder has %d", idle.Available(clerks))
	}
	busy.spend(60_000, 0)
	busy.report(l, now)
	reclaims, _ := l.allocator.ReclaimRequests("router-1", now)
	if d := cmp.Diff([]string{string(clerks)}, reclaims); d != "" {
		t.Fatalf("reclaim requests (-want +got):\n%s", d)
	}
	if !idle.IncludeInReport([]sumachead.WorkspaceID{clerks}) {
		t.Fatal("the idle holder has nothing to return")
	}
	idle.report(l, now) // learns that it should return tokens
	idle.report(l, now) // returns them
	busy.spend(60_000, 0)
	busy.report(l, now)
	if !busy.spend(60_000, 0) {
		t.Fatalf("still refused; available %d, unallocated %d", busy.Available(clerks), l.state.Unallocated(clerks))
	}
}

func TestTwoShortHoldersDoNotBlockEachOther(t *testing.T) {
	l := newLedger(20_000)
	a, b := newHolder("router-1", "a"), newHolder("router-2", "b")
	now := time.Now()
	for _, h := range []*holder{a, b} {
		h.spend(9_500, 0)
		h.report(l, now)
		h.spend(9_500, 9_500)
		h.report(l, now)
	}
	// 1,000 are left, split between both holders.
	served := 0
	for range 6 {
		for _, h := range []*holder{a, b} {
			if h.spend(1_000, 1_000) {
				served++
			}
			h.IncludeInReport([]sumachead.WorkspaceID{clerks})
			h.report(l, now)
		}
		now = now.Add(50 * time.Millisecond)
	}
	if served != 1 {
		t.Fatalf("%d requests served of the one that fits; available %d and %d, unallocated %d", served, a.Available(clerks), b.Available(clerks), l.state.Unallocated(clerks))
	}
}

// A budget is exhausted for a request only if what is left does not cover it once requests in
// flight elsewhere have been billed as expected. Otherwise callers are told to retry.
func TestExhaustedOnlyIfNothingCanBeReclaimed(t *testing.T) {
	tests := []struct {
		name string
		// settledBound and settledBill are of 20 requests of another router that have ended, and
		// reserved is the bound of one in flight there.
		settledBound, settledBill, reserved sumachead.Tokens
		want                                sumachead.Reason
	}{
		{"held elsewhere", 0, 0, 40_000, sumachead.ReasonBudgetInUse},
		{"in flight elsewhere, bills are a quarter of the bounds", 500, 125, 70_000, sumachead.ReasonBudgetInUse},
		{"in flight elsewhere, bills are the bounds", 500, 500, 70_000, sumachead.ReasonBudgetExhausted},
		{"in flight elsewhere, no bill is known", 0, 0, 80_000, sumachead.ReasonBudgetInUse},
		{"spent elsewhere", 4000, 4000, 0, sumachead.ReasonBudgetExhausted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger(100_000)
			other, h := newHolder("router-1", "a"), newHolder("router-2", "b")
			now := time.Now()
			for range 20 {
				if !other.spend(tt.settledBound, tt.settledBill) { // asks the ledger
					other.report(l, now)
					other.spend(tt.settledBound, tt.settledBill)
				}
				other.report(l, now)
			}
			other.spend(80_000, 0) // asks the ledger
			other.report(l, now)
			if tt.reserved > 0 {
				if _, err := other.Reserve(context.Background(), Request{Workspace: clerks, Bound: tt.reserved}); err != nil {
					t.Fatal(err)
				}
			}
			other.report(l, now)
			h.spend(50_000, 0)
			h.report(l, now)
			_, err := h.Reserve(context.Background(), Request{Workspace: clerks, Bound: 50_000})
			var f *sumachead.Refusal
			if !errors.As(err, &f) || f.Reason != tt.want {
				t.Fatalf("got %v, want reason %s", err, tt.want)
			}
		})
	}
}

func TestAvailableTokensCountOnce(t *testing.T) {
	l := newLedger(10_000)
	now := time.Now()
	h := newHolder("router-1", "a")
	h.spend(9_002, 0)
	h.report(l, now)
	h.spend(9_002, 9_002)
	h.spend(998, 0) // makes it hold all that is left
	h.report(l, now)
	h.spend(1_000, 0)
	h.report(l, now)
	_, err := h.Reserve(context.Background(), Request{Workspace: clerks, Bound: 1_000})
	var f *sumachead.Refusal
	if !errors.As(err, &f) || f.Reason != sumachead.ReasonBudgetExhausted {
		t.Fatalf("998 are left and available, 1,000 were requested: %v", err)
	}
}

func TestNewIncarnationClosesPrevious(t *testing.T) {
	l := newLedger(100_000)
	now := time.Now()
	old := newHolder("router-1", "a")
	old.spend(60_000, 0)
	old.report(l, now)
	fresh := newHolder("router-1", "b")
	fresh.report(l, now)
	if free := l.state.Unallocated(clerks); free > 40_000 {
		t.Fatalf("unallocated %d: tokens of the previous incarnation do not count as spent", free)
	}
	old.spend(1, 1)
	if !old.report(l, now) {
		t.Fatal("the previous incarnation was not told that it is closed")
	}
	if old.Available(clerks) != 0 {
		t.Fatal("a closed incarnation can still spend")
	}
}

func TestClosingReturnsWhatIsNotSpent(t *testing.T) {
	l := newLedger(100_000)
	now := time.Now()
	h := newHolder("router-1", "a")
	h.spend(50_000, 0)
	h.report(l, now)
	h.spend(50_000, 10_000)
	if _, err := h.Reserve(context.Background(), Request{Workspace: clerks, Bound: 5_000}); err != nil {
		t.Fatal(err)
	}
	l.state.Apply(&wire.EscrowGrant{Report: h.Report(now, true)})
	if free := l.state.Unallocated(clerks); free != 85_000 {
		t.Fatalf("unallocated %d, want 85000: 10000 spent and 5000 still in flight", free)
	}
}

func TestLoweredTotalGrantsNothingMore(t *testing.T) {
	l := newLedger(100_000)
	now := time.Now()
	h := newHolder("router-1", "a")
	h.spend(60_000, 0)
	h.report(l, now)
	l.state.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: 10_000})
	before := l.state.Holdings(clerks)[Holder{"router-1", "a"}].Granted
	h.spend(90_000, 0)
	h.report(l, now)
	if after := l.state.Holdings(clerks)[Holder{"router-1", "a"}].Granted; after != before {
		t.Fatalf("granted %d more although nothing is unallocated", after-before)
	}
}

func TestSnapshotRestores(t *testing.T) {
	l := newLedger(100_000)
	now := time.Now()
	for _, n := range []sumachead.NodeID{"router-2", "router-1"} {
		h := newHolder(n, "a")
		h.spend(10_000, 0)
		h.report(l, now)
	}
	restored := NewLedger()
	restored.Restore(l.state.Snapshot())
	if d := cmp.Diff(l.state.Snapshot(), restored.Snapshot(), cmp.Comparer(sameAccount)); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
}

func sameAccount(a, b *wire.AccountState) bool { return a.String() == b.String() }

// TestNeverOverspent runs random sequences of spending by urgent and other requests, reports that
// are lost in either direction or duplicated, crashes, planned stops and leader changes. It checks
// that the tokens handed out never exceed the total, and that the leader's sums over the holders
// are those that visiting all of them gives.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1000
		l := newLedger(total)
		l.allocator.PriorityReserve = rapid.Bool().Draw(t, "reserve")
		now := time.Now()
		var handedOut sumachead.Tokens
		boots := 0
		fresh := func(i int) *holder {
			boots++
			return newHolder(sumachead.NodeID(rune('a'+i)), sumachead.BootID(rune(boots)))
		}
		holders := []*holder{fresh(0), fresh(1), fresh(2)}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			h := holders[i]
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1, 2:
				bound := sumachead.Tokens(rapid.IntRange(1, 300).Draw(t, "bound"))
				urgent := rapid.Bool().Draw(t, "urgent")
				if urgent {
					bound = (bound + 9) / 10
				}
				bill := sumachead.Tokens(rapid.IntRange(0, int(bound)).Draw(t, "bill"))
				if m, err := h.Reserve(context.Background(), Request{Workspace: clerks, Bound: bound, Urgent: urgent}); err == nil {
					m.Settle(bill)
					handedOut += bill
				}
			case 3, 4:
				h.report(l, now)
			case 5: // the reply is lost, and the report is sent again
				if r := h.Report(now, false); r != nil {
					l.apply(r, now)
					l.apply(r, now)
					h.MarkUnsent(r)
				}
			case 6: // crash
				holders[i] = fresh(i)
			case 7: // planned stop
				l.state.Apply(&wire.EscrowGrant{Report: h.Report(now, true)})
				holders[i] = fresh(i)
			case 8:
				l.allocator = &Allocator{PriorityReserve: l.allocator.PriorityReserve}
			}
			if handedOut > total {
				t.Fatalf("%d handed out of %d", handedOut, total)
			}
			checkSums(t, l)
		}
	})
}

// checkSums compares the sums that the ledger and the allocator keep with those over all holders.
func checkSums(t *rapid.T, l *testLedger) {
	s, d := l.allocator, l.allocator.budgets[clerks]
	if d == nil {
		return
	}
	var want positionDemand
	for _, h := range s.holders {
		p := h.positions[clerks]
		want.rate += p.rate
		want.reserved += p.reserved
		want.billed += p.billed
		want.boundsSettled += p.boundsSettled
	}
	got := d.positionDemand
	got.averages = demandAverages{}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(positionDemand{}, demandAverages{})); diff != "" {
		t.Fatalf("sums (-want +got):\n%s", diff)
	}
	if !s.clock.warmedUp() {
		return
	}
	if spent := l.state.ReportedSpent(clerks) + s.heldByGone(l.state, clerks, d); spent != l.state.Spent(clerks, s.isLive) {
		t.Fatalf("spent %d, want %d", spent, l.state.Spent(clerks, s.isLive))
	}
}
