package escrow

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/waitpolicy"
)

// answer applies one answer of the ledger.
func (h *holder) answer(a *wire.EscrowAnswer) {
	a.Workspace = string(clerks)
	h.ApplyReply(&wire.EscrowReply{Answers: []*wire.EscrowAnswer{a}}, h.boot, "", time.Now())
}

// reasonOf returns the reason of a refusal, and whether it tells a retry time.
func reasonOf(t *testing.T, err error) (reason sumachead.Reason, retry bool) {
	t.Helper()
	var f *sumachead.Refusal
	if err != nil && !errors.As(err, &f) {
		t.Fatalf("not a refusal: %v", err)
	}
	if f == nil {
		return "", false
	}
	return f.Reason, !f.RetryAt.IsZero()
}

// A wallet must obey the ledger's last answer, and only as long as it is valid, also for requests
// of other routers (TryReserve, RefuseKnown).
func TestWalletObeysLimits(t *testing.T) {
	tests := []struct {
		name   string
		answer *wire.EscrowAnswer
		after  time.Duration
		bound  sumachead.Tokens
		urgent bool
		want   sumachead.Reason
	}{
		{"no limit", &wire.EscrowAnswer{}, 0, 1000, false, ""},
		{"reserved", &wire.EscrowAnswer{UrgentOnly: true}, 0, 1000, false, sumachead.ReasonBudgetReserved},
		{"reserved, urgent", &wire.EscrowAnswer{UrgentOnly: true}, 0, 1000, true, ""},
		{"reserved, last moment", &wire.EscrowAnswer{UrgentOnly: true}, urgentOnlyTimeout - 1, 1000, false, sumachead.ReasonBudgetReserved},
		{"reserved too long ago", &wire.EscrowAnswer{UrgentOnly: true}, urgentOnlyTimeout, 1000, false, ""},
		{"reserved, too large for what is available", &wire.EscrowAnswer{UrgentOnly: true}, 0, 3000, false, sumachead.ReasonBudgetReserved},
		{"reserved, and exhausted", &wire.EscrowAnswer{UrgentOnly: true, ExhaustedFrom: 2500}, 0, 3000, false, sumachead.ReasonBudgetExhausted},
		{"exhausted", &wire.EscrowAnswer{ExhaustedFrom: 2500}, 0, 2500, false, sumachead.ReasonBudgetExhausted},
		{"exhausted, urgent", &wire.EscrowAnswer{ExhaustedFrom: 2500}, 0, 2500, true, sumachead.ReasonBudgetExhausted},
		{"exhausted, but available", &wire.EscrowAnswer{ExhaustedFrom: 500}, 0, 1000, false, ""},
		{"exhausted for larger ones", &wire.EscrowAnswer{ExhaustedFrom: 2500}, 0, 2499, false, sumachead.ReasonBudgetInUse},
		{"exhausted too long ago", &wire.EscrowAnswer{ExhaustedFrom: 2500}, exhaustedTimeout, 2500, false, sumachead.ReasonBudgetInUse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHolder("router-1", "a")
				h.Report(time.Now(), false)
				tt.answer.Granted, tt.answer.Keep = 2000, KeepAll
				h.answer(tt.answer)
				time.Sleep(tt.after)
				q := Request{Workspace: clerks, Bound: tt.bound, Urgent: tt.urgent}
				known, knownRetry := reasonOf(t, h.RefuseKnown(q, time.Now()))
				tried := h.TryReserve(q)
				tried.Settle(0)
				m, err := h.Reserve(context.Background(), q)
				m.Settle(0)
				got, retry := reasonOf(t, err)
				if d := cmp.Diff(tt.want, got); d != "" {
					t.Errorf("reason (-want +got):\n%s", d)
				}
				if admitted := tt.want == ""; admitted != (tried != nil) {
					t.Errorf("TryReserve admitted: %t, want %t", !admitted, admitted)
				}
				if got == sumachead.ReasonBudgetInUse {
					got = "" // the request may wait
				}
				if known != got || knownRetry || got != "" && retry {
					t.Errorf("known refusal %q, want %q without a retry time", known, got)
				}
			})
		})
	}
}

