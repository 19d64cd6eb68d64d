package escrow

import (
	"context"
	"errors"
	"testing"
	"time"

	"sumachead"
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
		r, err := h.Reserve(context.Background(), clerks, bound, patience.Use{InTime: begun.Add(objective)}, 0)
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
