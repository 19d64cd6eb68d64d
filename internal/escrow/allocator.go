package escrow

import (
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// KeepAll is the value of Keep in an answer that asks for nothing back.
const KeepAll = -1

const (
	// minOutstandingDivisor is the minimum fraction of the unallocated budget, one in this
	// many, that all holders together should have available beyond what requests in flight
	// need. It applies to a budget that lasts only a short time. The fraction is lost when
	// holders crash, and a report takes only milliseconds, so a small one is enough while the
	// ledger is reachable. docs/DESIGN.md compares the alternatives.
	minOutstandingDivisor = 32
	// ampleDuration is how long a budget would have to last, at the rate that all holders
	// report, for all of its unallocated part to be outstanding. The outstanding fraction is
	// the budget's duration over ampleDuration, at least 1/minOutstandingDivisor and at most
	// 1/maxOutstandingDivisor: for a budget that lasts, what a crash loses matters less, and an
	// outage of the ledger would cost more. With these values a budget that lasts three minutes
	// bridges outages of eight seconds (TestRoutersAdmission).
	ampleDuration         = 2000 * time.Second
	maxOutstandingDivisor = 4
	// maxOutageDuration caps how long, at its reported rate, a holder should be able to go on
	// without the ledger. It covers the outages that users report.
	maxOutageDuration = 30 * time.Second
	// refillPercent is the percentage of its target below which a holder is refilled.
	refillPercent = 70
	// slackPercent is how much a holder may have, as a percentage of its target, before it is
	// asked to return the excess. It lets a holder whose demand drops report a few times
	// instead of with each commit.
	slackPercent = 200
)

const (
	// minRetryInterval is the delay before a short holder asks again: a few reports of other
	// holders, which have to return tokens first. retryIntervalPerHolder is added for each
	// short holder, so that the load on the ledger does not depend on their number.
	minRetryInterval       = 40 * time.Millisecond
	retryIntervalPerHolder = 5 * time.Millisecond
)

// shortfallTimeout is how long other holders are asked to return tokens for a short holder: a
// few report intervals.
const shortfallTimeout = 2 * time.Second

// reclaimAllFactor times the shortfall is the remaining budget below which holders are asked to
// return everything that they do not use: what remains is then split into pieces too small for
// any request.
const reclaimAllFactor = 8

// shortfall is an amount that a holder needed and that could not be granted.
type shortfall struct {
	by     Holder
	amount sumachead.Tokens
	at     time.Time
}

// Allocator decides how much each holder should have available, by the remaining budget and by
// demand. It is soft state of the ledger's leader, and safe for concurrent use. Set the exported
// fields before the first call.
type Allocator struct {
	// PriorityReserve reserves the last part of a budget for urgent requests.
	PriorityReserve bool
	// OnReserveChange is called when a workspace's reserve starts or ends, may be nil, and must
	// neither block nor call the allocator or the ledger.
	OnReserveChange func(ReserveState)

	mu      sync.Mutex // guards the fields below
	holders map[Holder]*holderDemand
	// liveChanges counts how often a holder became or ceased to be live.
	liveChanges uint64
	// clock is the time by which holders cease to be live.
	clock reportClock
	// budgets are the sums over all live holders, and activeReserves is the number of those
	// with an active reserve.
	budgets        map[sumachead.WorkspaceID]*budgetDemand
	activeReserves int
	// shortfalls holds at most one shortfall for each workspace.
	shortfalls map[sumachead.WorkspaceID]shortfall
	// shortHolders are the holders that were short, with the time they last reported it.
	shortHolders map[Holder]time.Time
	// reclaims is what nodes have been asked to return.
	reclaims map[sumachead.NodeID]*reclaimState
}

// holderDemand is the demand that one holder reported.
type holderDemand struct {
	// lastReport is the reading of the clock at the last report, or at the end of the first outage
	// after it; extended is set in the second case.
	lastReport time.Time
	extended   bool
	// positions are the last reported positions.
	positions map[sumachead.WorkspaceID]positionDemand
}

// RecordReport records a holder's demand.
func (s *Allocator) RecordReport(r *wire.EscrowReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders == nil {
		s.holders = make(map[Holder]*holderDemand)
		s.shortfalls = make(map[sumachead.WorkspaceID]shortfall)
		s.budgets = make(map[sumachead.WorkspaceID]*budgetDemand)
		s.shortHolders = make(map[Holder]time.Time)
	}
	s.advanceClock(now)
	h := holderOf(r)
	for other, d := range s.holders {
		if s.clock.reading.Sub(d.lastReport) > liveTimeout || (other.Node == h.Node && other != h) {
			s.removeHolder(other, now)
		}
	}
	d := s.holders[h]
	if d == nil {
		d = &holderDemand{positions: make(map[sumachead.WorkspaceID]positionDemand)}
		s.holders[h] = d
		s.liveChanges++
	}
	d.lastReport, d.extended = s.clock.reading, false
	for _, p := range r.GetPositions() {
		s.recordPosition(d, p, now)
	}
	if r.GetClosing() {
		s.removeHolder(h, now) // its requests in flight are in what it reports as spent
	}
}

// removeHolder subtracts a holder's demand from the sums. The caller holds mu.
func (s *Allocator) removeHolder(h Holder, now time.Time) {
	for w, p := range s.holders[h].positions {
		s.budget(w).replace(p, positionDemand{averages: demandAverages{at: now}}, now)
	}
	delete(s.holders, h)
	s.liveChanges++
}

// isLive reports whether a holder has reported recently. The caller holds mu.
func (s *Allocator) isLive(h Holder) bool { return s.holders[h] != nil }

// Allocate returns the grant for each position of a report, and advice for the answers: how
// much to keep, and whether the budget is exhausted.
func (s *Allocator) Allocate(b *Ledger, r *wire.EscrowReport, now time.Time) (grants []int64, advice []*wire.EscrowAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := holderOf(r)
	for _, p := range r.GetPositions() {
		grant, a := s.allocatePosition(b, h, p, now)
		grants = append(grants, int64(grant))
		advice = append(advice, a)
	}
	return grants, advice
}

// Advise adds the advice for an answer to the answer of the ledger.
func Advise(answer, advice *wire.EscrowAnswer) {
	answer.Keep, answer.Exhausted = advice.GetKeep(), advice.GetExhausted()
	answer.UrgentOnly, answer.ExhaustedFrom = advice.GetUrgentOnly(), advice.GetExhaustedFrom()
}

// allocatePosition decides on one position. The caller holds mu.
func (s *Allocator) allocatePosition(b *Ledger, h Holder, p *wire.EscrowPosition, now time.Time) (sumachead.Tokens, *wire.EscrowAnswer) {
	w := sumachead.WorkspaceID(p.GetWorkspace())
	a := &wire.EscrowAnswer{Workspace: p.GetWorkspace(), Keep: KeepAll}
	x := b.Holdings(w)[h].withReport(p)
	state := s.assess(b, w, h, x, sumachead.Tokens(p.GetNeeded()), now)
	a.UrgentOnly, a.ExhaustedFrom = state.Active, int64(state.ExhaustedFrom)
	available := x.Outstanding() - x.Spent - sumachead.Tokens(p.GetReserved())
	target := s.targetAvailable(b, w, h, state)
	unallocated := b.Unallocated(w)
	var grant sumachead.Tokens
	if available*100 < target*refillPercent {
		grant = min(target-available, unallocated)
	}
	if need, wanted := needsOf(p, state.Active); need > 0 {
		grant = max(grant, min(max(need, wanted), unallocated))
		if bound := need + max(available, 0); unallocated < need && state.LeftAtMost < bound {
			a.Exhausted = true
			a.ExhaustedFrom = int64(state.LeftAtMost + 1)
		}
		s.recordShortfall(b, w, shortfall{by: h, amount: need, at: now}, unallocated)
		if grant < need {
			s.shortHolders[h] = now
		}
	}
	if keep, above := s.returnTarget(w, h, target, now); keep >= 0 && available > above && grant <= 0 {
		a.Keep = int64(keep)
	}
	return max(grant, 0), a
}

// recordShortfall records what a holder is short of until it can be granted. The caller holds
// mu.
func (s *Allocator) recordShortfall(b *Ledger, w sumachead.WorkspaceID, n shortfall, unallocated sumachead.Tokens) {
	if unallocated >= n.amount {
		delete(s.shortfalls, w)
		return
	}
	old, ok := s.shortfalls[w]
	if ok && old.by != n.by && n.at.Sub(old.at) <= shortfallTimeout {
		return // first come, first served: two short holders must not keep each other short
	}
	s.shortfalls[w] = n
	s.reclaimFromOthers(b, w, n.by, n.at)
}

// RetryDelay returns the delay after which a short holder should ask again. It grows with the
// number of short holders; other holders do not count.
func (s *Allocator) RetryDelay(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, at := range s.shortHolders {
		if now.Sub(at) > shortfallTimeout {
			delete(s.shortHolders, h)
		}
	}
	return minRetryInterval + retryIntervalPerHolder*time.Duration(len(s.shortHolders))
}

// Unmet reports whether a position needs more than its answer granted.
func Unmet(p *wire.EscrowPosition, a *wire.EscrowAnswer) bool {
	need, _ := needsOf(p, a.GetUrgentOnly())
	return int64(need) > a.GetGranted()-p.GetGranted()
}

// needsOf returns what a position is short of for its smallest request, and for all: of urgent
// requests alone if only these are admitted.
func needsOf(p *wire.EscrowPosition, urgentOnly bool) (needed, wanted sumachead.Tokens) {
	if urgentOnly {
		return sumachead.Tokens(p.GetUrgentNeeded()), sumachead.Tokens(p.GetUrgentWanted())
	}
	return sumachead.Tokens(p.GetNeeded()), sumachead.Tokens(p.GetWanted())
}

// returnTarget returns how much a holder that has more than above should keep, returning the
// rest; keep is KeepAll when it need not return anything. The caller holds mu.
func (s *Allocator) returnTarget(w sumachead.WorkspaceID, h Holder, target sumachead.Tokens, now time.Time) (keep, above sumachead.Tokens) {
	n, ok := s.shortfalls[w]
	switch {
	case ok && n.by == h && now.Sub(n.at) <= shortfallTimeout:
		return KeepAll, 0
	case !ok || now.Sub(n.at) > shortfallTimeout:
		return target, target * slackPercent / 100
	case s.budget(w).state.Left < reclaimAllFactor*n.amount:
		return 0, 0
	}
	return target, target
}

// targetAvailable returns how much a holder should have available beyond what its requests in
// flight need: by its demand, or by that of urgent requests alone while there is a reserve. The
// caller holds mu.
func (s *Allocator) targetAvailable(b *Ledger, w sumachead.WorkspaceID, h Holder, state ReserveState) sumachead.Tokens {
	d := s.holders[h]
	if d == nil {
		return 0
	}
	rate, totalRate := d.positions[w].rate, s.budget(w).rate
	if state.Active {
		rate, totalRate = sumachead.Tokens(d.positions[w].averages.urgentTokens), state.UrgentRate
	}
	if rate <= 0 || totalRate <= 0 {
		return 0
	}
	unallocated := max(b.Unallocated(w), 0)
	byTime := rate * sumachead.Tokens(maxOutageDuration/time.Second)
	return min(byTime, targetOutstanding(unallocated, totalRate)*rate/totalRate)
}

// targetOutstanding returns how much of a budget's unallocated part all holders together should
// have available. totalRate is the sum of their demand in tokens per second and above 0.
func targetOutstanding(unallocated, totalRate sumachead.Tokens) sumachead.Tokens {
	maxDuration := sumachead.Tokens(ampleDuration / time.Second)
	duration := min(unallocated/totalRate, maxDuration)
	byDuration := unallocated / maxDuration * duration
	return max(unallocated/minOutstandingDivisor, min(byDuration, unallocated/maxOutstandingDivisor))
}
