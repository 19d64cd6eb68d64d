package escrow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// crashWorkspaces are those of crashModel.
var crashWorkspaces = [2]sumachead.WorkspaceID{clerks, "nurses"}

// crashNode is a node of crashModel. Its wallet is nil while it is down.
type crashNode struct {
	id     sumachead.NodeID
	wallet *Wallet
	boot   sumachead.BootID
	// call is the number of the report whose reply it waits for; 0 if there is none.
	call   int
	report *wire.EscrowReport
	upAt   time.Time
	// cutUntil is until when its reports are lost.
	cutUntil time.Time
}

// crashReport is a report that the network may still deliver, more than once and late, and crashReply
// is a reply, which only the call that waits for it receives.
type crashReport struct {
	call   int
	node   *crashNode
	wallet *Wallet
	report *wire.EscrowReport
}

type crashReply struct {
	crashReport
	reply *wire.EscrowReply
}

// crashLoan is a reservation whose bill is not known. Callers may be handed all of it, also after
// its router has crashed.
type crashLoan struct {
	reservation *Reservation
	bound       sumachead.Tokens
}

// crashModel is a ledger with the contacts of leaders that take turns, and nodes that crash, under randomly drawn
// events in virtual time.
type crashModel struct {
	ledger    *Ledger
	leaders   []*Contacts
	leader    int
	nodes     []*crashNode
	reports   []crashReport
	replies   []crashReply
	loans     []crashLoan
	handedOut sumachead.Tokens
	// returns counts holders that ended within their limits, and unlimited counts reservations beyond
	// a limit.
	returns          int
	unlimited        int
	boots, lastCall  int
	now              time.Time
	previousVersions bool
	random           *rand.Rand
	total            sumachead.Tokens
	// wallets are those of all incarnations.
	wallets map[sumachead.BootID]*Wallet
	// undercounted describes an incarnation of which less was counted as spent, when the ledger closed
	// it, than callers were or may be handed.
	undercounted string
}

// newCrashModel returns the model at the start of a history.
func newCrashModel(seed uint64) *crashModel {
	m := &crashModel{ledger: NewLedger(), now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)), wallets: make(map[sumachead.BootID]*Wallet)}
	m.previousVersions = m.between(0, 3) == 0
	m.total = sumachead.Tokens(m.between(1000, 20_000))
	m.ledger.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{crashWorkspaces[0]: m.total, crashWorkspaces[1]: m.total})
	m.leaders = []*Contacts{{}, {}}
	for i := range 3 {
		n := &crashNode{id: sumachead.NodeID(fmt.Sprint("router-", i))}
		m.open(n)
		m.nodes = append(m.nodes, n)
	}
	return m
}

// between draws a number, both ends included.
func (m *crashModel) between(from, to int) int { return from + m.random.IntN(to-from+1) }

// pause lets time pass, sometimes as much as limits last.
func (m *crashModel) pause() {
	maxMillis := 60
	if m.between(0, 49) == 0 {
		maxMillis = 8000
	}
	m.now = m.now.Add(time.Duration(m.between(0, maxMillis)) * time.Millisecond)
}

// open starts a node whose downtime is over.
func (m *crashModel) open(n *crashNode) {
	m.boots++
	n.boot = sumachead.BootID(fmt.Sprint("boot-", m.boots))
	n.wallet, n.call = &Wallet{Node: n.id, RequestReport: func() {}}, 0
	n.wallet.Open(n.boot)
	n.wallet.Listening("address of "+string(n.id), m.now)
	m.wallets[n.boot] = n.wallet
}

// reserve reserves tokens for a request. One that is short gives up, so that the next report asks for
// its tokens.
func (m *crashModel) reserve(n *crashNode) {
	q := Request{Workspace: crashWorkspaces[m.between(0, 1)], Bound: sumachead.Tokens(m.between(1, 300))}
	r, a, _ := n.wallet.attempt(q, m.now, true)
	switch a {
	case admitted:
		m.loans = append(m.loans, crashLoan{r, q.Bound})
		if n.wallet.exceeded {
			m.unlimited++
		}
	case short:
		n.wallet.stopWaiting(q, false)
	}
}

