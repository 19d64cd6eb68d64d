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

// newStore returns the store of a process that started long ago.
func newStore() (*Store, *fakeClock) {
	c := &fakeClock{now: 1}
	b := &Store{Clock: c}
	b.StartReplay()
	c.now = c.now.Add(2 * replayTimeout)
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
		// taken is whether the last message was accepted; target and phase are the state after it.
		taken  bool
		target string
		phase  wire.RolloutPhase
	}{
		{"an order", []proto.Message{order("v2", 0)}, true, "v2", trial},
		{"an order based on an older revision", []proto.Message{order("v2", 0), step(1, rolledBack), order("v3", 0)}, false, "v2", rolledBack},
		{"another order while one is in progress", []proto.Message{order("v2", 0), order("v3", 1)}, false, "v2", trial},
		{"a late duplicate of an order that has ended", []proto.Message{order("v2", 0), step(1, complete), order("v2", 0)}, false, "v2", complete},
		{"a new order after the end", []proto.Message{order("v2", 0), step(1, rolledBack), order("v2", 2)}, true, "v2", trial},
		{"a step", []proto.Message{order("v2", 0), step(1, moving)}, true, "v2", moving},
		{"a step back", []proto.Message{order("v2", 0), step(1, moving), step(1, trial)}, false, "v2", moving},
		{"a step of a previous order", []proto.Message{order("v2", 0), step(1, rolledBack), order("v3", 2), step(1, complete)}, false, "v3", trial},
		{"complete after rolled back", []proto.Message{order("v2", 0), step(1, rolledBack), step(1, complete)}, false, "v2", rolledBack},
		{"rolled back after complete", []proto.Message{order("v2", 0), step(1, complete), step(1, rolledBack)}, false, "v2", complete},
		{"rolled back while moving", []proto.Message{order("v2", 0), step(1, moving), step(1, rolledBack)}, true, "v2", rolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, _ := newStore()
			var reply *wire.RolloutReply
			for _, m := range tt.do {
				switch x := m.(type) {
				case *wire.RolloutOrder:
					reply = b.Start(x)
				case *wire.RolloutStep:
					reply = b.Advance(x)
				}
			}
			got := b.Get("s")
			if reply.GetTaken() != tt.taken || got.GetTarget() != tt.target || got.GetPhase() != tt.phase {
				t.Errorf("accepted: %v, then %v", reply.GetTaken(), got)
			}
		})
	}
}

// A version that was rolled back stays rejected until it is ordered again, whichever other versions
// are ordered in between.
func TestRolledBackVersionsStayRejected(t *testing.T) {
	b, _ := newStore()
	end := func(target string, p wire.RolloutPhase) {
		t.Helper()
		old := b.Get("s")
		if !b.Start(&wire.RolloutOrder{Service: "s", Target: target, Against: old.GetRevision()}).GetTaken() {
			t.Fatalf("the order for %s was not accepted", target)
		}
		if !b.Advance(&wire.RolloutStep{Service: "s", Order: b.Get("s").GetOrder(), Phase: p}).GetTaken() {
			t.Fatalf("the end of %s was not accepted", target)
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
			t.Errorf("rejected versions after %s has ended (-want +got):\n%s", tt.target, d)
		}
	}
	for i := range 3 * maxRejected {
		end(fmt.Sprint("w", i), rolledBack)
	}
	if n := len(b.Get("s").GetRejected()); n != maxRejected {
		t.Errorf("%d rejected versions, want %d", n, maxRejected)
	}
}

func TestStoreIsRestored(t *testing.T) {
	b, c := newStore()
	start := time.Now()
	b.Start(&wire.RolloutOrder{
		Service: "s", Target: "v2", OrderedUnixMillis: start.UnixMilli(), DeadlineUnixMillis: start.Add(time.Minute).UnixMilli(),
	})
	b.RaiseAllowance(&wire.RolloutAllowance{Service: "s", Order: 1, Allowed: 7, Reached: 90})
	b.Advance(&wire.RolloutStep{Service: "s", Order: 1, Phase: wire.RolloutPhase_ROLLOUT_PHASE_MOVING, Replaced: []string{"", "v1"}})
	c.now = c.now.Add(time.Second)
	data, err := proto.Marshal(b.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	stored := &wire.Rollouts{}
	if err := proto.Unmarshal(data, stored); err != nil {
		t.Fatal(err)
	}
	other, _ := newStore()
	other.Restore(stored)
	if diff := cmp.Diff(b.Snapshot(), other.Snapshot(), protocmp.Transform()); diff != "" {
		t.Errorf("restored state differs (-want +got):\n%s", diff)
	}
	// A restored order that is known already keeps its age by this process's clock.
	b.Restore(stored)
	ordered, deadline := b.Times("s")
	if c.now.Sub(ordered) != time.Second || deadline.Sub(ordered) != time.Minute {
		t.Errorf("age of the order: %v, duration: %v", c.now.Sub(ordered), deadline.Sub(ordered))
	}
}

// A process that has just started replays old orders from the log. Their age must not restart at 0,
// or their deadlines would move into the future.
func TestReplayedOrderKeepsItsAge(t *testing.T) {
	c := &fakeClock{now: 1}
	b := &Store{Clock: c}
	b.StartReplay()
	at := time.Now().Add(-5 * time.Second)
	b.Start(&wire.RolloutOrder{
		Service: "s", Target: "v2", OrderedUnixMillis: at.UnixMilli(), DeadlineUnixMillis: at.Add(8 * time.Second).UnixMilli(),
	})
	_, deadline := b.Times("s")
	if left := deadline.Sub(c.now); left < 2*time.Second || left > 3*time.Second {
		t.Errorf("%v remaining of 8 s, 5 s after the order", left)
	}
}
