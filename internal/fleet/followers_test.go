package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// Spare relays of a hall are told to wait; one of them replaces a relay that has gone.
func TestSpareRelaysAreToldToWait(t *testing.T) {
	f := newFollowers()
	now := time.Now()
	ask := func(hall string, i int, at time.Time) time.Duration {
		r := &wire.FollowRequest{Node: fmt.Sprint(hall, i), Role: RoleRelay, Hall: hall, RelayAddress: fmt.Sprint(hall, i)}
		return f.observe(r, at)
	}
	type answers struct{ Kept, Spare int }
	count := func(hall string, n int, at time.Time) (a answers) {
		for i := range n {
			if ask(hall, i, at) == 0 {
				a.Kept++
			} else {
				a.Spare++
			}
		}
		return a
	}
	tests := []struct {
		name string
		hall string
		n    int
		at   time.Time
		want answers
	}{
		{"some", "a", maxRelaysPerHall - 1, now, answers{maxRelaysPerHall - 1, 0}},
		{"spare relays", "a", maxRelaysPerHall + 20, now, answers{maxRelaysPerHall, 20}},
		{"another hall", "b", maxRelaysPerHall, now, answers{maxRelaysPerHall, 0}},
		{"the same relays poll again", "a", maxRelaysPerHall + 20, now.Add(relayTTL / 2), answers{maxRelaysPerHall, 20}},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, count(tt.hall, tt.n, tt.at)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
	if ask("a", maxRelaysPerHall+5, now.Add(2*relayTTL)) != 0 {
		t.Error("a spare relay does not replace one that has gone")
	}
	if diff := cmp.Diff(1, f.count(RoleRelay)); diff != "" {
		t.Errorf("following relays (-want +got):\n%s", diff)
	}
}

// newTestFollowers returns routers that lend in five halls, and eight relays in each hall.
func newTestFollowers(routers int, now time.Time) *followers {
	f := newFollowers()
	for i := range routers {
		f.observe(&wire.FollowRequest{Node: fmt.Sprint("router-", i), Role: RoleRouter, Hall: fmt.Sprint("hall-", i%5), LendingAddress: fmt.Sprint("router-", i, ":1")}, now)
	}
	for i := range 5 * maxRelaysPerHall {
		f.observe(&wire.FollowRequest{Node: fmt.Sprint("relay-", i), Role: RoleRelay, Hall: fmt.Sprint("hall-", i%5), RelayAddress: fmt.Sprint("relay-", i, ":1")}, now)
	}
	return f
}

// pollKnownRouter does the work that each follow request of a known router causes at the leader,
// apart from what is new to the router.
func (f *followers) pollKnownRouter(now time.Time) {
	r := &wire.FollowRequest{Node: "router-7", Role: RoleRouter, Hall: "hall-2", LendingAddress: "router-7:1"}
	f.observe(r, now)
	f.relaysFor(r.GetNode())
	f.lendersIn(sumachead.HallID(r.GetHall()))
	f.count(RoleRouter)
}

// Each router polls several times a second. If the cost of one request grew with the number of
// routers, the total cost would grow with its square.
func TestFollowRequestCostIsIndependentOfFleetSize(t *testing.T) {
	now := time.Now()
	cost := func(routers int) float64 {
		f := newTestFollowers(routers, now)
		f.pollKnownRouter(now)
		return testing.AllocsPerRun(100, func() { f.pollKnownRouter(now) })
	}
	if small, large := cost(10), cost(1000); large > small {
		t.Errorf("%v allocations with 1,000 routers, %v with 10", large, small)
	}
}

// The counts and lists that followers are told change at once when a node comes, goes or moves.
func TestFollowerInfoIsUpdatedAtOnce(t *testing.T) {
	now := time.Now()
	f := newTestFollowers(10, now)
	_, before := f.lendersIn("hall-2")
	f.pollKnownRouter(now)
	f.observe(&wire.FollowRequest{Node: "router-99", Role: RoleRouter, Hall: "hall-2", LendingAddress: "router-99:1"}, now)
	lenders, digest := f.lendersIn("hall-2")
	if len(lenders) != 3 || digest == before || f.count(RoleRouter) != 11 {
		t.Errorf("lenders %v, %d routers", lenders, f.count(RoleRouter))
	}
	f.observe(&wire.FollowRequest{Node: "router-99", Role: RoleRouter, Hall: "hall-2"}, now) // no longer lends
	if lenders, digest = f.lendersIn("hall-2"); len(lenders) != 2 || digest != before {
		t.Errorf("lenders %v", lenders)
	}
	f.observe(&wire.FollowRequest{Node: "router-7", Role: RoleRouter, Hall: "hall-2", LendingAddress: "router-7:1"}, now.Add(followerTTL+time.Second))
	if n := f.count(RoleRouter); n != 1 {
		t.Errorf("%d routers after all but one have gone", n)
	}
}

func BenchmarkQuestion(b *testing.B) {
	for _, routers := range []int{10, 100, 400, 1000} {
		b.Run(fmt.Sprint(routers, " routers"), func(b *testing.B) {
			now := time.Now()
			f := newTestFollowers(routers, now)
			for b.Loop() {
				f.pollKnownRouter(now)
			}
		})
	}
}
