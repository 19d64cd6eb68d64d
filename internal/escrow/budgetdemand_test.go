package escrow

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// reportOf returns a report of one position on clerks.
func reportOf(node string, p *wire.EscrowPosition) *wire.EscrowReport {
	p.Workspace = string(clerks)
	return &wire.EscrowReport{Node: node, Boot: "a", Positions: []*wire.EscrowPosition{p}}
}

// Holders that are gone count as having spent what they hold. A new leader must not count
// holders as gone that had no time to report, and neither must a leader that nobody reached for
// a while: either would tell callers that the budget is exhausted.
func TestHoldersThatAreGone(t *testing.T) {
	tests := []struct {
		name string
		// silentFor is how long only router-1 reports, outage how long nobody does after that, and
		// silentAfter how long only router-1 reports then.
		silentFor, outage, silentAfter time.Duration
		newLeader                      bool
		want                           sumachead.Tokens
	}{
		{"all report", 0, 0, 0, false, 1000},
		{"one is silent for a short time", 3 * time.Second, 0, 0, false, 1000},
		{"one is gone", 6 * time.Second, 0, 0, false, 550},
		{"a new leader", 0, 0, 0, true, 1000},
		{"a new leader, one is gone", 6 * time.Second, 0, 0, true, 550},
		{"nobody reported", 0, 6 * time.Second, 0, false, 1000},
		{"nobody reported for long", 0, time.Hour, 0, false, 1000},
		{"nobody reported while one was idle", idleReportInterval + trialReportInterval, time.Hour, 0, false, 1000},
		{"late after an outage", idleReportInterval + trialReportInterval, time.Hour, 5 * time.Second, false, 1000},
		{"gone after an outage", 0, time.Hour, 6 * time.Second, false, 550},
		{"a new leader, then nobody reported", 0, time.Hour, 0, true, 1000},
		{"one is gone, then nobody reported", 7 * time.Second, time.Hour, 0, false, 550},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger(1000)
			now := time.Unix(1000, 0)
			for _, n := range []string{"router-1", "router-2"} {
				r := reportOf(n, &wire.EscrowPosition{})
				l.allocator.RecordReport(r, now)
				l.state.Apply(&wire.EscrowGrant{Report: r, Grants: []int64{450}})
			}
			if tt.newLeader {
				l.allocator = &Allocator{}
			}
			silence := func(d time.Duration) {
				for end := now.Add(d); now.Before(end); now = now.Add(trialReportInterval) {
					l.apply(reportOf("router-1", &wire.EscrowPosition{Granted: 450}), now)
				}
				l.apply(reportOf("router-1", &wire.EscrowPosition{Granted: 450}), now)
			}
			silence(tt.silentFor)
			now = now.Add(tt.outage)
			silence(tt.silentAfter)
			got := l.allocator.BudgetStates()[0].Left
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Errorf("left (-want +got):\n%s", d)
			}
		})
	}
}

// The sums over holders must be those of the last positions of all live holders, whatever is
// late, repeated or final.
func TestSumsOfPositions(t *testing.T) {
	l := newLedger(100_000)
	now := time.Unix(1000, 0)
	first := &wire.EscrowPosition{Reserved: 500, Spent: 80, BoundsSettled: 100, Rate: 7}
	second := &wire.EscrowPosition{Reserved: 300, Spent: 240, BoundsSettled: 300, Rate: 9}
	steps := []struct {
		name   string
		report *wire.EscrowReport
		// seconds is how long only this report came before, once a second.
		seconds int
		want    positionDemand
	}{
		{"first", reportOf("router-1", first), 0, positionDemand{reserved: 500, billed: 80, boundsSettled: 100, rate: 7}},
		{"other holder", reportOf("router-2", first), 0, positionDemand{reserved: 1000, billed: 160, boundsSettled: 200, rate: 14}},
		{"next", reportOf("router-1", second), 0, positionDemand{reserved: 800, billed: 320, boundsSettled: 400, rate: 16}},
		{"repeated", reportOf("router-1", second), 0, positionDemand{reserved: 800, billed: 320, boundsSettled: 400, rate: 16}},
		{"late", reportOf("router-1", first), 0, positionDemand{reserved: 800, billed: 320, boundsSettled: 400, rate: 16}},
		{"one is silent", reportOf("router-1", second), 6, positionDemand{reserved: 800, billed: 320, boundsSettled: 400, rate: 16}},
		{"one is gone", reportOf("router-1", second), 1, positionDemand{reserved: 300, billed: 240, boundsSettled: 300, rate: 9}},
		{"closing", &wire.EscrowReport{Node: "router-1", Boot: "a", Positions: []*wire.EscrowPosition{second}, Closing: true}, 0, positionDemand{}},
	}
	for _, tt := range steps {
		for range tt.seconds {
			now = now.Add(time.Second)
			l.apply(tt.report, now)
		}
		l.apply(tt.report, now)
		got := l.allocator.budgets[clerks].positionDemand
		got.averages = demandAverages{}
		if d := cmp.Diff(tt.want, got, cmp.AllowUnexported(positionDemand{}, demandAverages{})); d != "" {
			t.Fatalf("%s (-want +got):\n%s", tt.name, d)
		}
	}
}

