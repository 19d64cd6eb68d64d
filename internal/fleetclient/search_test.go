package fleetclient

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/internal/rpc"
)

// In a large fleet that has lost its leader, searches must not overload the keepers: the leader is
// asked once, whichever keeper names it, and the others a few at a time.
func TestSearchAsksLittle(t *testing.T) {
	tests := []struct {
		name    string
		keepers int
	}{
		{"few keepers", 3},
		{"many keepers", 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			leader := &fakeKeeper{address: freeAddress(t)}
			leader.leader = leader.address
			serve(t, leader)
			var others []*fakeKeeper
			var seeds []string
			for range tt.keepers {
				k := &fakeKeeper{address: freeAddress(t), leader: leader.address}
				serve(t, k)
				others = append(others, k)
				seeds = append(seeds, k.address)
			}
			c := newIdleClient(t, seeds...)
			if !c.search(t.Context()) {
				t.Fatal("no leader was found")
			}
			time.Sleep(4 * searchBatchInterval) // no request may follow
			if diff := cmp.Diff(int64(1), leader.searches.Load()); diff != "" {
				t.Errorf("requests at the leader (-want +got):\n%s", diff)
			}
			asked := int64(0)
			for _, k := range others {
				asked += k.searches.Load()
			}
			if asked > maxSearchedKeepers {
				t.Errorf("%d requests at other keepers, want at most %d", asked, maxSearchedKeepers)
			}
			if leader.polls.Load() != 0 {
				t.Error("a search asked for more than the leader's address")
			}
		})
	}
}

// A node on a relayed path switches to the direct path once that works again and keeps it, even if
// a response over the relay was still in flight.
func TestDirectPathIsKept(t *testing.T) {
	leader := &fakeKeeper{address: freeAddress(t)}
	leader.leader = leader.address
	serve(t, leader)
	relay := &rpc.Relay{Address: freeAddress(t), MaxConns: 4, Allowed: func(string) bool { return true }}
	go func() { _ = relay.Run(t.Context()) }()
	c := newIdleClient(t, leader.address)
	overRelay := Path{relay.Address, leader.address}
	c.path = overRelay
	eventually(t, "a call through the relay", func() bool { return c.follow(t.Context(), overRelay) })
	c.path, c.nextDirectAttempt = overRelay, time.Time{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	direct := func() bool {
		w, ok := c.Path()
		return ok && w.Relay == ""
	}
	eventually(t, "the direct path", direct)
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		if !direct() {
			t.Fatal("the client left the direct path")
		}
	}
}