// settle hands out a part of a reservation.
func (m *crashModel) settle() {
	if len(m.loans) == 0 {
		return
	}
	i := m.between(0, len(m.loans)-1)
	l := m.loans[i]
	m.loans = slices.Delete(m.loans, i, i+1)
	bill := sumachead.Tokens(m.between(0, int(l.bound)))
	m.handedOut += bill
	l.reservation.Settle(bill)
}

// send sends a node's report. A call that still waits has timed out.
func (m *crashModel) send(n *crashNode) {
	if n.call != 0 {
		n.wallet.MarkUnsent(n.report)
		n.call = 0
	}
	r := n.wallet.Report(m.now, false)
	if r == nil {
		return
	}
	m.lastCall++
	n.call, n.report = m.lastCall, r
	if !m.now.Before(n.cutUntil) {
		m.reports = append(m.reports, crashReport{m.lastCall, n, n.wallet, r})
	}
}

// deliver lets the leader handle a report.
func (m *crashModel) deliver() {
	if len(m.reports) == 0 {
		return
	}
	i := m.between(0, len(m.reports)-1)
	c := m.reports[i]
	if m.between(0, 5) > 0 {
		m.reports = slices.Delete(m.reports, i, i+1)
	}
	l := m.leaders[m.leader]
	g := &wire.EscrowGrant{Report: proto.CloneOf(c.report)}
	for _, p := range c.report.GetPositions() {
		grant := p.GetWanted()
		if m.between(0, 1) == 1 {
			grant = max(grant, int64(m.ledger.Unallocated(sumachead.WorkspaceID(p.GetWorkspace())))/2)
		}
		g.Grants = append(g.Grants, grant)
	}
	var reply *wire.EscrowReply
	if m.previousVersions && m.leader == 0 {
		// This leader knows nothing of limits, and does not commit a report that changes only those.
		known := proto.CloneOf(g)
		for _, p := range known.GetReport().GetPositions() {
			p.SpendLimit = nil
		}
		if reply = m.ledger.Unchanged(known); reply == nil {
			reply = m.apply(g)
		}
		for _, a := range reply.GetAnswers() {
			a.SpendLimit = 0
		}
	} else {
		at := sumachead.BootTime(m.now.UnixNano()) + sumachead.BootTime(m.leader)*sumachead.BootTime(time.Hour)
		if previous, ok := m.ledger.Incarnation(c.node.id); ok && string(previous) != c.report.GetBoot() {
			g.EndedBoot = string(l.EndedBoot(c.report, previous, at))
		}
		contact := l.Record(c.report, at)
		if reply = m.ledger.Unchanged(g); reply == nil {
			reply = m.apply(g)
		}
		reply.Contact = contact
	}
	if g.GetEndedBoot() != "" {
		m.returns++
	}
	if m.between(0, 9) == 9 {
		for _, a := range reply.GetAnswers() {
			a.Keep = int64(m.between(0, 500))
		}
	}
	m.replies = append(m.replies, crashReply{c, reply})
}

// unallocated returns what the ledger may still grant.
func (m *crashModel) unallocated() sumachead.Tokens {
	var sum sumachead.Tokens
	for _, w := range crashWorkspaces {
		sum += m.ledger.Unallocated(w)
	}
	return sum
}

// apply applies a grant to the ledger, and checks what counts as spent by a holder that it closes.
func (m *crashModel) apply(g *wire.EscrowGrant) *wire.EscrowReply {
	n := sumachead.NodeID(g.GetReport().GetNode())
	previous, _ := m.ledger.Incarnation(n)
	counted := -m.closed()
	reply := m.ledger.Apply(g)
	counted += m.closed()
	if current, _ := m.ledger.Incarnation(n); current == previous {
		return reply
	}
	if w := m.wallets[previous]; w != nil && w.boot == previous {
		var used sumachead.Tokens
		for _, p := range w.balances {
			used += p.used()
		}
		if counted < used {
			m.undercounted = fmt.Sprintf("%s used %d, of which %d count", previous, used, counted)
		}
	}
	return reply
}