// While a wallet refuses requests, its periodic reports must ask the ledger again, or it would
// not notice a top-up. The next answer ends the state.
func TestRefusingWalletAsksAgain(t *testing.T) {
	for _, a := range []*wire.EscrowAnswer{{UrgentOnly: true}, {ExhaustedFrom: 1}} {
		h := newHolder("router-1", "a")
		h.Report(time.Now(), false)
		a.Keep = KeepAll
		h.answer(a)
		if h.Report(time.Now(), false) != nil {
			t.Fatalf("%v: reports without a change", a)
		}
		if h.spend(1000, 1000) {
			t.Fatalf("%v: admitted", a)
		}
		if h.Report(time.Now(), false) == nil {
			t.Errorf("%v: does not ask again after a refusal", a)
		}
		h.answer(&wire.EscrowAnswer{Granted: 5000, Keep: KeepAll})
		if !h.spend(1000, 1000) {
			t.Errorf("%v: refused after a top-up", a)
		}
	}
}

// Requests that the ledger's answers rule out must not request a report each: a router that
// refuses hundreds of requests per second would load the ledger.
func TestRefusedDemandRequestsNoReport(t *testing.T) {
	h := newHolder("router-1", "a")
	requested := 0
	h.RequestReport = func() { requested++ }
	h.Report(time.Now(), false)
	h.answer(&wire.EscrowAnswer{UrgentOnly: true, Keep: KeepAll})
	q := Request{Workspace: clerks, Bound: 1000}
	for range 10 {
		h.RecordDemand(q)
		h.spend(q.Bound, 0)
	}
	if requested != 0 {
		t.Errorf("%d reports requested for requests that are refused", requested)
	}
	q.Urgent = true
	h.RecordDemand(q)
	if requested != 1 {
		t.Errorf("%d reports requested for an urgent request, want 1", requested)
	}
}

// A request that waits when the ledger begins to reserve the budget must be refused at once, and
// must not make urgent requests give up waiting.
func TestWaitingRequestIsRefusedWhenReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder("router-1", "a")
		reserve := func(bound sumachead.Tokens, urgent bool, objective time.Duration) (sumachead.Reason, time.Duration) {
			begun := time.Now()
			m, err := h.Reserve(context.Background(), Request{
				Workspace: clerks, Bound: bound, Urgent: urgent,
				Deadlines: waitpolicy.Deadlines{Soft: begun.Add(objective), Hard: begun.Add(2 * objective)},
			})
			m.Settle(0)
			reason, _ := reasonOf(t, err)
			return reason, time.Since(begun)
		}
		go func() {
			time.Sleep(time.Second)
			h.Report(time.Now(), false)
			h.answer(&wire.EscrowAnswer{UrgentOnly: true, Keep: KeepAll})
		}()
		reason, waited := reserve(9000, false, 10*time.Second)
		if reason != sumachead.ReasonBudgetReserved || waited != time.Second {
			t.Errorf("refused with %q after %v, want budget_reserved after 1 s", reason, waited)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			h.Report(time.Now(), false)
			h.answer(&wire.EscrowAnswer{UrgentOnly: true, Granted: 1000, Keep: KeepAll})
		}()
		if reason, waited = reserve(1000, true, time.Second); reason != "" {
			t.Errorf("an urgent request was refused with %q after %v", reason, waited)
		}
	})
}

// Callers must only be told that the ledger was not reached if no answer came.
func TestReasonOfShortRequests(t *testing.T) {
	tests := []struct {
		name string
		// reported is how long before the request the last report was sent, and answered how long
		// before it the last answer came; negative for never.
		reported, answered time.Duration
		// short is whether a request was short at the time of the last report.
		short bool
		want  sumachead.Reason
	}{
		{"never reported", -1, -1, false, sumachead.ReasonLedgerUnreached},
		{"never answered", time.Second, -1, false, sumachead.ReasonLedgerUnreached},
		{"answered", time.Hour, time.Hour, false, sumachead.ReasonBudgetInUse},
		{"answered, later report not", 100 * time.Millisecond, time.Hour, false, sumachead.ReasonLedgerUnreached},
		{"answered a shortfall, later report not", 100 * time.Millisecond, shortTimeout, true, sumachead.ReasonBudgetInUse},
		{"answered a shortfall too long ago", 100 * time.Millisecond, shortTimeout + 1, true, sumachead.ReasonLedgerUnreached},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHolder("router-1", "a")
				now := time.Now()
				if tt.short {
					h.spend(1000, 0)
				}
				if tt.answered >= 0 {
					h.Report(time.Now(), false)
					h.answer(&wire.EscrowAnswer{Keep: KeepAll})
					time.Sleep(tt.answered - max(tt.reported, 0))
				}
				if tt.reported >= 0 && tt.reported != tt.answered {
					h.RecordDemand(Request{Workspace: clerks, Bound: 10})
					h.Report(time.Now(), false)
				}
				time.Sleep(max(tt.reported, tt.answered) - time.Since(now))
				_, err := h.Reserve(context.Background(), Request{Workspace: clerks, Bound: 1000})
				got, _ := reasonOf(t, err)
				if d := cmp.Diff(tt.want, got); d != "" {
					t.Errorf("reason (-want +got):\n%s", d)
				}
			})
		})
	}
}

