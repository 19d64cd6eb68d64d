package lending

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/escrow"
	"sumachead/internal/waitpolicy"
)

// modelNode is one router in the model. It has a wallet, lends from it, and is killed and
// restarted.
type modelNode struct {
	lender *Lender
	wallet *escrow.Wallet
	id     sumachead.NodeID
	boot   sumachead.BootID
	// urgentOnlyUntil is until when other requests must be refused after the ledger's last
	// answer; zero if it said nothing of the kind.
	urgentOnlyUntil time.Time
}

// openRequest is a request with a loan, as its borrower knows it.
type openRequest struct {
	lender *modelNode
	// incarnation is the lender's at the time of the loan.
	incarnation sumachead.BootID
	number      uint64
	bound       sumachead.Tokens
	// billed is what was handed out; the bill may be sent more than once or never.
	billed sumachead.Tokens
}

// model is a ledger with some routers and randomly drawn events.
type model struct {
	ledger       *escrow.Ledger
	allocator    *escrow.Allocator
	contacts     escrow.Contacts
	nodes        []*modelNode
	openRequests []*openRequest
	// handedOut is what all callers were handed, and byIncarnation the part of each lender
	// incarnation.
	handedOut     sumachead.Tokens
	byIncarnation map[sumachead.BootID]sumachead.Tokens
	incarnations  int
	loans         int
	// urgentLoans counts loans made while only urgent requests were admitted, and refused the
	// other requests refused then.
	urgentLoans, refused int
	// limitedEnds counts killed incarnations known to have kept within their spend limits.
	limitedEnds int
	number      uint64
	now         time.Time
}

// start begins an incarnation of a router.
func (m *model) start(n *modelNode) {
	m.incarnations++
	n.boot = sumachead.BootID(fmt.Sprint("life-", m.incarnations))
	n.wallet = &escrow.Wallet{Node: n.id, RequestReport: func() {}}
	n.wallet.Open(n.boot)
	n.wallet.Listening(string(n.id), m.now)
	n.urgentOnlyUntil = time.Time{}
	n.lender = &Lender{Wallet: n.wallet, LedgerUnreachable: func() bool { return false }, OnOverdue: func(sumachead.Tokens) {}}
}

// report sends a router's report to the ledger, and the reply back unless it is lost.
func (m *model) report(n *modelNode, lost bool) {
	r := n.wallet.Report(m.now, false)
	if r == nil {
		return
	}
	m.allocator.RecordReport(r, m.now)
	grants, advice := m.allocator.Allocate(m.ledger, r, m.now)
	g := &wire.EscrowGrant{Report: r, Grants: grants}
	at := sumachead.BootTime(m.now.UnixNano())
	if previous, ok := m.ledger.Incarnation(n.id); ok && previous != n.boot {
		g.EndedBoot = string(m.contacts.EndedBoot(r, previous, at))
		if g.GetEndedBoot() != "" {
			m.limitedEnds++
		}
	}
	reply := m.ledger.Apply(g)
	reply.Contact = m.contacts.Record(r, at)
	for i, a := range reply.GetAnswers() {
		escrow.Advise(a, advice[i])
	}
	if lost {
		n.wallet.MarkUnsent(r)
		return
	}
	m.incarnations++
	n.wallet.ApplyReply(reply, n.boot, sumachead.BootID(fmt.Sprint("life-", m.incarnations)), m.now)
	const answerValidity = 4 * time.Second // less than the wallet's, for the time that a step takes
	n.urgentOnlyUntil = time.Time{}
	for _, a := range reply.GetAnswers() {
		if a.GetUrgentOnly() {
			n.urgentOnlyUntil = m.now.Add(answerValidity)
		}
	}
	if reply.GetClosed() {
		n.boot = sumachead.BootID(fmt.Sprint("life-", m.incarnations))
	}
}

// borrow asks a lender for a loan, urgent or not; urgent requests are the smaller ones. If the
// reply is lost, the borrower hands out nothing and may send a bill of 0.
func (m *model) borrow(t *rapid.T, n *modelNode) {
	m.number++
	const maxBound, maxUrgentBound = 10000, 1200
	urgent, limit := rapid.Bool().Draw(t, "urgent"), maxBound
	if urgent {
		limit = maxUrgentBound
	}
	bound := sumachead.Tokens(rapid.IntRange(1, limit).Draw(t, "bound"))
	r := &wire.LoanRequest{Boot: "borrower", Number: m.number, Workspace: string(clerks), Bound: int64(bound), DeadlineMicros: 1, Urgent: urgent}
	reply := &wire.LoanReply{}
	early := rapid.IntRange(0, 9).Draw(t, "early") == 0
	if early { // given up, and the bill arrives before the request
		m.sendBill(n, m.number, 0)
	}
	if n.wallet.Available(clerks) < bound {
		// A request that gave up before makes the next report ask the ledger for its tokens.
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_, _ = n.wallet.Reserve(gone, escrow.Request{
			Workspace: clerks, Bound: bound, Deadlines: waitpolicy.Deadlines{Hard: time.Now().Add(time.Second)}, Urgent: urgent,
		})
		m.report(n, rapid.IntRange(0, 4).Draw(t, "reply lost") == 0)
	}
	if err := n.lender.Reserve(r, reply); err != nil {
		t.Fatal(err)
	}
	lent, reserved := !reply.GetShort() && reply.GetRefusal() == nil, time.Now().Before(n.urgentOnlyUntil)
	switch {
	case reserved && !urgent && lent:
		t.Fatalf("%s lent %d to a request that is not urgent, while the rest of the budget is reserved", n.id, bound)
	case reserved && !urgent:
		m.refused++
	case reserved && lent:
		m.urgentLoans++
	}
	if !lent || early {
		return
	}
	if rapid.IntRange(0, 19).Draw(t, "lost") == 0 {
		return // the loan expires without a bill
	}
	m.loans++
	m.openRequests = append(m.openRequests, &openRequest{lender: n, incarnation: n.boot, number: m.number, bound: bound})
}

