package escrow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/waitpolicy"
)

// The load simulation runs the real ledger, allocator and wallets, with real waits in the
// virtual time of a synctest bubble. Requests of two classes share budgets, one of which ends.

const (
	loadDuration = 60 * time.Second
	// loadNetworkDelay is the time of one message between a router and the ledger.
	loadNetworkDelay = 8 * time.Millisecond
	// loadMinReportInterval is the minimum interval between reports that requests wait for.
	loadMinReportInterval = 15 * time.Millisecond
	// loadRequestDuration is how long a request is in flight.
	loadRequestDuration = 1500 * time.Millisecond
	// loadObjective and loadDeadline are a request's soft and hard deadlines after its arrival.
	loadObjective = time.Second
	loadDeadline  = 8 * time.Second
	// loadMaxRetries bounds the retries of a request that is told when to retry.
	loadMaxRetries = 3
	// loadRate is the number of requests per second over all workspaces, and loadBurstFactor
	// multiplies that of trialBurstWorkspace during loadBurst.
	loadRate        = 46
	loadBurstFactor = 7.5
	// loadUrgentBound and loadOtherBound are mean bounds; a request scales its own by 0.5 to 1.5.
	loadUrgentBound, loadOtherBound = 1100, 9200
	// loadUrgentBilledPercent and loadOtherBilledPercent are the parts of bounds that are billed.
	loadUrgentBilledPercent, loadOtherBilledPercent = 80, 97
)

// loadBurst is when one workspace sends more than its usual rate.
var loadBurst = span{12 * time.Second, 20 * time.Second}

// loadCase is one run of the simulation.
type loadCase struct {
	name    string
	routers int
	// otherShare is the share of requests that are not urgent.
	otherShare float64
	// ends is whether routers are told of the end of a budget, and reserve whether there is a
	// reserve for urgent requests.
	ends, reserve bool
	// extra is how much longer than loadDuration the requests go on.
	extra time.Duration
	// leaderChange is when a new leader starts without soft state, kill when a router is killed,
	// and topUp when the budget that ends is doubled; 0 for never.
	leaderChange, kill, topUp time.Duration
	// lostPercent of the answers are lost, and as many reports are duplicated.
	lostPercent int
	// outage is when no report arrives.
	outage span
}

// loadOutcome is what the callers of the workspace whose budget ends get, counted in responses
// except for Urgent, UrgentServed, Other and OtherServed, which count requests.
type loadOutcome struct {
	Urgent, UrgentServed, Other, OtherServed int
	// Reasons counts refusals by reason.
	Reasons map[sumachead.Reason]int
	// EndedUnreached and EndedInUse are requests that the budget did not cover and that were told
	// that the ledger was not reached, or that the budget is in use.
	EndedUnreached, EndedInUse int
	// FalseExhausted are requests that were told that the budget is exhausted although it
	// covered them.
	FalseExhausted int
	// MaxExhaustedWait is the longest wait of a request that the ledger knew not to fit when it
	// arrived.
	MaxExhaustedWait time.Duration
	// IdlePercent is what is neither billed nor lost, as a percentage of the total.
	IdlePercent float64
	Overspent   sumachead.Tokens
	// OtherAfterTopUp counts requests that are not urgent and come from urgentOnlyTimeout after it on, and
	// OtherServedAfterTopUp those of them that are served.
	OtherAfterTopUp, OtherServedAfterTopUp int
}

// loadBudget is the true state of a workspace's budget.
type loadBudget struct{ total, billed, inFlight, lost sumachead.Tokens }

func (b loadBudget) left() sumachead.Tokens { return b.total - b.billed - b.inFlight - b.lost }

// loadRouter is a router of the simulation.
type loadRouter struct {
	index     int
	wallet    *Wallet
	boot      sumachead.BootID
	requested chan struct{}
	dead      chan struct{}
	// inFlight are the bills of its requests in flight, by workspace.
	inFlight map[sumachead.WorkspaceID]sumachead.Tokens
}

