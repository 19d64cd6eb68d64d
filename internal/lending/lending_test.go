package lending

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/escrow"
	"sumachead/internal/patience"
	"sumachead/internal/rpc"
)

const clerks sumachead.WorkspaceID = "clerks"

// router is a lender and a borrower with one wallet, without a ledger.
type router struct {
	*Lender
	*Borrower
	address string
	// cut: the ledger is out of its reach.
	cut    bool
	server *rpc.Server
}

// newRouter returns a router that lends at an address of its own.
func newRouter(t *testing.T, money sumachead.Tokens) *router {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &router{address: lis.Addr().String()}
	_ = lis.Close() // only its port is wanted
	w := &escrow.Wallet{Node: sumachead.NodeID(r.address), Kick: func() {}}
	w.Open("life")
	w.Take(&wire.EscrowReply{Answers: []*wire.EscrowAnswer{{Workspace: string(clerks), Granted: int64(money), Keep: escrow.NoWish}}}, "life", "", time.Now())
	unreached := func() bool { return r.cut }
	r.Lender = &Lender{Wallet: w, Unreached: unreached, Overdue: func(sumachead.Tokens) {}}
	r.Borrower = &Borrower{Self: r.address, Wallet: w, Unreached: unreached, Pool: &rpc.Pool{}, Log: hclog.NewNullLogger()}
	r.Prepare()
	r.server = &rpc.Server{Address: r.address}
	if err := errors.Join(r.server.Register(Name, r.Lender), r.server.Listen()); err != nil {
		t.Fatal(err)
	}
	go func() { _ = r.server.Run() }() // ends with Close
	t.Cleanup(r.server.Close)
	return r
}

// hall returns routers that know each other, the workspace's lender first.
func hall(t *testing.T, money ...sumachead.Tokens) []*router {
	t.Helper()
	var rs []*router
	var all []string
	for range money {
		r := newRouter(t, 0)
		rs, all = append(rs, r), append(all, r.address)
	}
	order := choose(all, clerks, func(string) bool { return true })
	slices.SortFunc(rs, func(a, b *router) int { return slices.Index(order, a.address) - slices.Index(order, b.address) })
	for i, r := range rs {
		r.Lenders = func() []string { return all }
		r.give(money[i])
	}
	return rs
}

// give grants money as a ledger does.
func (r *router) give(money sumachead.Tokens) {
	w := r.Lender.Wallet
	w.Take(&wire.EscrowReply{Answers: []*wire.EscrowAnswer{{Workspace: string(clerks), Granted: int64(money), Keep: escrow.NoWish}}}, "life", "", time.Now())
}

// soon is until when answers of the tests' requests are of use.
func soon() patience.Deadlines {
	now := time.Now()
	return patience.Deadlines{Soft: now.Add(200 * time.Millisecond), Hard: now.Add(2 * time.Second)}
}

