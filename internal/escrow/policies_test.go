package escrow

import (
	"fmt"
	"time"

	"sumachead"
)

// The policies to share budgets among routers that the admission experiment compares.

// sharingPolicy shares budgets among routers.
type sharingPolicy interface {
	// reserve reserves a bound at a router. It returns false when the request has to wait or is
	// refused.
	reserve(router int, w sumachead.WorkspaceID, bound sumachead.Tokens, now time.Time, reachable bool) (settle func(sumachead.Tokens), ok bool)
	// tick sends reports while the ledger is reachable.
	tick(now time.Time, reachable bool)
	// kill drops a router's in-memory state.
	kill(router int, now time.Time)
}

// fixedShares gives routers fixed amounts. A router draws from its own, and takes chunk from
// the unassigned part when that is short. What a killed router held counts as lost.
type fixedShares struct {
	// total holds the whole budgets, and unassigned what no router holds.
	total      map[sumachead.WorkspaceID]sumachead.Tokens
	unassigned map[sumachead.WorkspaceID]sumachead.Tokens
	own        [trialRouters]map[sumachead.WorkspaceID]sumachead.Tokens
	chunk      func(total, bound sumachead.Tokens) sumachead.Tokens
	// incarnations number the routers' restarts: tokens of an earlier incarnation are not
	// returned.
	incarnations [trialRouters]int
}

// newFixedShares assigns the fraction atStart of each budget to the routers in equal shares.
func newFixedShares(totals map[sumachead.WorkspaceID]sumachead.Tokens, atStart float64, chunk func(total, bound sumachead.Tokens) sumachead.Tokens) *fixedShares {
	p := &fixedShares{unassigned: make(map[sumachead.WorkspaceID]sumachead.Tokens), chunk: chunk, total: totals}
	for i := range p.own {
		p.own[i] = make(map[sumachead.WorkspaceID]sumachead.Tokens)
	}
	for w, total := range totals {
		part := sumachead.Tokens(float64(total) * atStart / trialRouters)
		for i := range p.own {
			p.own[i][w] = part
		}
		p.unassigned[w] = total - part*trialRouters
	}
	return p
}

func (p *fixedShares) reserve(router int, w sumachead.WorkspaceID, bound sumachead.Tokens, _ time.Time, reachable bool) (func(sumachead.Tokens), bool) {
	own := p.own[router]
	if own[w] < bound && reachable {
		take := min(max(p.chunk(p.total[w], bound), 0), p.unassigned[w])
		own[w] += take
		p.unassigned[w] -= take
	}
	if own[w] < bound {
		return nil, false
	}
	own[w] -= bound
	incarnation := p.incarnations[router]
	return func(bill sumachead.Tokens) {
		if p.incarnations[router] == incarnation {
			p.own[router][w] += bound - bill
		}
	}, true
}

func (p *fixedShares) tick(time.Time, bool) {}

func (p *fixedShares) kill(router int, _ time.Time) {
	p.own[router] = make(map[sumachead.WorkspaceID]sumachead.Tokens)
	p.incarnations[router]++
}

// demandBased is the policy of the real ledger, allocator and wallets.
type demandBased struct {
	ledger  *testLedger
	wallets [trialRouters]*Wallet
	// boots number the routers' incarnations.
	boots [trialRouters]int
	// reportedAt is when a router last reported. reportRequested is set if it has to report
	// with the next tick.
	reportedAt      [trialRouters]time.Time
	reportRequested [trialRouters]bool
	// down is set while a router is not running.
	down  [trialRouters]bool
	names []sumachead.WorkspaceID
}

func newDemandBased(totals map[sumachead.WorkspaceID]sumachead.Tokens) *demandBased {
	d := &demandBased{ledger: &testLedger{state: NewLedger(), allocator: &Allocator{}}}
	d.ledger.state.SetTotals(totals)
	for w := range totals {
		d.names = append(d.names, w)
	}
	for i := range d.wallets {
		d.open(i, time.Unix(1_000_000, 0))
	}
	return d
}

// open starts a new incarnation of a router.
func (d *demandBased) open(i int, now time.Time) {
	d.boots[i]++
	d.down[i] = false
	d.wallets[i] = &Wallet{Node: sumachead.NodeID(fmt.Sprint("r", i)), RequestReport: func() { d.reportRequested[i] = true }}
	d.wallets[i].Open(sumachead.BootID(fmt.Sprint(d.boots[i])))
	d.wallets[i].Listening(fmt.Sprint("address of ", i), now)
	for _, w := range d.names {
		d.wallets[i].balance(w)
	}
}

func (d *demandBased) reserve(router int, w sumachead.WorkspaceID, bound sumachead.Tokens, now time.Time, _ bool) (func(sumachead.Tokens), bool) {
	q := Request{Workspace: w, Bound: bound}
	r, a, _ := d.wallets[router].attempt(q, now, true)
	if a == admitted {
		return r.Settle, true
	}
	if a == short {
		d.reportRequested[router] = true
		d.wallets[router].stopWaiting(q, false) // it tries again with the next tick
	}
	return nil, false
}

func (d *demandBased) tick(now time.Time, reachable bool) {
	if !reachable {
		return
	}
	for i, w := range d.wallets {
		if d.down[i] {
			continue
		}
		reclaims, _ := d.ledger.allocator.ReclaimRequests(w.Node, now)
		var ids []sumachead.WorkspaceID
		for _, id := range reclaims {
			ids = append(ids, sumachead.WorkspaceID(id))
		}
		if w.IncludeInReport(ids) {
			d.reportRequested[i] = true
		}
		if !d.reportRequested[i] && now.Sub(d.reportedAt[i]) < trialReportInterval {
			continue
		}
		d.reportRequested[i], d.reportedAt[i] = false, now
		if r := w.Report(now, false); r != nil {
			boot := sumachead.BootID(r.GetBoot())
			w.ApplyReply(d.ledger.apply(r, now), boot, boot+"'", now)
		}
	}
}

func (d *demandBased) kill(router int, now time.Time) { d.open(router, now) }

// trialPolicy is a policy with its name.
type trialPolicy struct {
	name string
	sharingPolicy
}

// trialPolicies returns new instances of the policies for a scenario.
func trialPolicies(t scenario) []trialPolicy {
	return []trialPolicy{
		{"demand", newDemandBased(t.totals())},
		{"equal split", newFixedShares(t.totals(), 1, func(_, _ sumachead.Tokens) sumachead.Tokens { return 0 })},
		{"central", newFixedShares(t.totals(), 0, func(_, bound sumachead.Tokens) sumachead.Tokens { return bound })},
		{"leases of a 32nd", newFixedShares(t.totals(), 0, func(total, bound sumachead.Tokens) sumachead.Tokens { return max(total/32, bound) })},
	}
}