// loadSim is one run.
type loadSim struct {
	loadCase
	begun   time.Time
	ctx     context.Context
	wg      sync.WaitGroup
	mu      sync.Mutex // guards the fields below
	ledger  *testLedger
	routers []*loadRouter
	budgets map[sumachead.WorkspaceID]*loadBudget
	random  *rand.Rand
	out     loadOutcome
}

// runLoad runs a case.
func runLoad(t *testing.T, c loadCase) loadOutcome {
	t.Helper()
	var out loadOutcome
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &loadSim{
			loadCase: c, begun: time.Now(), ctx: ctx, ledger: &testLedger{state: NewLedger(), allocator: &Allocator{PriorityReserve: c.reserve}},
			budgets: make(map[sumachead.WorkspaceID]*loadBudget), random: rand.New(rand.NewPCG(3, 4)),
		}
		s.out.Reasons = make(map[sumachead.Reason]int)
		const budgetFactor = 1.3
		mean := c.otherShare*loadOtherBound*loadOtherBilledPercent/100 + (1-c.otherShare)*loadUrgentBound*loadUrgentBilledPercent/100
		for w, part := range trialWeights {
			total := sumachead.Tokens(budgetFactor * part * loadRate * loadDuration.Seconds() * mean)
			s.budgets[trialWorkspace(w)] = &loadBudget{total: total}
		}
		s.setTotals()
		for i := range c.routers {
			s.routers = append(s.routers, nil)
			s.start(i, "a")
		}
		s.wg.Go(s.faults)
		s.arrivals()
		time.Sleep(loadDeadline + loadRequestDuration) // until the last request has ended
		cancel()
		s.wg.Wait()
		b := s.budgets[trialWorkspace(trialBurstWorkspace)]
		s.out.IdlePercent = 100 * float64(b.total-b.billed-b.lost) / float64(b.total)
		for _, b := range s.budgets {
			s.out.Overspent += max(-b.left(), 0)
		}
		out = s.out
	})
	return out
}

func (s *loadSim) setTotals() {
	totals := make(map[sumachead.WorkspaceID]sumachead.Tokens)
	for w, b := range s.budgets {
		totals[w] = b.total
	}
	s.ledger.state.SetTotals(totals)
}

// start starts an incarnation of a router.
func (s *loadSim) start(i int, boot sumachead.BootID) {
	r := &loadRouter{index: i, boot: boot, requested: make(chan struct{}, 1), dead: make(chan struct{}), inFlight: make(map[sumachead.WorkspaceID]sumachead.Tokens)}
	r.wallet = &Wallet{Node: sumachead.NodeID(fmt.Sprint("router-", i)), RequestReport: func() {
		select {
		case r.requested <- struct{}{}:
		default:
		}
	}}
	// As the reporter estimates it while the ledger responds.
	r.wallet.EstimateGrant = func(asked, since time.Time) sumachead.Estimate {
		return waitpolicy.TypicalEstimate{Since: since, By: asked.Add(loadMinReportInterval + 2*loadNetworkDelay)}
	}
	r.wallet.Open(boot)
	r.wallet.Listening(fmt.Sprint("address of ", i), time.Now())
	s.routers[i] = r
	s.wg.Go(func() { s.reports(r) })
	s.wg.Go(func() { s.reclaims(r) })
}

// reports sends a router's reports. Routers start at different times.
func (s *loadSim) reports(r *loadRouter) {
	s.mu.Lock()
	next := time.NewTimer(time.Duration(s.random.Int64N(int64(trialReportInterval))))
	s.mu.Unlock()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-r.dead:
			return
		case <-r.requested:
		case <-next.C:
		}
		next.Reset(trialReportInterval)
		s.report(r)
		time.Sleep(loadMinReportInterval)
	}
}

