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
	"sumachead/internal/patience"
)

// node is one router in the model: it has a wallet, lends from it, and is killed and started.
type node struct {
	lender *Lender
	wallet *escrow.Wallet
	id     sumachead.NodeID
	boot   sumachead.BootID
}

// open is a request that has a loan, as its borrower knows it.
type open struct {
	lender *node
	// life is the lender's at the time of the loan.
	life   sumachead.BootID
	number uint64
	bound  sumachead.Tokens
	// billed is what was handed out; the bill is told until it is taken or lost.
	billed sumachead.Tokens
}

// model is a ledger with some routers; what befalls them is drawn.
type model struct {
	book  *escrow.Book
	sizer *escrow.Sizer
	nodes []*node
	opens []*open
	// handed is what all callers were handed, and of those by each life of a lender.
	handed sumachead.Tokens
	byLife map[sumachead.BootID]sumachead.Tokens
	lives  int
	loans  int
	number uint64
	now    time.Time
}

// start begins a life of a router.
func (m *model) start(n *node) {
	m.lives++
	n.boot = sumachead.BootID(fmt.Sprint("life-", m.lives))
	n.wallet = &escrow.Wallet{Node: n.id, Kick: func() {}}
	n.wallet.Open(n.boot)
	n.lender = &Lender{Wallet: n.wallet, Unreached: func() bool { return false }, Overdue: func(sumachead.Tokens) {}}
}

// report brings a router's report to the ledger, and the reply back unless it is lost.
func (m *model) report(n *node, lost bool) {
	r := n.wallet.Report(m.now, false)
	if r == nil {
		return
	}
	m.sizer.Note(r, m.now)
	grants, advice := m.sizer.Size(m.book, r, m.now)
	reply := m.book.Apply(&wire.EscrowGrant{Report: r, Grants: grants})
	for i, a := range reply.GetAnswers() {
		a.Keep = advice[i].GetKeep()
	}
	if lost {
		n.wallet.Unsent(r)
		return
	}
	m.lives++
	n.wallet.Take(reply, n.boot, sumachead.BootID(fmt.Sprint("life-", m.lives)), m.now)
	if reply.GetClosed() {
		n.boot = sumachead.BootID(fmt.Sprint("life-", m.lives))
	}
}

// borrow asks a lender. Where the answer is lost the borrower hands out nothing and may tell
// a bill of 0.
func (m *model) borrow(t *rapid.T, n *node) {
	m.number++
	bound := sumachead.Tokens(rapid.IntRange(1, 100).Draw(t, "bound"))
	r := &wire.LoanRequest{Boot: "borrower", Number: m.number, Workspace: string(clerks), Bound: int64(bound), DeadlineMicros: 1}
	reply := &wire.LoanReply{}
	early := rapid.IntRange(0, 9).Draw(t, "early") == 0
	if early { // given up, and the bill overtakes the request
		m.tell(n, m.number, 0)
	}
	if n.wallet.AtHand(clerks) < bound {
		// One that gave up before makes the next report ask the ledger for it.
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_, _ = n.wallet.Reserve(gone, clerks, bound, patience.Deadlines{Hard: time.Now().Add(time.Second)}, 0)
		m.report(n, rapid.IntRange(0, 4).Draw(t, "reply lost") == 0)
	}
	if err := n.lender.Reserve(r, reply); err != nil {
		t.Fatal(err)
	}
	if reply.GetShort() || reply.GetRefusal() != nil || early {
		return
	}
	if rapid.IntRange(0, 19).Draw(t, "lost") == 0 {
		return // the loan runs into its time
	}
	m.loans++
	m.opens = append(m.opens, &open{lender: n, life: n.boot, number: m.number, bound: bound})
}

// tell brings one bill to a lender.
func (m *model) tell(n *node, number uint64, bill sumachead.Tokens) {
	_ = n.lender.Settle(&wire.LoanBills{Boot: "borrower", Bills: []*wire.LoanBill{{Number: number, Bill: int64(bill)}}}, &wire.Empty{})
}

// end hands out some of a request's bound and brings its bill, once, twice, or never.
func (m *model) end(t *rapid.T) {
	if len(m.opens) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.opens)-1).Draw(t, "request")
	o := m.opens[i]
	m.opens = append(m.opens[:i], m.opens[i+1:]...)
	o.billed = sumachead.Tokens(rapid.IntRange(0, int(o.bound)).Draw(t, "bill"))
	m.handed += o.billed
	m.byLife[o.life] += o.billed
	for range (rapid.IntRange(0, 9).Draw(t, "times told") + 4) / 5 { // mostly once, sometimes never or twice
		m.tell(o.lender, o.number, o.billed)
	}
}

// check counts what callers were handed, and may be.
func (m *model) check(t *rapid.T, total sumachead.Tokens) {
	handed, byLife := m.handed, maps.Clone(m.byLife)
	for _, o := range m.opens {
		handed += o.bound
		byLife[o.life] += o.bound
	}
	if handed > total {
		t.Fatalf("callers were or may be handed %d of %d", handed, total)
	}
	for _, n := range m.nodes {
		if s := n.wallet.Sum(); byLife[n.boot] > s.Spent+s.Reserved {
			t.Fatalf("%s counts %v, and callers were or may be handed %d of it", n.id, s, byLife[n.boot])
		}
	}
}

// Whatever is lost and whoever is killed, in any order, callers are handed no more than the
// budget, and no more than a lender counts, bounds that are still open included.
func TestLoansNeverOverspend(t *testing.T) {
	loans := 0
	defer func() {
		if loans == 0 {
			t.Error("no loan was ever made")
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		const total = 600
		m := &model{book: escrow.NewBook(), sizer: &escrow.Sizer{}, now: time.Now(), byLife: make(map[sumachead.BootID]sumachead.Tokens)}
		m.book.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: total})
		for i := range 3 {
			n := &node{id: sumachead.NodeID(fmt.Sprint("router-", i))}
			m.start(n)
			m.nodes = append(m.nodes, n)
		}
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "router")]
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "step") {
			case 0:
				m.start(n) // killed; what is open with it may still be handed out
			case 1, 2, 3:
				n.lender.sweep(m.now.Add(billsWithin))
			case 4, 5, 6, 7, 8:
				m.report(n, rapid.IntRange(0, 4).Draw(t, "reply lost") == 0)
			case 9, 10, 11, 12, 13, 14, 15, 16, 17, 18:
				m.end(t)
			default:
				m.borrow(t, n)
			}
			m.check(t, total)
		}
		loans += m.loans
	})
}