// sendBill sends one bill to a lender.
func (m *model) sendBill(n *modelNode, number uint64, bill sumachead.Tokens) {
	_ = n.lender.Settle(&wire.LoanBills{Boot: "borrower", Bills: []*wire.LoanBill{{Number: number, Bill: int64(bill)}}}, &wire.Empty{})
}

// end hands out part of a request's bound and sends its bill once, twice, or never.
func (m *model) end(t *rapid.T) {
	if len(m.openRequests) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.openRequests)-1).Draw(t, "request")
	o := m.openRequests[i]
	m.openRequests = append(m.openRequests[:i], m.openRequests[i+1:]...)
	o.billed = sumachead.Tokens(rapid.IntRange(0, int(o.bound)).Draw(t, "bill"))
	m.handedOut += o.billed
	m.byIncarnation[o.incarnation] += o.billed
	for range (rapid.IntRange(0, 9).Draw(t, "times told") + 4) / 5 { // mostly once, sometimes never or twice
		m.sendBill(o.lender, o.number, o.billed)
	}
}

// check verifies what callers were handed, and may still be.
func (m *model) check(t *rapid.T, total sumachead.Tokens) {
	handedOut, byIncarnation := m.handedOut, maps.Clone(m.byIncarnation)
	for _, o := range m.openRequests {
		handedOut += o.bound
		byIncarnation[o.incarnation] += o.bound
	}
	if handedOut > total {
		t.Fatalf("callers were or may be handed %d of %d", handedOut, total)
	}
	for _, n := range m.nodes {
		if s := n.wallet.Totals(); byIncarnation[n.boot] > s.Spent+s.Reserved {
			t.Fatalf("%s counts %v, and callers were or may be handed %d of it", n.id, s, byIncarnation[n.boot])
		}
	}
}

// Whatever messages are lost and whichever routers are killed, in any order, callers are handed
// no more than the budget, and no more than the lender counts, open bounds included. While the
// ledger's last answer says that the rest is reserved, no other request is lent any of it.
func TestLoansNeverOverspend(t *testing.T) {
	loans, urgentLoans, refused, limitedEnds := 0, 0, 0, 0
	defer func() {
		t.Logf("%d loans, %d of a reserve, %d requests refused for it, %d killed within their limits", loans, urgentLoans, refused, limitedEnds)
		if loans == 0 || refused == 0 || limitedEnds == 0 { // TestLenderRefusesAtOnce lends urgent requests of a reserve
			t.Error("the test proves nothing")
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		// Longer runs of short pauses reach the end of a budget with its holders live, where a
		// reserve is possible.
		total := sumachead.Tokens(rapid.SampledFrom([]int{20000, 60000}).Draw(t, "total"))
		maxPause := rapid.SampledFrom([]int{3000, 300}).Draw(t, "max pause")
		m := &model{ledger: escrow.NewLedger(), allocator: &escrow.Allocator{PriorityReserve: true}, now: time.Now(), byIncarnation: make(map[sumachead.BootID]sumachead.Tokens)}
		m.ledger.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: total})
		for i := range 3 {
			n := &modelNode{id: sumachead.NodeID(fmt.Sprint("router-", i))}
			m.start(n)
			m.nodes = append(m.nodes, n)
		}
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "router")]
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, maxPause).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "step") {
			case 0:
				m.start(n) // killed; its open loans may still be handed out
			case 1, 2, 3:
				n.lender.settleOverdue(m.now.Add(billGracePeriod))
			case 4, 5, 6, 7, 8:
				m.report(n, rapid.IntRange(0, 4).Draw(t, "reply lost") == 0)
			case 9, 10, 11, 12, 13, 14, 15, 16, 17, 18:
				m.end(t)
			default:
				m.borrow(t, n)
			}
			m.check(t, total)
		}
		limitedEnds += m.limitedEnds
		loans, urgentLoans, refused = loans+m.loans, urgentLoans+m.urgentLoans, refused+m.refused
	})
}