// Positions must tell urgent requests apart: the ledger grants by them while there is a reserve.
func TestPositionTellsUrgentRequestsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder("router-1", "a")
		h.Report(time.Now(), false)
		h.answer(&wire.EscrowAnswer{Granted: 20_000, Keep: KeepAll})
		for _, q := range []Request{
			{Workspace: clerks, Bound: 1000, Urgent: true}, {Workspace: clerks, Bound: 2000, Urgent: true}, {Workspace: clerks, Bound: 9000},
		} {
			m, err := h.Reserve(context.Background(), q)
			if err != nil {
				t.Fatal(err)
			}
			m.Settle(q.Bound / 2)
		}
		for _, q := range []Request{{Bound: 16_000, Urgent: true}, {Bound: 15_000, Urgent: true}, {Bound: 14_500}} {
			q.Workspace = clerks
			if _, err := h.Reserve(context.Background(), q); err == nil {
				t.Fatal("reserved more than is available")
			}
		}
		got := h.Report(time.Now(), false).GetPositions()[0]
		want := &wire.EscrowPosition{
			Workspace: string(clerks), Granted: 20_000, Spent: 6000, BoundsSettled: 12_000, Rate: 57_500 / 4,
			Needed: 500, Wanted: 31_500, UrgentNeeded: 1000, UrgentWanted: 17_000,
			UrgentRate: 150, UrgentBound: (1000 + 2000 + 16_000 + 15_000) / 4, OtherBound: (9000 + 14_500) / 2,
			// What is spent, what waits, and the largest recent bound, two requests later.
			SpendLimit: proto.Int64(6000 + 45_500 + 16_000*31*31/32/32),
		}
		if d := cmp.Diff(want.String(), got.String()); d != "" {
			t.Errorf("(-want +got):\n%s", d)
		}
		if _, err := h.Reserve(context.Background(), Request{Workspace: clerks, Bound: 700}); err != nil {
			t.Fatal(err)
		}
		final := h.Report(time.Now(), true).GetPositions()[0]
		if d := cmp.Diff([]int64{6700, 12_700}, []int64{final.GetSpent(), final.GetBoundsSettled()}); d != "" {
			t.Errorf("spent and bounds settled with 700 in flight (-want +got):\n%s", d)
		}
	})
}

// A holder with tokens that changes nothing must report before the ledger counts it as gone, and
// one without tokens must not report.
func TestIdleHolderStaysLive(t *testing.T) {
	h := newHolder("router-1", "a")
	now := time.Unix(1000, 0)
	h.Report(now, false)
	if h.Report(now.Add(time.Hour), false) != nil {
		t.Error("a holder without tokens reports")
	}
	now = now.Add(time.Hour)
	h.answer(&wire.EscrowAnswer{Granted: 1000, Keep: KeepAll})
	h.IncludeInReport([]sumachead.WorkspaceID{clerks})
	h.Report(now, false)
	for at := time.Duration(0); at < liveTimeout; at += trialReportInterval {
		if h.Report(now.Add(at), false) != nil {
			return
		}
	}
	t.Error("an idle holder with tokens does not report in time")
}

// A workspace with little traffic must keep its tokens between requests: the reports that keep its
// holder live must not make it return them, or each request would wait for the ledger.
func TestIdleHolderKeepsItsTokens(t *testing.T) {
	l := newLedger(10_000_000)
	h := newHolder("router-1", "a")
	now := time.Now()
	h.spend(1000, 0) // asks the ledger
	h.report(l, now)
	if !h.spend(1000, 800) {
		t.Fatal("not granted")
	}
	h.report(l, now)
	h.report(l, now) // returns what the answer does not let it keep
	before := h.Available(clerks)
	const pause, interval = time.Minute, 700 * time.Millisecond
	for end := now.Add(pause); now.Before(end); now = now.Add(interval) {
		h.report(l, now)
	}
	// Neither must a report that failed, which is due again with the next interval.
	var failed *wire.EscrowReport
	for ; failed == nil; now = now.Add(interval) {
		failed = h.Report(now, false)
	}
	h.MarkUnsent(failed)
	again := h.Report(now, false)
	if again == nil {
		t.Fatal("a report that failed is not repeated")
	}
	h.ApplyReply(l.apply(again, now), h.boot, "", now)
	if got := h.Available(clerks); got != before || got < 1000 {
		t.Errorf("%d tokens are available after a minute without requests, %d before", got, before)
	}
}