// While there is a reserve, tokens go to urgent requests alone: by their needs and their rates.
// What a report says counts at once, before the ledger has applied it.
func TestReserveGrantsByUrgentRequests(t *testing.T) {
	const total, spent = 1_000_000, 970_000
	tests := []struct {
		name string
		// spent is what is spent before, and p is the position of another holder.
		spent     int64
		p         *wire.EscrowPosition
		wantGrant int64
		wantKeep  int64
	}{
		{"ample, other need", 0, &wire.EscrowPosition{Needed: 100_000, Wanted: 150_000}, 150_000, KeepAll},
		{"other need", spent, &wire.EscrowPosition{Needed: 9000, Wanted: 18_000}, 0, KeepAll},
		{"urgent need", spent, &wire.EscrowPosition{Needed: 1000, Wanted: 18_000, UrgentNeeded: 1000, UrgentWanted: 2000}, 2000, KeepAll},
		{"other demand", spent, &wire.EscrowPosition{Rate: 1_000_000}, 0, KeepAll},
		// A 32nd of what is not allocated, of which router-1 has got as much, by the part of the
		// urgent rate.
		{"urgent demand", spent, &wire.EscrowPosition{Rate: 1_000_000, UrgentRate: 1000, UrgentBound: 1000}, (30_000 - 30_000/32) / 32 / 2, KeepAll},
		{"other demand, tokens to return", spent, &wire.EscrowPosition{Rate: 1_000_000, Granted: 5000}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger(total)
			l.allocator.PriorityReserve = true
			now := time.Unix(1000, 0)
			l.allocator.RecordReport(reportOf("router-1", &wire.EscrowPosition{}), now)
			l.state.Apply(&wire.EscrowGrant{Report: reportOf("router-1", &wire.EscrowPosition{}), Grants: []int64{tt.spent}})
			l.apply(reportOf("router-1", &wire.EscrowPosition{
				Granted: tt.spent, Spent: tt.spent, UrgentRate: 1000, Rate: 10_000, UrgentBound: 1000, OtherBound: 9000,
			}), now)
			if d := cmp.Diff(total-tt.spent, int64(l.allocator.BudgetStates()[0].Left)); d != "" {
				t.Errorf("left (-want +got):\n%s", d)
			}
			if tt.p.GetGranted() > 0 {
				first := &wire.EscrowPosition{}
				l.allocator.RecordReport(reportOf("router-2", first), now)
				l.state.Apply(&wire.EscrowGrant{Report: reportOf("router-2", first), Grants: []int64{tt.p.GetGranted()}})
			}
			r := reportOf("router-2", tt.p)
			l.allocator.RecordReport(r, now)
			grants, advice := l.allocator.Allocate(l.state, r, now)
			if d := cmp.Diff([]int64{tt.wantGrant, tt.wantKeep}, []int64{grants[0], advice[0].GetKeep()}); d != "" {
				t.Errorf("grant and keep (-want +got):\n%s", d)
			}
			if urgentOnly := tt.spent > 0; advice[0].GetUrgentOnly() != urgentOnly {
				t.Errorf("urgent only: %t, want %t", !urgentOnly, urgentOnly)
			}
			other := &wire.EscrowAnswer{Granted: tt.p.GetGranted() + grants[0], UrgentOnly: advice[0].GetUrgentOnly()}
			if Unmet(tt.p, other) {
				t.Error("the needs that count are not met")
			}
		})
	}
}

