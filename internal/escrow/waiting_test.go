package escrow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/patience"
)

// What requests have waited for in vain is not waited for by the next one: it is told
// at once when to come back. Once one is admitted, the next waits again.
func TestNobodyWaitsInVainAgain(t *testing.T) {
	l := newLedger(100_000)
	h := newHolder("router-1", "a")
	h.report(l, time.Now())
	const objective = 200 * time.Millisecond
	ask := func(bound sumachead.Tokens) (*Reservation, time.Duration, *sumachead.Refusal) {
		begun := time.Now()
		r, err := h.Reserve(context.Background(), clerks, bound, patience.Deadlines{Soft: begun.Add(objective)}, 0)
		var f *sumachead.Refusal
		if err != nil && !errors.As(err, &f) {
			t.Fatal(err)
		}
		return r, time.Since(begun), f
	}
	_, waited, f := ask(10_000)
	if f == nil || f.RetryAt.IsZero() || waited < objective/4 || waited > objective {
		t.Fatalf("the first: %v after %v", f, waited)
	}
	time.Sleep(objective)
	if _, waited, f = ask(20_000); f == nil || waited > objective/10 {
		t.Fatalf("the second: %v after %v", f, waited)
	}
	if back := time.Until(f.RetryAt); back < objective {
		t.Errorf("told to come back in %v, after a longer wait in vain", back)
	}
	h.report(l, time.Now())
	if r, _, f := ask(10_000); f != nil {
		t.Fatalf("refused with money at hand: %v", f)
	} else {
		r.Settle(10_000)
	}
	if _, waited, _ = ask(90_000); waited < objective/4 {
		t.Errorf("refused after %v, and nobody had waited in vain since money came", waited)
	}
}

// While others have to give back first, a workspace is asked for again at longer intervals: a
// request waits for the answer to the next report that may ask for it, since only that one tells
// whether there is money. A request for another workspace does not.
func TestARequestWaitsForTheNextReportThatMayAsk(t *testing.T) {
	const again = 160 * time.Millisecond
	h := newHolder("router-1", "a")
	var askedFrom time.Time
	h.Prospect = func(asked, _ time.Time) sumachead.Prospect {
		askedFrom = asked
		return patience.ReportedEstimate{}
	}
	ask := func(id sumachead.WorkspaceID) time.Duration {
		begun := time.Now()
		if _, err := h.Reserve(context.Background(), id, 1000, patience.Deadlines{Soft: begun.Add(time.Second)}, 0); err == nil {
			t.Fatal("money where none was granted")
		}
		return askedFrom.Sub(begun)
	}
	ask(clerks)
	r := h.Report(time.Now(), false)
	a := &wire.EscrowAnswer{Workspace: string(clerks), Keep: NoWish}
	h.Take(&wire.EscrowReply{Answers: []*wire.EscrowAnswer{a}, AgainMillis: again.Milliseconds()}, sumachead.BootID(r.GetBoot()), "b", time.Now())
	if from := ask(clerks); from < again-20*time.Millisecond || from > again {
		t.Errorf("asked for from %v on, want %v", from, again)
	}
	if from := ask("another"); from > 20*time.Millisecond {
		t.Errorf("another workspace is asked for from %v on", from)
	}
}

// How soon those that lack something ask again depends on their number, not on the fleet's.
func TestHoldersAskAgainByHowManyLack(t *testing.T) {
	tests := []struct {
		name            string
		holders, lack   int
		lackedFor, want time.Duration
	}{
		{"one of four", 4, 1, 0, 45 * time.Millisecond},
		{"one of a thousand", 1000, 1, 0, 45 * time.Millisecond},
		{"five of a thousand", 1000, 5, 0, 65 * time.Millisecond},
		{"all of four hundred", 400, 400, 0, 2040 * time.Millisecond},
		{"none any more", 400, 400, time.Minute, 40 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, s := NewBook(), &Sizer{}
			b.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: 1000})
			now := time.Now()
			for i := range tt.holders {
				r := &wire.EscrowReport{Node: fmt.Sprint("router-", i), Boot: "a", Positions: []*wire.EscrowPosition{{Workspace: string(clerks)}}}
				if i < tt.lack {
					r.Positions[0].Needed = 5000
				}
				s.Note(r, now)
				s.Size(b, r, now)
			}
			if got := s.Again(now.Add(tt.lackedFor)); got != tt.want {
				t.Errorf("after %v, want %v", got, tt.want)
			}
		})
	}
}

// Of a workspace that lacks money only those are told who have some of it at hand: in a large
// fleet a few holders, whatever the number of the others.
func TestOnlyHoldersOfAWorkspaceAreAskedToGiveBack(t *testing.T) {
	const holders, with = 400, 5
	b, s := NewBook(), &Sizer{}
	b.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: 1000})
	now := time.Now()
	node := func(i int) sumachead.NodeID { return sumachead.NodeID(fmt.Sprint("router-", i)) }
	changes := make([]<-chan struct{}, holders)
	for i := range holders {
		r := &wire.EscrowReport{Node: string(node(i)), Boot: "a", Positions: []*wire.EscrowPosition{{Workspace: string(clerks)}}}
		s.Note(r, now)
		if i < with {
			b.Apply(&wire.EscrowGrant{Report: r, Grants: []int64{200}})
		}
		_, changes[i] = s.Lacking(node(i), now)
	}
	lacks := &wire.EscrowReport{Node: string(node(holders - 1)), Boot: "a", Positions: []*wire.EscrowPosition{{Workspace: string(clerks), Needed: 300}}}
	s.Size(b, lacks, now)
	told := 0
	for i := range holders {
		select {
		case <-changes[i]:
			told++
		default:
		}
		ws, _ := s.Lacking(node(i), now)
		if got := len(ws) > 0; got != (i < with) {
			t.Errorf("router-%d is asked: %v", i, got)
		}
	}
	if told != with {
		t.Errorf("%d of %d nodes were told, %d have something at hand", told, holders, with)
	}
	if ws, _ := s.Lacking(node(0), now.Add(time.Minute)); ws != nil {
		t.Errorf("asked long after: %v", ws)
	}
}
