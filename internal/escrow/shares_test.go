package escrow

import (
	"fmt"
	"time"

	"sumachead"
)

// The ways to share budgets among routers that the admission experiment compares.

// share is a way to share budgets.
type share interface {
	// reserve holds a bound at a router; false when it has to wait or is refused.
	reserve(router int, w sumachead.WorkspaceID, bound sumachead.Tokens, now time.Time, reached bool) (settle func(sumachead.Tokens), ok bool)
	// tick lets reports go while the ledger is reached.
	tick(now time.Time, reached bool)
	// kill loses a router's memory.
	kill(router int, now time.Time)
}

// pots are budgets in fixed amounts; a router draws from its own, and from the rest
// as much as chunk says when that is short. The ledger counts as lost what a killed
// router had.
type pots struct {
	// total are the whole budgets, and rest what no router has.
	total map[sumachead.WorkspaceID]sumachead.Tokens
	rest  map[sumachead.WorkspaceID]sumachead.Tokens
	own   [trialRouters]map[sumachead.WorkspaceID]sumachead.Tokens
	chunk func(total, bound sumachead.Tokens) sumachead.Tokens
	// lives number the routers' lives: what an earlier one had is not given back.
	lives [trialRouters]int
}

// newPots gives a part of each budget to the routers, in equal shares.
func newPots(totals map[sumachead.WorkspaceID]sumachead.Tokens, atStart float64, chunk func(total, bound sumachead.Tokens) sumachead.Tokens) *pots {
	p := &pots{rest: make(map[sumachead.WorkspaceID]sumachead.Tokens), chunk: chunk, total: totals}
	for i := range p.own {
		p.own[i] = make(map[sumachead.WorkspaceID]sumachead.Tokens)
	}
	for w, total := range totals {
		part := sumachead.Tokens(float64(total) * atStart / trialRouters)
		for i := range p.own {
			p.own[i][w] = part
		}
		p.rest[w] = total - part*trialRouters
	}
	return p
}

func (p *pots) reserve(router int, w sumachead.WorkspaceID, bound sumachead.Tokens, _ time.Time, reached bool) (func(sumachead.Tokens), bool) {
	own := p.own[router]
	if own[w] < bound && reached {
		take := min(max(p.chunk(p.total[w], bound), 0), p.rest[w])
		own[w] += take
		p.rest[w] -= take
	}
	if own[w] < bound {
		return nil, false
	}
	own[w] -= bound
	life := p.lives[router]
	return func(bill sumachead.Tokens) {
		if p.lives[router] == life {
			p.own[router][w] += bound - bill
		}
	}, true
}

func (p *pots) tick(time.Time, bool) {}

func (p *pots) kill(router int, _ time.Time) {
	p.own[router] = make(map[sumachead.WorkspaceID]sumachead.Tokens)
	p.lives[router]++
}

// byDemand is what the product does.
type byDemand struct {
	ledger  *ledger
	wallets [trialRouters]*Wallet
	// boots number the routers' lives.
	boots [trialRouters]int
	// told is when a router last reported; kicked: it has to report with the next
	// tick.
	told   [trialRouters]time.Time
	kicked [trialRouters]bool
	names  []sumachead.WorkspaceID
}

func newByDemand(totals map[sumachead.WorkspaceID]sumachead.Tokens) *byDemand {
	d := &byDemand{ledger: &ledger{NewBook(), &Sizer{}}}
	d.ledger.book.SetTotals(totals)
	for w := range totals {
		d.names = append(d.names, w)
	}
	for i := range d.wallets {
		d.open(i)
	}
	return d
}

// open starts another life of a router.
func (d *byDemand) open(i int) {
	d.boots[i]++
	d.wallets[i] = &Wallet{Node: sumachead.NodeID(fmt.Sprint("r", i)), Kick: func() { d.kicked[i] = true }}
	d.wallets[i].Open(sumachead.BootID(fmt.Sprint(d.boots[i])))
	for _, w := range d.names {
		d.wallets[i].purse(w)
	}
}

func (d *byDemand) reserve(router int, w sumachead.WorkspaceID, bound sumachead.Tokens, now time.Time, _ bool) (func(sumachead.Tokens), bool) {
	r, a, _ := d.wallets[router].try(w, bound, now, true)
	if a == admitted {
		return r.Settle, true
	}
	if a == short {
		d.kicked[router] = true
		d.wallets[router].leave(w, bound, false) // it tries again with the next tick
	}
	return nil, false
}

func (d *byDemand) tick(now time.Time, reached bool) {
	if !reached {
		return
	}
	for i, w := range d.wallets {
		lacking, _ := d.ledger.sizer.Lacking(w.Node, now)
		var ids []sumachead.WorkspaceID
		for _, id := range lacking {
			ids = append(ids, sumachead.WorkspaceID(id))
		}
		if w.Touch(ids) {
			d.kicked[i] = true
		}
		if !d.kicked[i] && now.Sub(d.told[i]) < trialReport {
			continue
		}
		d.kicked[i], d.told[i] = false, now
		if r := w.Report(now, false); r != nil {
			boot := sumachead.BootID(r.GetBoot())
			w.Take(d.ledger.take(r, now), boot, boot+"'", now)
		}
	}
}

func (d *byDemand) kill(router int, _ time.Time) { d.open(router) }

// trialPolicy is a policy by its name.
type trialPolicy struct {
	name string
	share
}

// trialPolicies are the policies that a situation is played with, each anew.
func trialPolicies(t trial) []trialPolicy {
	return []trialPolicy{
		{"demand", newByDemand(t.totals())},
		{"equal split", newPots(t.totals(), 1, func(_, _ sumachead.Tokens) sumachead.Tokens { return 0 })},
		{"central", newPots(t.totals(), 0, func(_, bound sumachead.Tokens) sumachead.Tokens { return bound })},
		{"leases of a 32nd", newPots(t.totals(), 0, func(total, bound sumachead.Tokens) sumachead.Tokens { return max(total/32, bound) })},
	}
}