// report sends one report and applies the answer unless it is lost.
func (s *loadSim) report(r *loadRouter) {
	p := r.wallet.Report(time.Now(), false)
	if p == nil {
		return
	}
	time.Sleep(loadNetworkDelay)
	s.mu.Lock()
	lost, duplicated := s.random.IntN(100) < s.lostPercent, s.random.IntN(100) < s.lostPercent
	if s.outage.contains(time.Since(s.begun)) || s.routers[r.index] != r {
		s.mu.Unlock()
		r.wallet.MarkUnsent(p)
		return
	}
	reply := s.applyFirst(p)
	if duplicated {
		reply = s.apply(p)
	}
	s.mu.Unlock()
	if lost {
		time.Sleep(loadObjective / 2) // until the call times out
		r.wallet.MarkUnsent(p)
		return
	}
	time.Sleep(loadNetworkDelay)
	next := r.boot + "'"
	if r.wallet.ApplyReply(reply, r.boot, next, time.Now()) {
		r.boot = next
	}
}

// apply applies a report as the leader does, or as it did without the parts. The caller holds mu.
func (s *loadSim) apply(r *wire.EscrowReport) *wire.EscrowReply {
	now := time.Now()
	if s.ends {
		return s.ledger.apply(r, now)
	}
	exhausted := make([]bool, len(r.GetPositions()))
	a, b := s.ledger.allocator, s.ledger.state
	for i, p := range r.GetPositions() {
		w, need := sumachead.WorkspaceID(p.GetWorkspace()), sumachead.Tokens(p.GetNeeded())
		x := b.Holdings(w)[holderOf(r)].withReport(p)
		available := x.Outstanding() - x.Spent - sumachead.Tokens(p.GetReserved())
		total, _ := b.Total(w)
		exhausted[i] = need > 0 && b.Unallocated(w) < need && total-b.Spent(w, a.isLive) < need+max(available, 0)
	}
	reply := s.ledger.apply(r, now)
	for i, a := range reply.GetAnswers() {
		a.Exhausted, a.ExhaustedFrom, a.UrgentOnly = exhausted[i], 0, false
	}
	return reply
}

