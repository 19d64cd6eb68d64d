package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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
