package escrow

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// Holder identifies one incarnation of a node that holds escrow.
type Holder struct {
	Node sumachead.NodeID
	Boot sumachead.BootID
}

// holderMessage is a message that identifies a holder.
type holderMessage interface {
	GetNode() string
	GetBoot() string
}

// holderOf returns the holder that a message is about.
func holderOf(m holderMessage) Holder {
	return Holder{sumachead.NodeID(m.GetNode()), sumachead.BootID(m.GetBoot())}
}

// Holding is one holder's share of one workspace's budget. The amounts are totals since the
// holder started.
type Holding struct {
	Granted  sumachead.Tokens
	Returned sumachead.Tokens
	Spent    sumachead.Tokens
	// SpendLimit is the highest limit that the holder has reported.
	SpendLimit sumachead.Tokens
	// Limited is set if the holder has reported its limit from the beginning.
	Limited bool
}

// Outstanding returns what the holder has been granted and has not returned.
func (h Holding) Outstanding() sumachead.Tokens { return h.Granted - h.Returned }

// spent returns what the holder has spent by its last report.
func (h Holding) spent() sumachead.Tokens { return h.Spent }

// withReport returns the holding updated from a reported position. Reports that arrive late
// change nothing.
func (h Holding) withReport(p *wire.EscrowPosition) Holding {
	h.Spent = max(h.Spent, sumachead.Tokens(p.GetSpent()))
	h.Returned = max(h.Returned, sumachead.Tokens(p.GetReturned()))
	h.SpendLimit = max(h.SpendLimit, sumachead.Tokens(p.GetSpendLimit()))
	return h
}

// spentAtMost returns what a holder may have spent that ended without a final report.
func (h Holding) spentAtMost(withinLimit bool) sumachead.Tokens {
	if !withinLimit || !h.Limited {
		return h.Outstanding()
	}
	return min(h.Outstanding(), max(h.Spent, h.SpendLimit))
}

// account is the state of one workspace's budget.
type account struct {
	// closed is the amount counted as spent by closed holders.
	closed sumachead.Tokens
	// holdings are those of open holders. Change them only by put and remove.
	holdings map[Holder]Holding
	// outstanding and spent are the sums over all holdings.
	outstanding, spent sumachead.Tokens
}

func newAccount() *account { return &account{holdings: make(map[Holder]Holding)} }

// put replaces one holding and updates the sums.
func (a *account) put(h Holder, x Holding) {
	a.outstanding += x.Outstanding() - a.holdings[h].Outstanding()
	a.spent += x.Spent - a.holdings[h].Spent
	a.holdings[h] = x
}

// remove deletes one holding and updates the sums.
func (a *account) remove(h Holder) {
	a.outstanding -= a.holdings[h].Outstanding()
	a.spent -= a.holdings[h].Spent
	delete(a.holdings, h)
}

// Ledger is the escrow ledger's state. It is deterministic and not safe for concurrent use.
type Ledger struct {
	// totals are the workspaces' budgets; a workspace without a limit has no entry.
	totals   map[sumachead.WorkspaceID]sumachead.Tokens
	accounts map[sumachead.WorkspaceID]*account
	// boots is the newest incarnation of each node that holds escrow.
	boots map[sumachead.NodeID]sumachead.BootID
	// closures counts how often a holder was closed or the accounts were replaced. It is not
	// part of the replicated state.
	closures uint64
}

// NewLedger returns a ledger without budgets.
func NewLedger() *Ledger {
	return &Ledger{
		totals:   make(map[sumachead.WorkspaceID]sumachead.Tokens),
		accounts: make(map[sumachead.WorkspaceID]*account),
		boots:    make(map[sumachead.NodeID]sumachead.BootID),
	}
}

// SetTotals replaces the workspaces' totals. Accounts of workspaces that are not listed are
// kept, so that a workspace that is added back still counts what it spent.
func (b *Ledger) SetTotals(totals map[sumachead.WorkspaceID]sumachead.Tokens) {
	b.totals = maps.Clone(totals)
}

