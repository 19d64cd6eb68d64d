package fleet

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// hallOrder is an order in a test case.
type hallOrder struct {
	hall    string
	vacated bool
	against uint64
}

// apply applies an order to m and reports whether it was accepted.
func (o hallOrder) apply(t *testing.T, m *StateMachine) bool {
	t.Helper()
	command, err := proto.Marshal(&wire.FleetCommand{Command: &wire.FleetCommand_Hall{
		Hall: &wire.HallOrder{Hall: o.hall, Vacated: o.vacated, Against: o.against},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(0, command).(*wire.HallOrderReply).GetTaken()
}

// vacatedHalls lists the vacated halls.
func vacatedHalls(s *wire.HallStates) []string {
	var out []string
	for _, x := range s.GetHalls() {
		if x.GetVacated() {
			out = append(out, x.GetHall())
		}
	}
	return out
}

func TestHallOrders(t *testing.T) {
	tests := []struct {
		name   string
		orders []hallOrder
		// taken says for each order whether it is accepted.
		taken []bool
		want  []string
	}{
		{"vacated", []hallOrder{{"a", true, 0}}, []bool{true}, []string{"a"}},
		{"reopened", []hallOrder{{"a", true, 0}, {"a", false, 1}}, []bool{true, true}, nil},
		{"sent twice", []hallOrder{{"a", true, 0}, {"a", true, 1}}, []bool{true, true}, []string{"a"}},
		{"opened without having been vacated", []hallOrder{{"a", false, 0}}, []bool{true}, nil},
		{"a late duplicate does not undo a newer order", []hallOrder{{"a", true, 0}, {"a", false, 1}, {"a", true, 0}}, []bool{true, true, false}, nil},
		{"nor does it after an order that changed nothing", []hallOrder{{"a", false, 0}, {"a", true, 0}}, []bool{true, false}, nil},
		{"halls are independent", []hallOrder{{"a", true, 0}, {"b", true, 0}}, []bool{true, true}, []string{"a", "b"}},
		{"two operators against the same state", []hallOrder{{"a", true, 0}, {"a", false, 0}}, []bool{true, false}, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewStateMachine()
			var taken []bool
			for _, o := range tt.orders {
				taken = append(taken, o.apply(t, m))
			}
			if d := cmp.Diff(tt.taken, taken); d != "" {
				t.Errorf("orders accepted (-want +got):\n%s", d)
			}
			if d := cmp.Diff(tt.want, vacatedHalls(m.Halls(time.Now()))); d != "" {
				t.Errorf("vacated (-want +got):\n%s", d)
			}
		})
	}
}

// Snapshots contain the states of halls and their revisions.
func TestHallsAreRestored(t *testing.T) {
	m := NewStateMachine()
	for _, o := range []hallOrder{{"a", true, 0}, {"b", true, 0}, {"b", false, 2}} {
		o.apply(t, m)
	}
	data, err := m.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStateMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"a"}, vacatedHalls(restored.Halls(time.Now()))); d != "" {
		t.Errorf("vacated (-want +got):\n%s", d)
	}
	if (hallOrder{"b", true, 2}).apply(t, restored) {
		t.Error("an order against an older revision was accepted after the restore")
	}
	if n := restored.HallsRevision(); n != 3 {
		t.Errorf("revision %d, want 3", n)
	}
}

// An acknowledged order is still in force after a restart of all keepers, even if it was sent to a
// keeper that did not lead.
func TestHallStaysVacatedAfterRestartOfAllKeepers(t *testing.T) {
	c := newCluster(t, 3, 3)
	_, follower := c.awaitLeader()
	other := slices.Index(c.members, follower)
	if err := follower.Vacate(context.Background(), "hall-b", true); err != nil {
		t.Fatal(err)
	}
	for i := range c.members {
		c.halt(i)
	}
	for i := range c.members {
		c.start(i, false)
	}
	c.eventually("the hall still vacated", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s, err := c.members[other].HallStates(ctx)
		return err == nil && cmp.Equal([]string{"hall-b"}, vacatedHalls(s))
	})
}

// An order whose operator is gone is not proposed, however late it is processed.
func TestOrderOfAnOperatorThatHasGoneChangesNothing(t *testing.T) {
	c := newCluster(t, 2, 2)
	k, _ := c.awaitLeader()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Vacate(gone, "hall-a", true); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want a canceled context", err)
	}
	if n := k.machine.HallsRevision(); n != 0 {
		t.Fatalf("%d orders were accepted", n)
	}
}

// A follower with the newest states is sent none; any other follower is sent them at once.
func TestFollowersReceiveHallStates(t *testing.T) {
	c := newCluster(t, 2, 2)
	m, _ := c.awaitLeader()
	k := m.Keeper
	replies := make(chan *wire.FollowReply, 1)
	go func() {
		reply := &wire.FollowReply{}
		if err := (&service{k}).Follow(&wire.FollowRequest{Node: "r", Role: RoleRouter, WaitMillis: 1000, History: k.history()}, reply); err != nil {
			t.Error(err)
		}
		replies <- reply
	}()
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	if err := k.Vacate(context.Background(), "hall-a", true); err != nil {
		t.Fatal(err)
	}
	reply := <-replies
	if took := time.Since(begun); took > 500*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	if d := cmp.Diff([]string{"hall-a"}, vacatedHalls(reply.GetHalls())); d != "" {
		t.Errorf("vacated (-want +got):\n%s", d)
	}
	again := &wire.FollowReply{}
	r := &wire.FollowRequest{Node: "r", Role: RoleRouter, HallsRevision: reply.GetHalls().GetRevision()}
	if err := (&service{k}).Follow(r, again); err != nil {
		t.Fatal(err)
	}
	if again.GetHalls() != nil {
		t.Errorf("sent again: %v", again.GetHalls())
	}
}

// A keeper receives hall states by its log and not by follow requests: its long polls for server
// records block while nothing is new, even after a hall order.
func TestKeeperPollsBlockAfterHallOrder(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader, follower := c.awaitLeader()
	if err := leader.Vacate(context.Background(), "hall-a", true); err != nil {
		t.Fatal(err)
	}
	c.eventually("an answer", func() bool { return follower.copyOnce(context.Background()) })
	begun := time.Now()
	c.eventually("an answer", func() bool { return follower.copyOnce(context.Background()) })
	if took := time.Since(begun); took < copyPollWait/2 {
		t.Errorf("answered after %v with nothing new", took)
	}
}
