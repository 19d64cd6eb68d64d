package escrow

import (
	"context"
	"errors"
	"testing"
	"time"

	"sumachead"
	"sumachead/internal/patience"
)

func TestEnds(t *testing.T) {
	start := time.Now()
	type word struct {
		at    time.Duration
		bound sumachead.Tokens
	}
	tests := []struct {
		name  string
		words []word
		at    time.Duration
		bound sumachead.Tokens
		want  bool
	}{
		{"nothing was said", nil, 0, 1000, false},
		{"said of as much", []word{{0, 1000}}, exhaustedFor / 2, 1000, true},
		{"said of less", []word{{0, 1000}}, exhaustedFor / 2, 9000, true},
		{"said of more", []word{{0, 9000}}, exhaustedFor / 2, 1000, false},
		{"too long ago", []word{{0, 1000}}, exhaustedFor, 1000, false},
		{"a word on a larger one does not replace it", []word{{0, 1000}, {exhaustedFor / 2, 9000}}, exhaustedFor * 3 / 4, 1000, true},
		{"nor prolong it", []word{{0, 1000}, {exhaustedFor / 2, 9000}}, exhaustedFor * 5 / 4, 1000, false},
		{"the larger one is believed for itself", []word{{0, 1000}, {exhaustedFor / 2, 9000}}, exhaustedFor * 5 / 4, 9000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e ends
			for _, w := range tt.words {
				e.note(w.bound, start.Add(w.at))
			}
			if got := e.covers(tt.bound, start.Add(tt.at)); got != tt.want {
				t.Errorf("covered %t, want %t", got, tt.want)
			}
		})
	}
}

// At the end of a budget callers are told so, and not to come back, also after the next
// periodic report, which asks for nothing; and once there is money again, they get it.
func TestEndOfABudgetIsSaidUntilMoneyComes(t *testing.T) {
	l := newLedger(10_000)
	h := newHolder("router-1", "a")
	h.report(l, time.Now())
	ask := func(bound sumachead.Tokens) (*Reservation, sumachead.Reason) {
		r, err := h.Reserve(context.Background(), clerks, bound, patience.Deadlines{Soft: time.Now().Add(20 * time.Millisecond)}, 0)
		var f *sumachead.Refusal
		if errors.As(err, &f) {
			return nil, f.Reason
		}
		return r, ""
	}
	ask(20_000) // asks the ledger, in vain
	h.report(l, time.Now())
	h.Touch([]sumachead.WorkspaceID{clerks})
	h.report(l, time.Now())
	h.report(l, time.Now())
	if _, reason := ask(20_000); reason != sumachead.ReasonBudgetExhausted {
		t.Errorf("refused with %q at the end of the budget", reason)
	}
	l.book.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: 100_000})
	time.Sleep(exhaustedFor)
	ask(20_000) // asks again
	h.report(l, time.Now())
	if r, reason := ask(20_000); r == nil {
		t.Errorf("refused with %q after a top-up", reason)
	}
}