// A shortfall must be exhausted if the tokens are held by a holder that is gone, also while much
// of the budget is not allocated.
func TestShortfallBeyondWhatGoneHoldersHold(t *testing.T) {
	l := newLedger(1000)
	now := time.Unix(1000, 0)
	r := reportOf("router-1", &wire.EscrowPosition{})
	l.allocator.RecordReport(r, now)
	l.state.Apply(&wire.EscrowGrant{Report: r, Grants: []int64{600}})
	for range 10 {
		now = now.Add(time.Second)
		l.apply(reportOf("router-2", &wire.EscrowPosition{}), now)
	}
	short := reportOf("router-2", &wire.EscrowPosition{Needed: 500})
	l.allocator.RecordReport(short, now)
	_, advice := l.allocator.Allocate(l.state, short, now)
	if d := cmp.Diff([]int64{1, 401}, []int64{int64(oneIf(advice[0].GetExhausted())), advice[0].GetExhaustedFrom()}); d != "" {
		t.Errorf("exhausted, and from which bound (-want +got):\n%s", d)
	}
}

// The keeper logs each change of a reserve once, and its gauge must follow.
func TestReserveChangesAreReported(t *testing.T) {
	var changes []bool
	l := newLedger(100_000)
	l.allocator.OnReserveChange = func(s ReserveState) { changes = append(changes, s.Active) }
	now := time.Unix(1000, 0)
	report := func(spent int64) {
		l.apply(reportOf("router-1", &wire.EscrowPosition{
			Granted: 100_000, Spent: spent, Rate: 2000, UrgentRate: 100, UrgentBound: 100, OtherBound: 1000,
		}), now)
	}
	step := func(name string, want ...bool) {
		t.Helper()
		if d := cmp.Diff(want, changes); d != "" {
			t.Fatalf("%s: changes (-want +got):\n%s", name, d)
		}
		active := 0
		if len(want) > 0 && want[len(want)-1] {
			active = 1
		}
		if d := cmp.Diff(active, l.allocator.ActiveReserves()); d != "" {
			t.Fatalf("%s: active reserves (-want +got):\n%s", name, d)
		}
	}
	report(99_000)
	step("switched off")
	l.allocator.PriorityReserve = true
	report(99_000)
	report(99_100)
	step("started", true)
	l.state.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: 200_000})
	report(99_100)
	report(99_100)
	step("top-up", true, false)
}

// BenchmarkAllocate measures a report of 20 positions on budgets near their end. The time must
// not depend on the number of holders.
func BenchmarkAllocate(b *testing.B) {
	for _, holders := range []int{4, 410} {
		b.Run(fmt.Sprint(holders, " holders"), func(b *testing.B) {
			l := &testLedger{state: NewLedger(), allocator: &Allocator{PriorityReserve: true}}
			totals := make(map[sumachead.WorkspaceID]sumachead.Tokens)
			r := &wire.EscrowReport{Boot: "a"}
			for i := range 20 {
				w := fmt.Sprint("workspace-", i)
				totals[sumachead.WorkspaceID(w)] = 1000
				r.Positions = append(r.Positions, &wire.EscrowPosition{Workspace: w, Rate: 10, UrgentRate: 1, UrgentBound: 10, OtherBound: 100, Reserved: 10})
			}
			l.state.SetTotals(totals)
			now := time.Unix(1000, 0)
			for !l.allocator.clock.warmedUp() {
				now = now.Add(maxReportGap)
				for i := range holders {
					r.Node = fmt.Sprint("router-", i)
					l.apply(r, now)
				}
			}
			for b.Loop() {
				l.allocator.Allocate(l.state, r, now)
			}
		})
	}
}
