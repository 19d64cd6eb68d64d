package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"sumachead/api/wire"
)

// newBook returns a book of a process that has run for long.
func newBook() (*Book, *playedClock) {
	c := &playedClock{now: 1}
	b := &Book{Clock: c}
	b.Open()
	c.now = c.now.Add(2 * replayWithin)
	return b, c
}

func TestOrdersAndSteps(t *testing.T) {
	const (
		trial      = wire.RolloutPhase_ROLLOUT_PHASE_TRIAL
		moving     = wire.RolloutPhase_ROLLOUT_PHASE_MOVING
		complete   = wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE
		rolledBack = wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
	)
	order := func(target string, against uint64) *wire.RolloutOrder {
		return &wire.RolloutOrder{Service: "s", Target: target, Against: against}
	}
	step := func(order uint64, p wire.RolloutPhase) *wire.RolloutStep {
		return &wire.RolloutStep{Service: "s", Order: order, Phase: p}
	}
	tests := []struct {
		name string
		do   []proto.Message
		// taken is whether the last one was, and the others what then stands.
		taken  bool
		target string
		phase  wire.RolloutPhase
	}{
		{"an order", []proto.Message{order("v2", 0)}, true, "v2", trial},
		{"an order made against an older state", []proto.Message{order("v2", 0), step(1, rolledBack), order("v3", 0)}, false, "v2", rolledBack},
		{"another order while one goes on", []proto.Message{order("v2", 0), order("v3", 1)}, false, "v2", trial},
		{"a late copy of an order that has ended", []proto.Message{order("v2", 0), step(1, complete), order("v2", 0)}, false, "v2", complete},
		{"a new order after the end", []proto.Message{order("v2", 0), step(1, rolledBack), order("v2", 2)}, true, "v2", trial},
		{"a step", []proto.Message{order("v2", 0), step(1, moving)}, true, "v2", moving},
		{"a step back", []proto.Message{order("v2", 0), step(1, moving), step(1, trial)}, false, "v2", moving},
		{"a step of an earlier order", []proto.Message{order("v2", 0), step(1, rolledBack), order("v3", 2), step(1, complete)}, false, "v3", trial},
		{"complete after rolled back", []proto.Message{order("v2", 0), step(1, rolledBack), step(1, complete)}, false, "v2", rolledBack},
		{"rolled back after complete", []proto.Message{order("v2", 0), step(1, complete), step(1, rolledBack)}, false, "v2", complete},
		{"rolled back in the move", []proto.Message{order("v2", 0), step(1, moving), step(1, rolledBack)}, true, "v2", rolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, _ := newBook()
			var reply *wire.RolloutReply
			for _, m := range tt.do {
				switch x := m.(type) {
				case *wire.RolloutOrder:
					reply = b.Order(x)
				case *wire.RolloutStep:
					reply = b.Step(x)
				}
			}
			got := b.Get("s")
			if reply.GetTaken() != tt.taken || got.GetTarget() != tt.target || got.GetPhase() != tt.phase {
				t.Errorf("taken %v, then %v", reply.GetTaken(), got)
			}
		})
	}
}

// A version that was rolled back is rejected until it is ordered again, whatever else is.
func TestRolledBackVersionsStayRejected(t *testing.T) {
	b, _ := newBook()
	end := func(target string, p wire.RolloutPhase) {
		t.Helper()
		old := b.Get("s")
		if !b.Order(&wire.RolloutOrder{Service: "s", Target: target, Against: old.GetRevision()}).GetTaken() {
			t.Fatalf("the order for %s was not taken", target)
		}
		if !b.Step(&wire.RolloutStep{Service: "s", Order: b.Get("s").GetOrder(), Phase: p}).GetTaken() {
			t.Fatalf("the end of %s was not taken", target)
		}
	}
	const (
		complete   = wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE
		rolledBack = wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
	)
	steps := []struct {
		target string
		phase  wire.RolloutPhase
		want   []string
	}{
		{"v2", rolledBack, nil},
		{"v3", complete, []string{"v2"}},
		{"v4", rolledBack, []string{"v2"}},
		{"v5", complete, []string{"v2", "v4"}},
		{"v2", complete, []string{"v4"}},
		{"v6", rolledBack, []string{"v4"}},
		{"v6", rolledBack, []string{"v4"}},
		{"v7", complete, []string{"v4", "v6"}},
	}
	for _, tt := range steps {
		end(tt.target, tt.phase)
		if d := cmp.Diff(tt.want, b.Get("s").GetRejected()); d != "" {
			t.Errorf("rejected once %s has ended (-want +got):\n%s", tt.target, d)
		}
	}
	for i := range 3 * maxRejected {
		end(fmt.Sprint("w", i), rolledBack)
	}
	if n := len(b.Get("s").GetRejected()); n != maxRejected {
		t.Errorf("%d versions are kept as rejected, want %d", n, maxRejected)
	}
}

func TestABookIsRestoredWhole(t *testing.T) {
	b, c := newBook()
	start := time.Now()
	b.Order(&wire.RolloutOrder{
		Service: "s", Target: "v2", OrderedUnixMillis: start.UnixMilli(), DeadlineUnixMillis: start.Add(time.Minute).UnixMilli(),
	})
	b.Allow(&wire.RolloutAllowance{Service: "s", Order: 1, Allowed: 7, Reached: 90})
	b.Step(&wire.RolloutStep{Service: "s", Order: 1, Phase: wire.RolloutPhase_ROLLOUT_PHASE_MOVING, Replaced: []string{"", "v1"}})
	c.now = c.now.Add(time.Second)
	data, err := proto.Marshal(b.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	stored := &wire.Rollouts{}
	if err := proto.Unmarshal(data, stored); err != nil {
		t.Fatal(err)
	}
	other, _ := newBook()
	other.Restore(stored)
	if diff := cmp.Diff(b.Snapshot(), other.Snapshot(), protocmp.Transform()); diff != "" {
		t.Errorf("restored otherwise (-was +is):\n%s", diff)
	}
	// Its own life of an order goes on by its own clock.
	b.Restore(stored)
	ordered, deadline := b.Times("s")
	if c.now.Sub(ordered) != time.Second || deadline.Sub(ordered) != time.Minute {
		t.Errorf("ordered %v ago, for %v", c.now.Sub(ordered), deadline.Sub(ordered))
	}
}

// A process that has just started reads old orders: their time goes on, and does not begin anew.
func TestAnOrderThatIsReadAgainIsAsOldAsItIs(t *testing.T) {
	c := &playedClock{now: 1}
	b := &Book{Clock: c}
	b.Open()
	at := time.Now().Add(-5 * time.Second)
	b.Order(&wire.RolloutOrder{
		Service: "s", Target: "v2", OrderedUnixMillis: at.UnixMilli(), DeadlineUnixMillis: at.Add(8 * time.Second).UnixMilli(),
	})
	_, deadline := b.Times("s")
	if left := deadline.Sub(c.now); left < 2*time.Second || left > 3*time.Second {
		t.Errorf("%v are left of 8 s, 5 s after the order", left)
	}
}