func TestMoneyIsLentAndSettled(t *testing.T) {
	rs := hall(t, 1000, 0, 0)
	lender, borrower := rs[0], rs[1]
	m, err := borrower.Borrower.Reserve(t.Context(), clerks, 600, soon(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := borrower.Borrower.Reserve(t.Context(), clerks, 600, soon(), 0); err == nil {
		t.Fatal("money was lent twice")
	}
	m.Settle(250)
	m.Settle(600) // a second call does nothing
	borrower.Flush(t.Context())
	want := escrow.Sum{AtHand: 750, Spent: 250}
	if diff := cmp.Diff(want, lender.Lender.Wallet.Sum()); diff != "" {
		t.Errorf("the lender's money (-want +got):\n%s", diff)
	}
	if n := lender.Open(); n != 0 {
		t.Errorf("%d loans are left", n)
	}
	if diff := cmp.Diff(escrow.Sum{}, borrower.Lender.Wallet.Sum()); diff != "" {
		t.Errorf("the borrower's money (-want +got):\n%s", diff)
	}
}

// Nobody is refused while a router of the hall has money or a way to the ledger, in far less
// than a tenth of a second: a router that has lost its own ways asks another at once.
func TestRouterWithoutAWayGetsMoneyFromAnother(t *testing.T) {
	tests := []struct {
		name string
		// money is what the lenders have, in order, and harm what befalls them.
		money []sumachead.Tokens
		harm  func(rs []*router)
		// asks is which of them has the request.
		asks int
	}{
		{"its own ways are lost, and it is the lender", []sumachead.Tokens{0, 1000, 0}, func(rs []*router) { rs[0].cut = true }, 0},
		{"its own ways are lost, and another is the lender", []sumachead.Tokens{1000, 0, 0}, func(rs []*router) { rs[2].cut = true }, 2},
		{"the lender's ways are lost", []sumachead.Tokens{0, 1000, 0}, func(rs []*router) { rs[0].cut = true }, 2},
		{"the lender is gone", []sumachead.Tokens{1000, 1000, 0}, func(rs []*router) { rs[0].server.Close() }, 2},
		{"the lender stops", []sumachead.Tokens{1000, 1000, 0}, func(rs []*router) { rs[0].Stop() }, 2},
		{"two lenders' ways are lost", []sumachead.Tokens{0, 0, 1000}, func(rs []*router) { rs[0].cut, rs[1].cut = true, true }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rs := hall(t, tt.money...)
			tt.harm(rs)
			begun := time.Now()
			m, err := rs[tt.asks].Borrower.Reserve(t.Context(), clerks, 600, soon(), 0)
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(begun); took > 100*time.Millisecond {
				t.Errorf("took %v", took)
			}
			m.Settle(1)
		})
	}
}

// A lender that takes calls and answers none costs a request little, and the next ones
// nothing.
func TestSilentLenderIsPassedOver(t *testing.T) {
	rs := hall(t, 1000, 1000, 0)
	rs[0].server.Close()
	lis, err := net.Listen("tcp", rs[0].address)
	if err != nil {
		t.Skip("the port was taken by another process") // nothing of ours was tried yet
	}
	defer func() { _ = lis.Close() }()
	for i, most := range []time.Duration{2 * answerWithin, answerWithin / 2} {
		begun := time.Now()
		m, err := rs[2].Borrower.Reserve(t.Context(), clerks, 100, soon(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > most {
			t.Errorf("request %d took %v, at most %v expected", i, took, most)
		}
		m.Settle(1)
	}
}

// What a lender knows of a budget's end is the answer to the borrower's caller.
func TestRefusalsAreTheLenders(t *testing.T) {
	rs := hall(t, 100, 0, 0)
	w := rs[0].Lender.Wallet
	used := func() { // the ledger says that the budget is used up
		r := w.Report(time.Now(), false)
		if r == nil {
			return
		}
		w.Take(&wire.EscrowReply{Answers: []*wire.EscrowAnswer{{Workspace: string(clerks), Granted: 100, Keep: escrow.NoWish, Exhausted: true}}}, "life", "", time.Now())
	}
	w.Kick = func() { go used() }
	_, err := rs[1].Borrower.Reserve(t.Context(), clerks, 600, soon(), 0)
	var f *sumachead.Refusal
	if !errors.As(err, &f) {
		t.Fatalf("error %v", err)
	}
	want := &sumachead.Refusal{Verdict: sumachead.NotRun, Reason: sumachead.ReasonBudgetExhausted}
	if diff := cmp.Diff(want, f, cmpopts.IgnoreFields(sumachead.Refusal{}, "Detail")); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}

// A loan's life, call by call.
func TestLoans(t *testing.T) {
	const bound = 600
	ask := func(number uint64) *wire.LoanRequest {
		return &wire.LoanRequest{Boot: "b", Number: number, Workspace: string(clerks), Bound: bound, DeadlineMicros: 1e6}
	}
	bill := func(number uint64, amount int64) *wire.LoanBills {
		return &wire.LoanBills{Boot: "b", Bills: []*wire.LoanBill{{Number: number, Bill: amount}}}
	}
	type step struct {
		ask  *wire.LoanRequest
		bill *wire.LoanBills
		// after has passed for the sweep.
		after time.Duration
	}
	tests := []struct {
		name  string
		steps []step
		want  escrow.Sum
	}{
		{"open", []step{{ask: ask(1)}}, escrow.Sum{AtHand: 400, Reserved: 600}},
		{"billed", []step{{ask: ask(1)}, {bill: bill(1, 50)}}, escrow.Sum{AtHand: 950, Spent: 50}},
		{"billed twice", []step{{ask: ask(1)}, {bill: bill(1, 50)}, {bill: bill(1, 70)}}, escrow.Sum{AtHand: 950, Spent: 50}},
		{"billed above its bound", []step{{ask: ask(1)}, {bill: bill(1, 700)}}, escrow.Sum{AtHand: 400, Spent: 600}},
		{"ended before it was asked for", []step{{bill: bill(1, 0)}, {ask: ask(1)}}, escrow.Sum{AtHand: 1000}},
		{"asked for twice", []step{{ask: ask(1)}, {ask: ask(1)}}, escrow.Sum{AtHand: 400, Reserved: 600}},
		{"too little at hand", []step{{ask: ask(1)}, {ask: ask(2)}}, escrow.Sum{AtHand: 400, Reserved: 600}},
		{"the bill is due a little longer", []step{{ask: ask(1)}, {after: billsWithin}}, escrow.Sum{AtHand: 400, Reserved: 600}},
		{"the bill is overdue", []step{{ask: ask(1)}, {after: billsWithin + 2*time.Second}}, escrow.Sum{AtHand: 400, Spent: 600}},
		{"a bill after that", []step{{ask: ask(1)}, {after: billsWithin + 2*time.Second}, {bill: bill(1, 5)}}, escrow.Sum{AtHand: 400, Spent: 600}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(t, 1000)
			for _, s := range tt.steps {
				var err error
				switch {
				case s.ask != nil:
					err = r.Lender.Reserve(s.ask, &wire.LoanReply{})
				case s.bill != nil:
					err = r.Settle(s.bill, &wire.Empty{})
				default:
					r.sweep(time.Now().Add(s.after))
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(tt.want, r.Lender.Wallet.Sum()); diff != "" {
				t.Errorf("the lender's money (-want +got):\n%s", diff)
			}
		})
	}
}

// A borrower that gives up while the lender waits leaves nothing locked.
func TestGivenUpLoanIsReleased(t *testing.T) {
	rs := hall(t, 100, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
	defer cancel()
	u := patience.Deadlines{Hard: time.Now().Add(time.Minute)}
	if _, err := rs[1].Borrower.Reserve(ctx, clerks, 600, u, 0); err == nil {
		t.Fatal("lent more than there was")
	}
	rs[1].Flush(t.Context())
	rs[0].give(1000)
	m, err := rs[1].Borrower.Reserve(t.Context(), clerks, 1000, soon(), 0)
	if err != nil {
		t.Fatalf("money is locked by a request that was given up: %v", err)
	}
	m.Settle(0)
}

// All routers bring a workspace to the same lender; of many, each gets its share.
func TestChoose(t *testing.T) {
	var lenders []string
	for i := range 20 {
		lenders = append(lenders, fmt.Sprint("10.0.0.", i, ":1"))
	}
	count := make(map[string]int)
	const workspaces = 2000
	for i := range workspaces {
		w := sumachead.WorkspaceID(fmt.Sprint("w", i))
		all := choose(lenders, w, func(string) bool { return true })
		count[all[0]]++
		reversed := slices.Clone(lenders)
		slices.Reverse(reversed)
		if diff := cmp.Diff(all, choose(reversed, w, func(string) bool { return true })); diff != "" {
			t.Fatalf("another order of the list chooses others (-one +other):\n%s", diff)
		}
		without := choose(lenders, w, func(l string) bool { return l != all[0] })
		if diff := cmp.Diff(all[1:], without[:len(all)-1]); diff != "" {
			t.Fatalf("the next lender is another where the first is passed over (-want +got):\n%s", diff)
		}
	}
	for l, n := range count {
		if mean := workspaces / len(lenders); n < mean/2 || n > mean*2 {
			t.Errorf("%s lends for %d workspaces of %d on average", l, n, mean)
		}
	}
}
