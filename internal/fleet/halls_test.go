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

// hallOrder is an order of a test.
type hallOrder struct {
	hall    string
	vacated bool
	against uint64
}

// apply carries out an order, and reports whether it was taken.
func (o hallOrder) apply(t *testing.T, m *Machine) bool {
	t.Helper()
	command, err := proto.Marshal(&wire.FleetCommand{Command: &wire.FleetCommand_Hall{
		Hall: &wire.HallOrder{Hall: o.hall, Vacated: o.vacated, Against: o.against},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(0, command).(*wire.HallOrderReply).GetTaken()
}

// vacatedOf lists the vacated halls.
func vacatedOf(s *wire.HallStates) []string {
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
		// taken are by the orders.
		taken []bool
		want  []string
	}{
		{"vacated", []hallOrder{{"a", true, 0}}, []bool{true}, []string{"a"}},
		{"opened again", []hallOrder{{"a", true, 0}, {"a", false, 1}}, []bool{true, true}, nil},
		{"sent again", []hallOrder{{"a", true, 0}, {"a", true, 1}}, []bool{true, true}, []string{"a"}},
		{"opened without having been vacated", []hallOrder{{"a", false, 0}}, []bool{true}, nil},
		{"a late copy does not undo what came after", []hallOrder{{"a", true, 0}, {"a", false, 1}, {"a", true, 0}}, []bool{true, true, false}, nil},
		{"nor one that was overtaken by an end that changed nothing", []hallOrder{{"a", false, 0}, {"a", true, 0}}, []bool{true, false}, nil},
		{"halls do not hinder each other", []hallOrder{{"a", true, 0}, {"b", true, 0}}, []bool{true, true}, []string{"a", "b"}},
		{"two operators against the same state", []hallOrder{{"a", true, 0}, {"a", false, 0}}, []bool{true, false}, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewMachine()
			var taken []bool
			for _, o := range tt.orders {
				taken = append(taken, o.apply(t, m))
			}
			if d := cmp.Diff(tt.taken, taken); d != "" {
				t.Errorf("orders taken (-want +got):\n%s", d)
			}
			if d := cmp.Diff(tt.want, vacatedOf(m.Halls(time.Now()))); d != "" {
				t.Errorf("vacated (-want +got):\n%s", d)
			}
		})
	}
}

// The states of halls, with their revisions, are part of a snapshot.
func TestHallsAreRestored(t *testing.T) {
	m := NewMachine()
	for _, o := range []hallOrder{{"a", true, 0}, {"b", true, 0}, {"b", false, 2}} {
		o.apply(t, m)
	}
	data, err := m.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"a"}, vacatedOf(restored.Halls(time.Now()))); d != "" {
		t.Errorf("vacated (-want +got):\n%s", d)
	}
	if (hallOrder{"b", true, 2}).apply(t, restored) {
		t.Error("an order against an older revision was taken after the restore")
	}
	if n := restored.HallsRevision(); n != 3 {
		t.Errorf("revision %d, want 3", n)
	}
}

// An acknowledged order holds at all keepers after all of them were stopped at once, also
// one that was given to a keeper that does not lead.
func TestHallStaysVacatedAfterAKillOfAll(t *testing.T) {
	c := newCluster(t, 3, 3)
	_, follower := c.leader()
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
	c.eventually("the hall is vacated again", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s, err := c.members[other].HallStates(ctx)
		return err == nil && cmp.Equal([]string{"hall-b"}, vacatedOf(s))
	})
}

// An order whose operator has gone is not proposed, however late it is dealt with.
func TestOrderOfAnOperatorThatHasGoneChangesNothing(t *testing.T) {
	c := newCluster(t, 2, 2)
	k, _ := c.leader()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Vacate(gone, "hall-a", true); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want that the operator has gone", err)
	}
	if n := k.machine.HallsRevision(); n != 0 {
		t.Fatalf("%d orders were taken", n)
	}
}

// A follower that has the newest states is told nothing; one that has not is told at once.
func TestFollowersAreToldOfHalls(t *testing.T) {
	c := newCluster(t, 2, 2)
	m, _ := c.leader()
	k := m.Keeper
	told := make(chan *wire.FollowReply, 1)
	go func() {
		reply := &wire.FollowReply{}
		if err := (&service{k}).Follow(&wire.FollowRequest{Node: "r", Role: RoleRouter, WaitMillis: 1000, History: k.history()}, reply); err != nil {
			t.Error(err)
		}
		told <- reply
	}()
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	if err := k.Vacate(context.Background(), "hall-a", true); err != nil {
		t.Fatal(err)
	}
	reply := <-told
	if took := time.Since(begun); took > 500*time.Millisecond {
		t.Errorf("told after %v", took)
	}
	if d := cmp.Diff([]string{"hall-a"}, vacatedOf(reply.GetHalls())); d != "" {
		t.Errorf("vacated (-want +got):\n%s", d)
	}
	again := &wire.FollowReply{}
	r := &wire.FollowRequest{Node: "r", Role: RoleRouter, HallsRevision: reply.GetHalls().GetRevision()}
	if err := (&service{k}).Follow(r, again); err != nil {
		t.Fatal(err)
	}
	if again.GetHalls() != nil {
		t.Errorf("told again: %v", again.GetHalls())
	}
}

// A keeper, which knows the states of halls by its log, is not told of them: its questions
// for server records are held as long as nothing is new, also after an order.
func TestKeepersQuestionsAreHeldAfterAnOrder(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader, follower := c.leader()
	if err := leader.Vacate(context.Background(), "hall-a", true); err != nil {
		t.Fatal(err)
	}
	c.eventually("an answer", func() bool { return follower.copyOnce(context.Background()) })
	begun := time.Now()
	c.eventually("an answer", func() bool { return follower.copyOnce(context.Background()) })
	if took := time.Since(begun); took < copyWait/2 {
		t.Errorf("answered after %v, with nothing new", took)
	}
}
