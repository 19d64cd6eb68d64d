package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// A hall's relays beyond those that are needed are told to wait; one of them takes the
// place of one that has gone.
func TestSpareRelaysAreToldToWait(t *testing.T) {
	f := newFollowers()
	now := time.Now()
	ask := func(hall string, i int, at time.Time) time.Duration {
		r := &wire.FollowRequest{Node: fmt.Sprint(hall, i), Role: RoleRelay, Hall: hall, RelayAddress: fmt.Sprint(hall, i)}
		return f.saw(r, at)
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
		{"some", "a", relaysInHall - 1, now, answers{relaysInHall - 1, 0}},
		{"more than are needed", "a", relaysInHall + 20, now, answers{relaysInHall, 20}},
		{"another hall", "b", relaysInHall, now, answers{relaysInHall, 0}},
		{"the same again", "a", relaysInHall + 20, now.Add(relayLives / 2), answers{relaysInHall, 20}},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, count(tt.hall, tt.n, tt.at)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
	if ask("a", relaysInHall+5, now.Add(2*relayLives)) != 0 {
		t.Error("a spare relay does not take the place of one that has gone")
	}
	if diff := cmp.Diff(1, f.count(RoleRelay)); diff != "" {
		t.Errorf("relays that follow (-want +got):\n%s", diff)
	}
}

// fleetOf returns followers: routers that lend in five halls, and eight relays in each.
func fleetOf(routers int, now time.Time) *followers {
	f := newFollowers()
	for i := range routers {
		f.saw(&wire.FollowRequest{Node: fmt.Sprint("router-", i), Role: RoleRouter, Hall: fmt.Sprint("hall-", i%5), LendingAddress: fmt.Sprint("router-", i, ":1")}, now)
	}
	for i := range 5 * relaysInHall {
		f.saw(&wire.FollowRequest{Node: fmt.Sprint("relay-", i), Role: RoleRelay, Hall: fmt.Sprint("hall-", i%5), RelayAddress: fmt.Sprint("relay-", i, ":1")}, now)
	}
	return f
}

// askAgain is what a question of a router that is known costs the leader beside what is new.
func (f *followers) askAgain(now time.Time) {
	r := &wire.FollowRequest{Node: "router-7", Role: RoleRouter, Hall: "hall-2", LendingAddress: "router-7:1"}
	f.saw(r, now)
	f.relaysFor(r.GetNode())
	f.lendersOf(sumachead.HallID(r.GetHall()))
	f.count(RoleRouter)
}

// Each router asks some times a second: what its question costs must not grow with their number,
// or what all questions cost grows with its square.
func TestAQuestionCostsTheSameInAnyFleet(t *testing.T) {
	now := time.Now()
	cost := func(routers int) float64 {
		f := fleetOf(routers, now)
		f.askAgain(now)
		return testing.AllocsPerRun(100, func() { f.askAgain(now) })
	}
	if small, large := cost(10), cost(1000); large > small {
		t.Errorf("%v allocations with 1,000 routers, %v with 10", large, small)
	}
}

// What is told of those who follow is true at once when somebody comes, goes or moves.
func TestWhoFollowsIsToldAnew(t *testing.T) {
	now := time.Now()
	f := fleetOf(10, now)
	_, before := f.lendersOf("hall-2")
	f.askAgain(now)
	f.saw(&wire.FollowRequest{Node: "router-99", Role: RoleRouter, Hall: "hall-2", LendingAddress: "router-99:1"}, now)
	lenders, digest := f.lendersOf("hall-2")
	if len(lenders) != 3 || digest == before || f.count(RoleRouter) != 11 {
		t.Errorf("lenders %v, %d routers", lenders, f.count(RoleRouter))
	}
	f.saw(&wire.FollowRequest{Node: "router-99", Role: RoleRouter, Hall: "hall-2"}, now) // lends no more
	if lenders, digest = f.lendersOf("hall-2"); len(lenders) != 2 || digest != before {
		t.Errorf("lenders %v", lenders)
	}
	f.saw(&wire.FollowRequest{Node: "router-7", Role: RoleRouter, Hall: "hall-2", LendingAddress: "router-7:1"}, now.Add(followerLives+time.Second))
	if n := f.count(RoleRouter); n != 1 {
		t.Errorf("%d routers, after all but one have gone", n)
	}
}

func BenchmarkQuestion(b *testing.B) {
	for _, routers := range []int{10, 100, 400, 1000} {
		b.Run(fmt.Sprint(routers, " routers"), func(b *testing.B) {
			now := time.Now()
			f := fleetOf(routers, now)
			for b.Loop() {
				f.askAgain(now)
			}
		})
	}
}