// closed returns what counts as spent by closed holders.
func (m *crashModel) closed() sumachead.Tokens {
	var sum sumachead.Tokens
	for _, a := range m.ledger.accounts {
		sum += a.closed
	}
	return sum
}

// receive lets a node handle a reply.
func (m *crashModel) receive() {
	if len(m.replies) == 0 {
		return
	}
	i := m.between(0, len(m.replies)-1)
	c := m.replies[i]
	m.replies = slices.Delete(m.replies, i, i+1)
	if c.node.wallet != c.wallet || c.node.call != c.call {
		return
	}
	c.node.call = 0
	m.boots++
	next := sumachead.BootID(fmt.Sprint("boot-", m.boots))
	if c.wallet.ApplyReply(c.reply, c.node.boot, next, m.now) {
		c.node.boot = next
		m.wallets[next] = c.wallet
	}
}

// restore replaces the ledger by one restored from its snapshot, as the previous version writes it if
// that is among the keepers.
func (m *crashModel) restore() {
	s := m.ledger.Snapshot()
	for _, a := range s {
		for _, x := range a.GetHoldings() {
			if m.previousVersions {
				x.SpendLimit = nil
			}
		}
	}
	m.ledger.Restore(s)
}

// step makes one event happen.
func (m *crashModel) step() {
	n := m.nodes[m.between(0, len(m.nodes)-1)]
	if n.wallet == nil {
		if m.now.Before(n.upAt) {
			return
		}
		m.open(n)
	}
	switch step := m.between(0, 99); {
	case step < 32:
		m.reserve(n)
	case step < 62: // a call without faults
		m.send(n)
		m.reports = slices.Clone(m.reports[max(len(m.reports)-1, 0):])
		m.deliver()
		m.replies = slices.Clone(m.replies[max(len(m.replies)-1, 0):])
		m.receive()
	case step < 72:
		m.settle()
	case step < 78:
		m.send(n)
	case step < 84:
		m.deliver()
	case step < 90:
		m.receive()
	case step < 93: // crash
		n.wallet, n.cutUntil, n.upAt = nil, time.Time{}, m.now.Add(time.Duration(m.between(0, 3000))*time.Millisecond)
	case step < 97:
		n.cutUntil = m.now.Add(time.Duration(m.between(0, 15_000)) * time.Millisecond)
	case step < 98:
		m.leader = m.between(0, len(m.leaders)-1)
	case step < 99:
		m.leaders[m.leader] = &Contacts{}
	default:
		m.restore()
	}
}

// handedOutAtMost returns what callers were handed, and may still be out of reservations, of what
// nodes have available, and of what the ledger may grant.
func (m *crashModel) handedOutAtMost() sumachead.Tokens {
	sum := m.handedOut + m.unallocated()
	for _, l := range m.loans {
		sum += l.bound
	}
	for _, n := range m.nodes {
		if n.wallet != nil {
			sum += n.wallet.Totals().Available
		}
	}
	return sum
}

// Guards against a budget that is overspent by what goes back to it from a router that crashed: in any
// order of crashes, suspensions, changes of the leader, reports and replies that are lost, late or
// repeated, with keepers of the previous version and without, callers are handed no more than the budget.
func TestReturnsOfCrashedRoutersNeverOverspend(t *testing.T) {
	const histories = 4000
	returns, unlimited := 0, 0
	for seed := range uint64(histories) {
		m := newCrashModel(seed)
		for step := range 400 {
			m.pause()
			m.step()
			if m.undercounted != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, m.undercounted)
			}
			if sum := m.handedOutAtMost(); sum > 2*m.total {
				t.Fatalf("seed %d, step %d: callers were or may be handed %d of %d", seed, step, sum, 2*m.total)
			}
		}
		returns, unlimited = returns+m.returns, unlimited+m.unlimited
	}
	t.Logf("%d holders ended within their limits, %d reservations beyond a limit", returns, unlimited)
	if returns == 0 || unlimited == 0 {
		t.Error("the test proves nothing")
	}
}
