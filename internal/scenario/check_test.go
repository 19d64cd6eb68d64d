package scenario

import (
	"fmt"
	"strings"
	"time"

	"sumachead/api/wire"
)

// settleWait is how long the last bills may take.
const settleWait = 20 * time.Second

// checkBudget checks the ledger against the invariants and, once all is
// settled, against what the stand-ins made. bill is the expected spend, or -1.
func (s *system) checkBudget(settled bool, slack, bill int64) error {
	deadline := time.Now().Add(settleWait)
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
			return fmt.Errorf("budget beyond its total: %v", b)
		}
	}
	return nil
}

// compareBills compares the spend with the entries and with the stand-ins.
func (s *system) compareBills(r *wire.LookupReply, slack, bill int64) error {
	b := r.GetBudgets()[0]
	if b.GetReserved() != 0 {
		return fmt.Errorf("still reserved: %d", b.GetReserved())
	}
	entries := int64(0)
	for _, e := range r.GetEntries() {
		entries += e.GetBilled()
	}
	if entries != b.GetSpent() {
		return fmt.Errorf("entries bill %d, the budget spent %d", entries, b.GetSpent())
	}
	if bill >= 0 && bill != b.GetSpent() {
		return fmt.Errorf("spent %d, want %d", b.GetSpent(), bill)
	}
	made, err := s.made()
	if err != nil {
		return err
	}
	if diff := made - b.GetSpent(); diff < -slack || diff > slack {
		return fmt.Errorf("the stand-ins made %d, the budget spent %d", made, b.GetSpent())
	}
	return nil
}

// made returns what the stand-ins ran, in tokens.
func (s *system) made() (int64, error) {
	engines, err := s.record("assistant")
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for _, r := range engines {
		total += r.Tokens
	}
	calls, err := s.record("booking")
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
