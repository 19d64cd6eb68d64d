package fleetclient

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
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
