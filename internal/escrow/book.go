package escrow

import (
	"cmp"
	"maps"
	"slices"

	"sumachead"
	"sumachead/api/wire"
)

// Holder names one life of a node that holds escrow.
type Holder struct {
	Node sumachead.NodeID
	Boot sumachead.BootID
}

// holderMessage is a message that names a holder.
type holderMessage interface {
	GetNode() string
	GetBoot() string
}

// holderOf returns the holder that a message is about.
func holderOf(m holderMessage) Holder {
	return Holder{sumachead.NodeID(m.GetNode()), sumachead.BootID(m.GetBoot())}
}

// Holding is what one holder has of one workspace's budget. The amounts are
// totals since the holder started.
type Holding struct {
	Granted  sumachead.Tokens
	Returned sumachead.Tokens
	Spent    sumachead.Tokens
}

// Out returns what the holder has been granted and has not returned.
func (h Holding) Out() sumachead.Tokens { return h.Granted - h.Returned }

// reported returns the holding with what a position tells; an older report
// changes nothing.
func (h Holding) reported(p *wire.EscrowPosition) Holding {
	h.Spent = max(h.Spent, sumachead.Tokens(p.GetSpent()))
	h.Returned = max(h.Returned, sumachead.Tokens(p.GetReturned()))
	return h
}

// account is one workspace's budget.
type account struct {
	// closed is what holders that are gone count as having spent.
	closed sumachead.Tokens
	// holdings are those of holders that are not gone; put and drop change them.
	holdings map[Holder]Holding
	// out is the sum of what all holdings have out.
	out sumachead.Tokens
}

func newAccount() *account { return &account{holdings: make(map[Holder]Holding)} }

// put replaces one holding.
func (a *account) put(h Holder, x Holding) {
	a.out += x.Out() - a.holdings[h].Out()
	a.holdings[h] = x
}

// drop forgets one holding.
func (a *account) drop(h Holder) {
	a.out -= a.holdings[h].Out()
	delete(a.holdings, h)
}

// Book is the ledger of escrow. It is deterministic and not safe for concurrent
// use.
type Book struct {
	// totals are the workspaces' budgets; one without a limit has none.
	totals   map[sumachead.WorkspaceID]sumachead.Tokens
	accounts map[sumachead.WorkspaceID]*account
	// boots is the newest life of each node that holds escrow.
	boots map[sumachead.NodeID]sumachead.BootID
}

// NewBook returns a book without budgets.
func NewBook() *Book {
	return &Book{
		totals:   make(map[sumachead.WorkspaceID]sumachead.Tokens),
		accounts: make(map[sumachead.WorkspaceID]*account),
		boots:    make(map[sumachead.NodeID]sumachead.BootID),
	}
}

// SetTotals replaces the workspaces' totals. Accounts of workspaces that are not
// listed keep what they know, so that one that comes back has not forgotten what
// it spent.
func (b *Book) SetTotals(totals map[sumachead.WorkspaceID]sumachead.Tokens) {
	b.totals = maps.Clone(totals)
}

// Free returns what may still be granted; below 0 when the total was lowered.
func (b *Book) Free(w sumachead.WorkspaceID) sumachead.Tokens {
	free := b.totals[w]
	if a := b.accounts[w]; a != nil {
		free -= a.closed + a.out
	}
	return free
}

// Total returns a workspace's total; limited is false when it has none.
func (b *Book) Total(w sumachead.WorkspaceID) (total sumachead.Tokens, limited bool) {
	total, limited = b.totals[w]
	return total, limited
}

// known reports whether the holder's life is the one that the book deals with,
// or one that it has not heard of and that holds nothing yet.
func (b *Book) known(r *wire.EscrowReport) bool {
	if b.boots[sumachead.NodeID(r.GetNode())] == sumachead.BootID(r.GetBoot()) {
		return true
	}
	for _, p := range r.GetPositions() {
		if p.GetGranted() != 0 {
			return false
		}
	}
	return true
}

