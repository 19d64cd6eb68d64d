package fleet

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"sumachead/api/wire"
	"sumachead/internal/rollout"
)

// declareServices puts a declaration with the named services in force.
func declareServices(t *testing.T, k *Keeper, names ...string) {
	t.Helper()
	d := &wire.Declaration{Number: 1, Catalog: &wire.Catalog{}}
	for _, n := range names {
		d.Catalog.Services = append(d.Catalog.Services, &wire.Service{Name: n})
	}
	if err := k.Declare(context.Background(), d); err != nil {
		t.Fatal(err)
	}
}

func TestRolloutOrders(t *testing.T) {
	type order struct {
		service, target string
		lasts           time.Duration
	}
	tests := []struct {
		name   string
		before []order
		order  order
		// refused checks for the expected error; nil if none is expected.
		refused func(error) bool
	}{
		{"an order", nil, order{"pool", "v2", time.Minute}, nil},
		{"duplicate", []order{{"pool", "v2", time.Minute}}, order{"pool", "v2", time.Minute}, nil},
		{"another version in progress", []order{{"pool", "v2", time.Minute}}, order{"pool", "v3", time.Minute}, func(err error) bool { return errors.Is(err, ErrRolloutInProgress) }},
		{"another service in progress", []order{{"pool", "v2", time.Minute}}, order{"desk", "v2", time.Minute}, nil},
		{"an unknown service", nil, order{"none", "v2", time.Minute}, trace.IsNotFound},
		{"no service", nil, order{"", "v2", time.Minute}, trace.IsBadParameter},
		{"no version", nil, order{"pool", "", time.Minute}, trace.IsBadParameter},
		{"no time", nil, order{"pool", "v2", 0}, trace.IsBadParameter},
		{"a deadline before the order", nil, order{"pool", "v2", -time.Second}, trace.IsBadParameter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3, 3)
			leader, follower := c.awaitLeader()
			declareServices(t, leader.Keeper, "pool", "desk")
			for _, o := range tt.before {
				if err := leader.StartRollout(context.Background(), o.service, o.target, o.lasts); err != nil {
					t.Fatal(err)
				}
			}
			err := follower.StartRollout(context.Background(), tt.order.service, tt.order.target, tt.order.lasts)
			if (tt.refused == nil) != (err == nil) || tt.refused != nil && !tt.refused(err) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Late duplicates of an order start nothing: neither while the rollout is in progress nor shortly
// after it was rolled back.
func TestLateDuplicateOfRolloutOrderChangesNothing(t *testing.T) {
	tests := []struct {
		name    string
		rollout *wire.Rollout
		target  string
		want    bool
	}{
		{"none", nil, "v2", false},
		{"in progress", &wire.Rollout{Target: "v2"}, "v2", true},
		{"another version", &wire.Rollout{Target: "v3", Phase: wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE}, "v2", false},
		{"complete, long ago", &wire.Rollout{Target: "v2", Phase: wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE, AgeMillis: 1e9}, "v2", true},
		{"rolled back just now", &wire.Rollout{Target: "v2", Phase: wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, AgeMillis: 4000}, "v2", true},
		{"rolled back long ago: a new order", &wire.Rollout{Target: "v2", Phase: wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK, AgeMillis: 60_000}, "v2", false},
	}
	for _, tt := range tests {
		if got := isDuplicateOrder(tt.rollout, tt.target); got != tt.want {
			t.Errorf("%s: duplicate %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Acknowledged orders and their outcomes survive a restart of all keepers, and no keeper returns
// an older state afterwards.
func TestRolloutsSurviveRestartOfAllKeepers(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader, follower := c.awaitLeader()
	other := slices.Index(c.members, follower)
	declareServices(t, leader.Keeper, "pool", "desk")
	ctx := context.Background()
	// Without servers of the target version, a rollout is rolled back at its deadline.
	for service, lasts := range map[string]time.Duration{"pool": time.Hour, "desk": 50 * time.Millisecond} {
		if err := follower.StartRollout(ctx, service, "v2", lasts); err != nil {
			t.Fatal(err)
		}
	}
	phaseOf := func(k *Keeper, service string) wire.RolloutPhase {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		r, err := k.LatestRollout(ctx, service)
		if err != nil || r == nil {
			return -1
		}
		return r.GetPhase()
	}
	c.eventually("a rollout that is rolled back", func() bool {
		return phaseOf(leader.Keeper, "desk") == wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
	})
	for i := range c.members {
		c.halt(i)
	}
	for i := range c.members {
		c.start(i, false)
	}
	c.eventually("both rollouts in their old phases", func() bool {
		k := c.members[other].Keeper
		return phaseOf(k, "pool") == wire.RolloutPhase_ROLLOUT_PHASE_TRIAL && phaseOf(k, "desk") == wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
	})
	c.eventually("an unchanged deadline", func() bool {
		m := c.members[other].machine
		m.mu.Lock()
		defer m.mu.Unlock()
		ordered, deadline := m.rollouts.Times("pool")
		return deadline.Sub(ordered) == time.Hour && !rollout.Ended(m.rollouts.Get("pool"))
	})
}

// A follower is told of an order at once, without waiting for servers of the target version.
func TestFollowersReceiveRollouts(t *testing.T) {
	c := newCluster(t, 2, 2)
	m, _ := c.awaitLeader()
	k := m.Keeper
	declareServices(t, k, "pool")
	replies := make(chan *wire.FollowReply, 1)
	go func() {
		reply := &wire.FollowReply{}
		if err := (&service{k}).Follow(&wire.FollowRequest{Node: "r", Role: RoleRouter, WaitMillis: 1000, Number: 1, History: k.history()}, reply); err != nil {
			t.Error(err)
		}
		replies <- reply
	}()
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	if err := k.StartRollout(context.Background(), "pool", "v2", time.Minute); err != nil {
		t.Fatal(err)
	}
	reply := <-replies
	if took := time.Since(begun); took > 500*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	if r := reply.GetRollouts().GetRollouts(); len(r) != 1 || r[0].GetTarget() != "v2" {
		t.Errorf("received %v", r)
	}
}