// Unallocated returns what may still be granted. It is below 0 after the total was lowered
// below what is granted.
func (b *Ledger) Unallocated(w sumachead.WorkspaceID) sumachead.Tokens {
	unallocated := b.totals[w]
	if a := b.accounts[w]; a != nil {
		unallocated -= a.closed + a.outstanding
	}
	return unallocated
}

// Total returns a workspace's total; limited is false when it has none.
func (b *Ledger) Total(w sumachead.WorkspaceID) (total sumachead.Tokens, limited bool) {
	total, limited = b.totals[w]
	return total, limited
}

// acceptsReport reports whether the report is from the node's current incarnation, or from a
// new one that holds nothing yet.
func (b *Ledger) acceptsReport(r *wire.EscrowReport) bool {
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

// Apply records a report and grants at most what is unallocated. The reply to a closed
// incarnation says that it is closed. Reports may be duplicated or reordered, since their
// amounts only grow.
func (b *Ledger) Apply(g *wire.EscrowGrant) *wire.EscrowReply {
	r := g.GetReport()
	if !b.acceptsReport(r) {
		return &wire.EscrowReply{Closed: true}
	}
	h := holderOf(r)
	b.startIncarnation(h, sumachead.BootID(g.GetEndedBoot()))
	reply := &wire.EscrowReply{}
	for i, p := range r.GetPositions() {
		var grant sumachead.Tokens
		if i < len(g.GetGrants()) {
			grant = sumachead.Tokens(g.GetGrants()[i])
		}
		reply.Answers = append(reply.Answers, answerOf(p, b.applyPosition(h, p, grant)))
	}
	if r.GetClosing() {
		b.closeHolder(h, Holding.spent)
		delete(b.boots, h.Node)
		reply.Closed = true
	}
	return reply
}

// Unchanged returns the reply to a report that [Ledger.Apply] would answer without any change, or
// nil if it would change the ledger. Such a report needs no entry in the log.
func (b *Ledger) Unchanged(g *wire.EscrowGrant) *wire.EscrowReply {
	r := g.GetReport()
	h := holderOf(r)
	boot, ok := b.boots[h.Node]
	isNew := !ok && len(r.GetPositions()) == 0 // it closes no other
	if r.GetClosing() || !isNew && boot != h.Boot {
		return nil
	}
	reply := &wire.EscrowReply{}
	for i, p := range r.GetPositions() {
		x, known := b.Holdings(sumachead.WorkspaceID(p.GetWorkspace()))[h]
		if !known || x.withReport(p) != x || i < len(g.GetGrants()) && g.GetGrants()[i] > 0 {
			return nil
		}
		reply.Answers = append(reply.Answers, answerOf(p, x))
	}
	return reply
}

// answerOf returns the answer to a position of the holder with the holding x.
func answerOf(p *wire.EscrowPosition, x Holding) *wire.EscrowAnswer {
	return &wire.EscrowAnswer{Workspace: p.GetWorkspace(), Granted: int64(x.Granted), Keep: KeepAll, SpendLimit: int64(x.SpendLimit)}
}

// Incarnation returns the node's newest incarnation that holds escrow; ok is false if there is none.
func (b *Ledger) Incarnation(n sumachead.NodeID) (boot sumachead.BootID, ok bool) {
	boot, ok = b.boots[n]
	return boot, ok
}

// startIncarnation makes h the current incarnation of its node. The previous one can spend no
// more. All that it held counts as spent or, if it is the one that ended within its spend limits,
// what these allow.
func (b *Ledger) startIncarnation(h Holder, ended sumachead.BootID) {
	old, ok := b.boots[h.Node]
	if ok && old == h.Boot {
		return
	}
	if ok {
		b.closeHolder(Holder{h.Node, old}, func(x Holding) sumachead.Tokens { return x.spentAtMost(ended == old) })
	}
	b.boots[h.Node] = h.Boot
}

// closeHolder removes a holder from all accounts. The given amount of each holding counts as spent.
func (b *Ledger) closeHolder(h Holder, spent func(Holding) sumachead.Tokens) {
	b.closures++
	for _, a := range b.accounts {
		x, ok := a.holdings[h]
		if !ok {
			continue
		}
		a.closed += spent(x)
		a.remove(h)
	}
}

// applyPosition records one position and returns the holding. A holder that may have spent before it
// reported a limit isn't limited: an earlier version does not record limits.
func (b *Ledger) applyPosition(h Holder, p *wire.EscrowPosition, grant sumachead.Tokens) Holding {
	w := sumachead.WorkspaceID(p.GetWorkspace())
	a := b.accounts[w]
	if a == nil {
		a = newAccount()
		b.accounts[w] = a
	}
	old, known := a.holdings[h]
	x := old.withReport(p)
	x.Limited = p.SpendLimit != nil && (!known || old.Limited)
	a.put(h, x)
	x.Granted += max(0, min(grant, b.Unallocated(w)))
	a.put(h, x)
	return x
}

// Holdings returns each holder's share of a workspace's budget.
func (b *Ledger) Holdings(w sumachead.WorkspaceID) map[Holder]Holding {
	if a := b.accounts[w]; a != nil {
		return a.holdings
	}
	return nil
}

// Spent returns an upper bound of what a workspace has spent: the reported spending of holders
// that are live, and everything that other holders hold.
func (b *Ledger) Spent(w sumachead.WorkspaceID, live func(Holder) bool) sumachead.Tokens {
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
		sum += x.Outstanding()
	}
	return sum
}

