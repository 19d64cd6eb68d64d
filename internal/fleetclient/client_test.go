package fleetclient

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sumachead/api/wire"
	"sumachead/internal/fleet"
	"sumachead/internal/registry"
	"sumachead/internal/rpc"
)

// fakeKeeper responds to follow requests like a keeper.
type fakeKeeper struct {
	// leader is the leader's address in its replies; its own address if it leads.
	leader  string
	address string
	number  atomic.Uint64
	frozen  atomic.Bool
	reports atomic.Int64
	// searches counts requests that only locate the leader, polls the others.
	searches atomic.Int64
	polls    atomic.Int64
}

func (k *fakeKeeper) blockWhileFrozen() {
	for k.frozen.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// Follow responds to a follow request.
func (k *fakeKeeper) Follow(q *wire.FollowRequest, reply *wire.FollowReply) error {
	k.blockWhileFrozen()
	if q.GetLocate() {
		k.searches.Add(1)
	} else {
		k.polls.Add(1)
	}
	if k.leader != k.address {
		return errors.New("not_leader:" + k.leader)
	}
	reply.Leader = k.address
	if n := k.number.Load(); n > q.GetNumber() && !q.GetLocate() {
		reply.Declaration = &wire.PackedDeclaration{Number: n}
	}
	time.Sleep(5 * time.Millisecond)
	return nil
}

// Report counts reports.
func (k *fakeKeeper) Report(_ *wire.EscrowReport, _ *wire.EscrowReply) error {
	k.blockWhileFrozen()
	k.reports.Add(1)
	return nil
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func serve(t *testing.T, k *fakeKeeper) {
	t.Helper()
	serveAs(t, k.address, k)
}

// serveAs serves k as the RPC service of a keeper.
func serveAs(t *testing.T, address string, k any) {
	t.Helper()
	s := &rpc.Server{Address: address}
	if err := s.Register("Fleet", k); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run() }()
	t.Cleanup(s.Close)
}

// newIdleClient returns a client that does not run.
func newIdleClient(t *testing.T, seeds ...string) *Client {
	t.Helper()
	c := &Client{
		Node: "router-1", Role: fleet.RoleRouter, Seeds: func() []string { return seeds }, Pool: &rpc.Pool{},
		Servers: &registry.Table{}, Log: hclog.NewNullLogger(),
	}
	t.Cleanup(c.Pool.Close)
	return c
}

// newClient returns a client that runs until the test ends.
func newClient(t *testing.T, seeds ...string) *Client {
	t.Helper()
	c := newIdleClient(t, seeds...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func TestSearchFollowsTheHint(t *testing.T) {
	leader := &fakeKeeper{address: freeAddress(t)}
	leader.leader = leader.address
	leader.number.Store(3)
	seed := &fakeKeeper{address: freeAddress(t), leader: leader.address}
	serve(t, leader)
	serve(t, seed)
	c := newClient(t, seed.address)
	eventually(t, "a declaration from a leader that is not a seed", func() bool { return c.View() != nil && c.View().Number == 3 })
}

func TestDeclarationNeverGoesBack(t *testing.T) {
	leader := &fakeKeeper{address: freeAddress(t)}
	leader.leader = leader.address
	leader.number.Store(7)
	serve(t, leader)
	c := newClient(t, leader.address)
	eventually(t, "number 7", func() bool { return c.View() != nil && c.View().Number == 7 })
	leader.number.Store(5)
	time.Sleep(100 * time.Millisecond)
	if n := c.View().Number; n != 7 {
		t.Fatalf("went back to %d", n)
	}
}

// The follow loop, a search and an attempt of the direct path may apply declarations concurrently.
func TestDeclarationsThatComeSideBySideNeverGoBack(t *testing.T) {
	c := &Client{Log: hclog.NewNullLogger()}
	const rounds = 2000
	for n := uint64(1); n <= rounds; n += 2 {
		var both sync.WaitGroup
		start := make(chan struct{})
		for _, d := range []*wire.Declaration{{Number: n, Catalog: manyServices()}, {Number: n + 1}} {
			both.Go(func() {
				<-start
				c.ApplyDeclaration(d)
			})
		}
		close(start)
		both.Wait()
		if got := c.View().Number; got != n+1 {
			t.Fatalf("number %d is in force instead of %d", got, n+1)
		}
	}
}

// manyServices returns a catalog that takes some time to prepare.
func manyServices() *wire.Catalog {
	c := &wire.Catalog{}
	for i := range 50 {
		c.Services = append(c.Services, &wire.Service{Name: strconv.Itoa(i)})
	}
	return c
}

func TestSeriesOfDeclarationsIsThrottled(t *testing.T) {
	leader := &fakeKeeper{address: freeAddress(t)}
	leader.leader = leader.address
	leader.number.Store(1)
	serve(t, leader)
	c := newClient(t, leader.address)
	eventually(t, "number 1", func() bool { return c.View() != nil })
	seen := map[uint64]bool{}
	for begun := time.Now(); time.Since(begun) < 2*minApplyInterval; time.Sleep(5 * time.Millisecond) {
		leader.number.Add(1)
		seen[c.View().Number] = true
	}
	if len(seen) > 4 {
		t.Fatalf("%d declarations were applied in %v", len(seen), 2*minApplyInterval)
	}
	newest := leader.number.Load()
	eventually(t, "the newest one", func() bool { return c.View().Number >= newest })
}

func TestRelayForwardsOnlyToKeepers(t *testing.T) {
	leader := &fakeKeeper{address: freeAddress(t)}
	leader.leader = leader.address
	leader.number.Store(1)
	serve(t, leader)
	relay := &rpc.Relay{Address: freeAddress(t), MaxConns: 4, Allowed: func(a string) bool { return a == leader.address }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = relay.Run(ctx) }()
	pool := &rpc.Pool{}
	defer pool.Close()
	call := func(target string) error {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := rpc.Call[wire.FollowReply](callCtx, pool.GetVia(relay.Address, target), "Fleet.Follow", &wire.FollowRequest{})
		return err
	}
	eventually(t, "a call through the relay", func() bool { return call(leader.address) == nil })
	if call(freeAddress(t)) == nil {
		t.Fatal("a relay forwarded a call to an address that is not a keeper's")
	}
}

func TestLateCallIsSentOverAnotherPath(t *testing.T) {
	old := &fakeKeeper{address: freeAddress(t)}
	old.leader = old.address
	next := &fakeKeeper{address: freeAddress(t)}
	next.leader = old.address
	serve(t, old)
	serve(t, next)
	c := newClient(t, old.address, next.address)
	eventually(t, "a leader", func() bool { _, ok := c.Path(); return ok })
	old.frozen.Store(true)
	defer old.frozen.Store(false)
	next.leader = next.address
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	begun := time.Now()
	if _, err := Call[wire.EscrowReply](ctx, c, "Fleet.Report", &wire.EscrowReport{}); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(begun); d > 500*time.Millisecond || next.reports.Load() != 1 {
		t.Fatalf("took %v, %d reports at the next leader", d, next.reports.Load())
	}
}
