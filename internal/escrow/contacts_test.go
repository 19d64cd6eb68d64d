package escrow

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/waitpolicy"
)

// Guards against a leader that takes a holder for one that kept within its limits when that does not
// follow from the replies that the holder has confirmed.
func TestEndedWithinLimits(t *testing.T) {
	const confirmed = 20 * time.Second // age of the holder at its last confirmed contact
	tests := []struct {
		name string
		// startedAfter is when the next holder started after that contact, reportDelay how long its
		// report took, and address where it listens.
		startedAfter, reportDelay time.Duration
		address                   string
		// lost is set if no reply was confirmed.
		lost bool
		want bool
	}{
		{"at once", time.Second, 0, "10.0.0.1", false, true},
		{"just in time", 2969 * time.Millisecond, 0, "10.0.0.1", false, true},
		{"too late", 2970 * time.Millisecond, 0, "10.0.0.1", false, false},
		{"a report that took too long", 2 * time.Second, time.Second, "10.0.0.1", false, false},
		{"at another address", time.Second, 0, "10.0.0.2", false, false},
		{"not listening", time.Second, 0, "", false, false},
		{"before the contact", -time.Second, 0, "10.0.0.1", false, false},
		{"no confirmed contact", time.Second, 0, "10.0.0.1", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Contacts{}
			const bootTime = sumachead.BootTime(time.Hour)
			r := &wire.EscrowReport{Node: "router-1", Boot: "a", Address: "10.0.0.1", AgeMillis: confirmed.Milliseconds()}
			contact := c.Record(r, bootTime)
			if !tt.lost {
				r.Contact = contact
			}
			c.Record(r, bootTime.Add(700*time.Millisecond)) // its reply is not confirmed
			next := &wire.EscrowReport{Node: "router-1", Boot: "b", Address: tt.address, AgeMillis: 500}
			at := bootTime.Add(tt.startedAfter + 500*time.Millisecond + tt.reportDelay)
			if got := c.EndedBoot(next, "a", at) == "a"; got != tt.want {
				t.Errorf("ended within its limits: %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against a holder that is taken for a limited one although it may have spent before the ledger
// recorded its limits, and against limits that a snapshot loses.
func TestSpentAtMostOfEndedHolder(t *testing.T) {
	report := func(boot string, limit *int64, granted int64) *wire.EscrowReport {
		return &wire.EscrowReport{Node: "router-1", Boot: boot, Positions: []*wire.EscrowPosition{{
			Workspace: string(clerks), Granted: granted, SpendLimit: limit,
		}}}
	}
	tests := []struct {
		name          string
		first, second *int64
		ended         string
		want          sumachead.Tokens
	}{
		{"within its limits", proto.Int64(100), proto.Int64(200), "a", 200},
		{"not known to be", proto.Int64(100), proto.Int64(200), "", 500},
		{"another one was", proto.Int64(100), proto.Int64(200), "c", 500},
		{"without a limit at first", nil, proto.Int64(200), "a", 500},
		{"without limits", nil, nil, "a", 500},
		{"with a limit above what it held", proto.Int64(100), proto.Int64(900), "a", 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLedger()
			totals := map[sumachead.WorkspaceID]sumachead.Tokens{clerks: 1000}
			l.SetTotals(totals)
			l.Apply(&wire.EscrowGrant{Report: report("a", tt.first, 0), Grants: []int64{500}})
			l.Apply(&wire.EscrowGrant{Report: report("a", tt.second, 500)})
			restored := NewLedger()
			restored.SetTotals(totals)
			restored.Restore(l.Snapshot())
			for name, l := range map[string]*Ledger{"as it was": l, "restored": restored} {
				l.Apply(&wire.EscrowGrant{Report: report("b", proto.Int64(0), 0), EndedBoot: tt.ended})
				if got := 1000 - l.Unallocated(clerks); got != tt.want {
					t.Errorf("%s: %d counts as spent, want %d", name, got, tt.want)
				}
			}
		})
	}
}

// Guards against a router that is cut off from the ledger and stays within its limit for good, or whose
// waiting requests don't notice that it may exceed it.
func TestCutOffHolderSpendsAllThatItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder("router-1", "a")
		h.Listening("10.0.0.1", time.Now().Add(-time.Hour))
		h.Report(time.Now(), false)
		h.ApplyReply(&wire.EscrowReply{Contact: 1, Answers: []*wire.EscrowAnswer{
			{Workspace: string(clerks), Granted: 10_000, SpendLimit: 1000, Keep: KeepAll},
		}}, h.boot, "", time.Now())
		if !h.spend(1000, 1000) {
			t.Fatal("refused a request within the limit")
		}
		if h.spend(1, 1) {
			t.Fatal("exceeded the limit right after a reply")
		}
		begun := time.Now()
		deadlines := waitpolicy.Deadlines{Soft: begun.Add(20 * time.Second), Hard: begun.Add(30 * time.Second)}
		m, err := h.Reserve(t.Context(), Request{Workspace: clerks, Bound: 9000, Deadlines: deadlines})
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took != spendLimitTimeout {
			t.Errorf("admitted after %v, want %v", took, spendLimitTimeout)
		}
		m.Settle(9000)
		// The next reply confirms a limit below what is spent: the holder must not repeat its contact.
		h.ApplyReply(&wire.EscrowReply{Contact: 2, Answers: []*wire.EscrowAnswer{
			{Workspace: string(clerks), Granted: 10_000, SpendLimit: 9000, Keep: KeepAll},
		}}, h.boot, "", time.Now())
		r := h.Report(time.Now(), false)
		if r.GetContact() == 2 || r.GetPositions()[0].GetSpendLimit() < 10_000 {
			t.Errorf("contact and limit in the report after a limit was exceeded: %v", r)
		}
	})
}