// reclaims lets a router return what the ledger reclaims.
func (s *loadSim) reclaims(r *loadRouter) {
	for {
		s.mu.Lock()
		names, changed := s.ledger.allocator.ReclaimRequests(r.wallet.Node, time.Now())
		s.mu.Unlock()
		var ids []sumachead.WorkspaceID
		for _, n := range names {
			ids = append(ids, sumachead.WorkspaceID(n))
		}
		time.Sleep(loadNetworkDelay)
		if r.wallet.IncludeInReport(ids) {
			r.wallet.RequestReport()
		}
		select {
		case <-s.ctx.Done():
			return
		case <-r.dead:
			return
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// faults makes the case's faults happen.
func (s *loadSim) faults() {
	type fault struct {
		at time.Duration
		do func()
	}
	faults := slices.DeleteFunc([]fault{
		{s.leaderChange, func() { s.ledger.allocator = &Allocator{PriorityReserve: s.reserve} }},
		{s.topUp, func() {
			s.budgets[trialWorkspace(trialBurstWorkspace)].total *= 2
			s.setTotals()
		}},
		{s.kill, s.killRouter},
	}, func(f fault) bool { return f.at == 0 })
	slices.SortFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	for _, f := range faults {
		time.Sleep(time.Until(s.begun.Add(f.at)))
		s.mu.Lock()
		f.do()
		s.mu.Unlock()
	}
}

// killRouter replaces router 0, whose tokens are lost. The caller holds mu.
func (s *loadSim) killRouter() {
	r := s.routers[0]
	close(r.dead)
	for w, b := range s.budgets {
		x := s.ledger.state.Holdings(w)[Holder{r.wallet.Node, r.boot}]
		r.wallet.mu.Lock()
		if p := r.wallet.balances[w]; p != nil {
			b.lost += x.Outstanding() - p.spent - r.inFlight[w]
		}
		r.wallet.mu.Unlock()
	}
	s.start(0, "b")
}

// arrivals draws requests until the end of the run.
func (s *loadSim) arrivals() {
	draw := rand.New(rand.NewPCG(1, 2))
	for at := time.Duration(0); at < loadDuration+s.extra; at += trialTick {
		for w, part := range trialWeights {
			rate := loadRate * part
			if w == trialBurstWorkspace && loadBurst.contains(at) {
				rate *= loadBurstFactor
			}
			if draw.Float64() >= rate*trialTick.Seconds() {
				continue
			}
			q := Request{Workspace: trialWorkspace(w), Urgent: draw.Float64() >= s.otherShare}
			bound, billed := loadOtherBound, sumachead.Tokens(loadOtherBilledPercent)
			q.Urgency = 1
			if q.Urgent {
				bound, billed, q.Urgency = loadUrgentBound, loadUrgentBilledPercent, 0
			}
			q.Bound = sumachead.Tokens(float64(bound) * (0.5 + draw.Float64()))
			s.wg.Go(func() { s.request(q, q.Bound*billed/100) })
		}
		time.Sleep(trialTick)
	}
}

// request is one caller's request, with its retries.
func (s *loadSim) request(q Request, bill sumachead.Tokens) {
	now := time.Now()
	q.Deadlines = waitpolicy.Deadlines{Soft: now.Add(loadObjective), Hard: now.Add(loadDeadline)}
	watched := q.Workspace == trialWorkspace(trialBurstWorkspace)
	served := false
	for range 1 + loadMaxRetries {
		var f *sumachead.Refusal
		served, f = s.attempt(q, bill, watched)
		if served || f == nil || f.RetryAt.IsZero() || f.RetryAt.After(q.Deadlines.Hard) {
			break
		}
		time.Sleep(time.Until(f.RetryAt))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !watched:
	case q.Urgent:
		s.out.Urgent++
		s.out.UrgentServed += oneIf(served)
	default:
		s.out.Other++
		s.out.OtherServed += oneIf(served)
		if s.topUp > 0 && now.After(s.begun.Add(s.topUp+urgentOnlyTimeout)) {
			s.out.OtherAfterTopUp++
			s.out.OtherServedAfterTopUp += oneIf(served)
		}
	}
}

func oneIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// attempt sends a request to a random router once, and runs it if it is admitted.
func (s *loadSim) attempt(q Request, bill sumachead.Tokens, watched bool) (bool, *sumachead.Refusal) {
	s.mu.Lock()
	r, b := s.routers[s.random.IntN(len(s.routers))], s.budgets[q.Workspace]
	from := s.ledger.allocator.exhaustedFrom(q.Workspace)
	s.mu.Unlock()
	arrived := time.Now()
	m, err := r.wallet.Reserve(s.ctx, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	var f *sumachead.Refusal
	if errors.As(err, &f) {
		if watched {
			s.countRefusal(f.Reason, b.left() >= q.Bound)
			if from > 0 && q.Bound >= from {
				s.out.MaxExhaustedWait = max(s.out.MaxExhaustedWait, time.Since(arrived))
			}
		}
		return false, f
	}
	b.inFlight += bill
	r.inFlight[q.Workspace] += bill
	s.mu.Unlock()
	time.Sleep(loadRequestDuration)
	m.Settle(bill)
	s.mu.Lock()
	b.inFlight -= bill
	b.billed += bill
	r.inFlight[q.Workspace] -= bill
	return true, nil
}

// exhaustedFrom returns the smallest bound that the allocator knew not to fit with the last
// answer, or 0.
func (s *Allocator) exhaustedFrom(w sumachead.WorkspaceID) sumachead.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.budgets[w]; d != nil {
		return d.state.ExhaustedFrom
	}
	return 0
}

// countRefusal counts a refusal; covered is whether the budget covers the request. The caller
// holds mu.
func (s *loadSim) countRefusal(reason sumachead.Reason, covered bool) {
	if !s.ends && reason == sumachead.ReasonBudgetInUse {
		reason = sumachead.ReasonLedgerUnreached
	}
	s.out.Reasons[reason]++
	switch {
	case reason == sumachead.ReasonLedgerUnreached && !covered:
		s.out.EndedUnreached++
	case reason == sumachead.ReasonBudgetInUse && !covered:
		s.out.EndedInUse++
	case reason == sumachead.ReasonBudgetExhausted:
		recentTopUp := s.topUp > 0 && time.Since(s.begun)-s.topUp < exhaustedTimeout && time.Since(s.begun) >= s.topUp
		s.out.FalseExhausted += oneIf(covered && !recentTopUp)
	}
}
