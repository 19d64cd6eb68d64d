package escrow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// positionDemand is what a holder last reported on one workspace.
type positionDemand struct {
	// rate is the demand in tokens per second.
	rate sumachead.Tokens
	// reserved is the sum of the bounds of requests in flight. billed is the sum of all bills,
	// and boundsSettled of the bounds that these replaced.
	reserved, billed, boundsSettled sumachead.Tokens
	averages                        demandAverages
}

// positionDemandOf returns the demand that a position reports.
func positionDemandOf(p *wire.EscrowPosition, now time.Time) positionDemand {
	return positionDemand{
		rate: sumachead.Tokens(p.GetRate()), reserved: sumachead.Tokens(p.GetReserved()),
		billed: sumachead.Tokens(p.GetSpent()), boundsSettled: sumachead.Tokens(p.GetBoundsSettled()),
		averages: averagesOf(p, now),
	}
}

// budgetDemand are the sums of all live holders' demand on one workspace's budget, so that a
// decision does not have to visit all holders.
type budgetDemand struct {
	positionDemand
	bills recentBills
	// state is the state as of the last answer.
	state ReserveState
	// gone is what holders that are not live hold beyond what they reported as spent, as of
	// goneAt.
	gone   sumachead.Tokens
	goneAt goneVersion
}

// goneVersion changes when a holder becomes or ceases to be live, or is closed.
type goneVersion struct{ liveChanges, closures uint64 }

// replace replaces one holder's part of the sums.
func (d *budgetDemand) replace(old, part positionDemand, now time.Time) {
	d.rate += part.rate - old.rate
	d.reserved += part.reserved - old.reserved
	d.billed += part.billed - old.billed
	d.boundsSettled += part.boundsSettled - old.boundsSettled
	d.averages = d.averages.replaced(old.averages, part.averages, now)
}

// budget returns a workspace's sums. The caller holds mu.
func (s *Allocator) budget(w sumachead.WorkspaceID) *budgetDemand {
	d := s.budgets[w]
	if d == nil {
		d = &budgetDemand{state: ReserveState{Workspace: w}}
		s.budgets[w] = d
	}
	return d
}

// recordPosition records a position of a live holder. A report that arrives after a later one
// changes nothing. The caller holds mu.
func (s *Allocator) recordPosition(h *holderDemand, p *wire.EscrowPosition, now time.Time) {
	w := sumachead.WorkspaceID(p.GetWorkspace())
	old, known := h.positions[w]
	part := positionDemandOf(p, now)
	if part.billed < old.billed || part.boundsSettled < old.boundsSettled {
		return
	}
	d := s.budget(w)
	d.replace(old, part, now)
	if known && part.boundsSettled > old.boundsSettled {
		d.bills.add(part.billed-old.billed, part.boundsSettled-old.boundsSettled, now)
	}
	h.positions[w] = part
}

// assess updates and returns the state of a workspace's budget for the answer to a position of
// the holder whose holding, with the position, is x. What is held by holders that are gone only
// counts near the end of the budget, and for a shortfall that the ledger cannot grant. The caller
// holds mu.
func (s *Allocator) assess(b *Ledger, w sumachead.WorkspaceID, h Holder, x Holding, shortfall sumachead.Tokens, now time.Time) ReserveState {
	d := s.budget(w)
	total, limited := b.Total(w)
	ratio := d.bills.ratio(d.billed, d.boundsSettled)
	f := budgetFigures{
		total: total, reserved: d.reserved, billRatio: ratio, lowBillRatio: d.bills.lowRatio(ratio),
		// The position is not in the ledger yet.
		spent: b.ReportedSpent(w) + x.Spent - b.Holdings(w)[h].Spent,
	}
	a := d.averages.decayed(now)
	f.urgentRate = a.urgentTokens
	f.urgentBound, f.otherBound = mean(a.urgentTokens, a.urgentRequests), mean(a.otherTokens, a.otherRequests)
	free := b.Unallocated(w)
	if d.state.Active || shortfall > free || free-f.inFlight() <= total/maxReserveDivisor {
		f.spent += s.heldByGone(b, w, d)
	}
	n := ReserveState{
		Workspace: w, Active: s.PriorityReserve && limited && f.reserves(d.state.Active),
		Total: total, Left: f.left(), LeftAtMost: f.leftAtMost(), Size: f.reserveSize(), UrgentRate: sumachead.Tokens(f.urgentRate),
		InFlight: f.inFlight(), Free: free, ExhaustedFrom: f.exhaustedFrom(),
	}
	changed := n.Active != d.state.Active
	d.state = n
	if changed {
		s.countReserve(n.Active)
		if s.OnReserveChange != nil {
			s.OnReserveChange(n)
		}
	}
	return n
}

// countReserve counts a reserve that starts or ends. The caller holds mu.
func (s *Allocator) countReserve(active bool) {
	if active {
		s.activeReserves++
		return
	}
	s.activeReserves--
}

// heldByGone returns what holders that are not live hold beyond what they reported as spent. It
// visits the holders only after one of them became or ceased to be live, or was closed. Holders
// that have not had the time to report to a new leader do not count. The caller holds mu.
func (s *Allocator) heldByGone(b *Ledger, w sumachead.WorkspaceID, d *budgetDemand) sumachead.Tokens {
	if !s.clock.warmedUp() {
		return 0
	}
	version := goneVersion{s.liveChanges, b.closures}
	if d.goneAt == version {
		return d.gone
	}
	d.gone, d.goneAt = 0, version
	for h, x := range b.Holdings(w) {
		if !s.isLive(h) {
			d.gone += x.Outstanding() - x.Spent
		}
	}
	return d.gone
}

// ActiveReserves returns the number of workspaces whose last part is reserved for urgent
// requests.
func (s *Allocator) ActiveReserves() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeReserves
}

// BudgetStates returns the states of all workspaces' budgets that holders reported on, sorted
// by workspace.
func (s *Allocator) BudgetStates() []ReserveState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ReserveState, 0, len(s.budgets))
	for d := range maps.Values(s.budgets) {
		out = append(out, d.state)
	}
	slices.SortFunc(out, func(a, b ReserveState) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}
