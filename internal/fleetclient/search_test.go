package fleetclient

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/internal/rpc"
)

// In a large fleet that has lost its leader, what searches ask must not keep the
// keepers busy: the leader is asked once, whoever names it, and the others a few at
// a time.
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
			time.Sleep(4 * searchStage) // nothing may follow
			if diff := cmp.Diff(int64(1), leader.searches.Load()); diff != "" {
				t.Errorf("questions at the leader (-want +got):\n%s", diff)
			}
			asked := int64(0)
			for _, k := range others {
				asked += k.searches.Load()
			}
			if asked > searchMost {
				t.Errorf("%d questions at other keepers, at most %d expected", asked, searchMost)
			}
			if leader.contents.Load() != 0 {
				t.Error("a search asked for more than who leads")
			}
		})
	}
}

// A node that went through a relay stays on the direct way once that works again,
// also when an answer over the relay was still under way then.
func TestDirectWayIsKept(t *testing.T) {
	leader := &fakeKeeper{address: freeAddress(t)}
	leader.leader = leader.address
	serve(t, leader)
	relay := &rpc.Relay{Address: freeAddress(t), MaxConns: 4, Allowed: func(string) bool { return true }}
	go func() { _ = relay.Run(t.Context()) }()
	c := newIdleClient(t, leader.address)
	overRelay := Way{relay.Address, leader.address}
	c.way = overRelay
	eventually(t, "the relay carries", func() bool { return c.follow(t.Context(), overRelay) })
	c.way, c.directAt = overRelay, time.Time{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	direct := func() bool {
		w, ok := c.Way()
		return ok && w.Relay == ""
	}
	eventually(t, "the direct way is taken", direct)
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		if !direct() {
			t.Fatal("the direct way was left again")
		}
	}
}