// Apply takes in a report and grants on it, no more than is free. A life that the
// book has closed gets an answer that says so. Reports may come more than once
// and in any order: their amounts only grow.
func (b *Book) Apply(g *wire.EscrowGrant) *wire.EscrowReply {
	r := g.GetReport()
	if !b.known(r) {
		return &wire.EscrowReply{Closed: true}
	}
	h := holderOf(r)
	b.enter(h)
	reply := &wire.EscrowReply{}
	for i, p := range r.GetPositions() {
		var grant sumachead.Tokens
		if i < len(g.GetGrants()) {
			grant = sumachead.Tokens(g.GetGrants()[i])
		}
		granted := b.position(h, p, grant)
		reply.Answers = append(reply.Answers, &wire.EscrowAnswer{
			Workspace: p.GetWorkspace(), Granted: int64(granted), Keep: NoWish,
		})
	}
	if r.GetClosing() {
		b.close(h, true)
		delete(b.boots, h.Node)
		reply.Closed = true
	}
	return reply
}

// enter makes h the life of its node. An earlier life can spend no more; what it
// held and did not report counts as spent.
func (b *Book) enter(h Holder) {
	old, ok := b.boots[h.Node]
	if ok && old == h.Boot {
		return
	}
	if ok {
		b.close(Holder{h.Node, old}, false)
	}
	b.boots[h.Node] = h.Boot
}

// close folds a holder's accounts. A holder that tells its last figures gives
// back what it has not spent.
func (b *Book) close(h Holder, final bool) {
	for _, a := range b.accounts {
		x, ok := a.holdings[h]
		if !ok {
			continue
		}
		if final {
			a.closed += x.Spent
		} else {
			a.closed += x.Out()
		}
		a.drop(h)
	}
}

// position takes in one position and returns what the holder is granted in all.
func (b *Book) position(h Holder, p *wire.EscrowPosition, grant sumachead.Tokens) sumachead.Tokens {
	w := sumachead.WorkspaceID(p.GetWorkspace())
	a := b.accounts[w]
	if a == nil {
		a = newAccount()
		b.accounts[w] = a
	}
	x := a.holdings[h].reported(p)
	a.put(h, x)
	x.Granted += max(0, min(grant, b.Free(w)))
	a.put(h, x)
	return x.Granted
}

// Holdings returns what each holder has of a workspace's budget.
func (b *Book) Holdings(w sumachead.WorkspaceID) map[Holder]Holding {
	if a := b.accounts[w]; a != nil {
		return a.holdings
	}
	return nil
}

// Spent returns what a workspace has certainly or possibly spent: what holders
// reported, and all that those hold that live does not confirm.
func (b *Book) Spent(w sumachead.WorkspaceID, live func(Holder) bool) sumachead.Tokens {
	a := b.accounts[w]
	if a == nil {
		return 0
	}
	sum := a.closed
	for h, x := range a.holdings {
		if live(h) {
			sum += x.Spent
			continue
		}
		sum += x.Out()
	}
	return sum
}

// Snapshot returns the accounts in a fixed order.
func (b *Book) Snapshot() []*wire.AccountState {
	var out []*wire.AccountState
	for _, w := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[w]
		s := &wire.AccountState{Workspace: string(w), Closed: int64(a.closed)}
		for h, x := range a.holdings {
			s.Holdings = append(s.Holdings, &wire.HoldingState{
				Node: string(h.Node), Boot: string(h.Boot),
				Granted: int64(x.Granted), Returned: int64(x.Returned), Spent: int64(x.Spent),
			})
		}
		slices.SortFunc(s.Holdings, compareHoldings)
		out = append(out, s)
	}
	return out
}

// compareHoldings orders by node, then by life.
func compareHoldings(a, b *wire.HoldingState) int {
	return cmp.Or(cmp.Compare(a.GetNode(), b.GetNode()), cmp.Compare(a.GetBoot(), b.GetBoot()))
}

// Restore replaces the accounts.
func (b *Book) Restore(accounts []*wire.AccountState) {
	b.accounts = make(map[sumachead.WorkspaceID]*account)
	b.boots = make(map[sumachead.NodeID]sumachead.BootID)
	for _, s := range accounts {
		a := newAccount()
		a.closed = sumachead.Tokens(s.GetClosed())
		for _, x := range s.GetHoldings() {
			h := holderOf(x)
			a.put(h, Holding{
				Granted: sumachead.Tokens(x.GetGranted()), Returned: sumachead.Tokens(x.GetReturned()),
				Spent: sumachead.Tokens(x.GetSpent()),
			})
			b.boots[h.Node] = h.Boot
		}
		b.accounts[sumachead.WorkspaceID(s.GetWorkspace())] = a
	}
}