// ReportedSpent returns what a workspace's holders have reported as spent, and what closed
// holders count as spent.
func (b *Ledger) ReportedSpent(w sumachead.WorkspaceID) sumachead.Tokens {
	if a := b.accounts[w]; a != nil {
		return a.closed + a.spent
	}
	return 0
}

// Snapshot returns the accounts sorted by workspace.
func (b *Ledger) Snapshot() []*wire.AccountState {
	var out []*wire.AccountState
	for _, w := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[w]
		s := &wire.AccountState{Workspace: string(w), Closed: int64(a.closed)}
		for h, x := range a.holdings {
			state := &wire.HoldingState{
				Node: string(h.Node), Boot: string(h.Boot),
				Granted: int64(x.Granted), Returned: int64(x.Returned), Spent: int64(x.Spent),
			}
			if x.Limited {
				state.SpendLimit = proto.Int64(int64(x.SpendLimit))
			}
			s.Holdings = append(s.Holdings, state)
		}
		slices.SortFunc(s.Holdings, compareHoldings)
		out = append(out, s)
	}
	return out
}

// compareHoldings orders by node, then by incarnation.
func compareHoldings(a, b *wire.HoldingState) int {
	return cmp.Or(cmp.Compare(a.GetNode(), b.GetNode()), cmp.Compare(a.GetBoot(), b.GetBoot()))
}

// Restore replaces the accounts.
func (b *Ledger) Restore(accounts []*wire.AccountState) {
	b.closures++
	b.accounts = make(map[sumachead.WorkspaceID]*account)
	b.boots = make(map[sumachead.NodeID]sumachead.BootID)
	for _, s := range accounts {
		a := newAccount()
		a.closed = sumachead.Tokens(s.GetClosed())
		for _, x := range s.GetHoldings() {
			h := holderOf(x)
			a.put(h, Holding{
				Granted: sumachead.Tokens(x.GetGranted()), Returned: sumachead.Tokens(x.GetReturned()),
				Spent: sumachead.Tokens(x.GetSpent()), SpendLimit: sumachead.Tokens(x.GetSpendLimit()), Limited: x.SpendLimit != nil,
			})
			b.boots[h.Node] = h.Boot
		}
		b.accounts[sumachead.WorkspaceID(s.GetWorkspace())] = a
	}
}
