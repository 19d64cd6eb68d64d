package scenario

import (
	"fmt"
	"strings"
	"time"

	"sumachead/api/wire"
)

// settleTimeout bounds the wait for the last requests to be billed.
const settleTimeout = 20 * time.Second

// checkBudget checks the invariants of the ledger and, if settled, waits for the bills to match
// what the simulated servers ran. The expected spend is bill, or -1 for any.
func (s *system) checkBudget(settled bool, slack, bill int64) error {
	deadline := time.Now().Add(settleTimeout)
	for {
		r, err := s.ledger()
		if err != nil {
			return err
		}
		if err := checkInvariants(r); err != nil || !settled {
			return err
		}
		err = s.compareBills(r, slack, bill)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func checkInvariants(r *wire.LookupReply) error {
	if r.GetViolations() != 0 {
		return fmt.Errorf("%d violations", r.GetViolations())
	}
	for _, b := range r.GetBudgets() {
		if b.GetSpent()+b.GetReserved()+b.GetAllotted() > b.GetTotal() {
			return fmt.Errorf("budget exceeds its total: %v", b)
		}
	}
	return nil
}

// compareBills compares the spent budget with the ledger's entries and with what the simulated
// servers ran.
func (s *system) compareBills(r *wire.LookupReply, slack, bill int64) error {
	b := r.GetBudgets()[0]
	if b.GetReserved() != 0 {
		return fmt.Errorf("%d tokens still reserved", b.GetReserved())
	}
	entries := int64(0)
	for _, e := range r.GetEntries() {
		entries += e.GetBilled()
	}
	if entries != b.GetSpent() {
		return fmt.Errorf("entries bill %d tokens, but the budget has spent %d", entries, b.GetSpent())
	}
	if bill >= 0 && bill != b.GetSpent() {
		return fmt.Errorf("budget has spent %d tokens, want %d", b.GetSpent(), bill)
	}
	made, err := s.executedTokens()
	if err != nil {
		return err
	}
	if diff := made - b.GetSpent(); diff < -slack || diff > slack {
		return fmt.Errorf("simulated servers ran %d tokens, but the budget has spent %d", made, b.GetSpent())
	}
	return nil
}

// executedTokens returns the cost in tokens of all that the simulated servers ran.
func (s *system) executedTokens() (int64, error) {
	engines, err := s.runsOf("assistant")
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for _, r := range engines {
		total += r.Tokens
	}
	calls, err := s.runsOf("booking")
	if err != nil {
		return 0, err
	}
	for _, r := range calls {
		if strings.HasPrefix(r.ID, "clerks/") {
			total += s.shape.callCost
		}
	}
	return total, nil
}
