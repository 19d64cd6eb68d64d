package fleet

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/wal"
)

// leader returns the keeper that leads, and one that follows it.
func (c *cluster) leader() (leader, follower *member) {
	c.t.Helper()
	c.eventually("a leader that all know", func() bool {
		leader, follower = nil, nil
		for _, m := range c.members {
			switch {
			case m == nil:
			case m.node.Leading():
				leader = m
			case m.copyFresh():
				follower = m
			}
		}
		return leader != nil && follower != nil
	})
	return leader, follower
}

// known counts the servers of a service that a keeper knows.
func known(k *member) int { return len(k.servers.Servers("chat")) }

// A heartbeat of a ready server is acknowledged by any keeper that was in contact
// lately, also while nobody leads, and reaches the next leader.
func TestReadyServersWaitForNoLeader(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader, follower := c.leader()
	for i, m := range c.members {
		if m == leader {
			c.halt(i)
		}
	}
	const servers = 50
	begun := time.Now()
	for i := range servers {
		r := &wire.ServerRecord{Id: fmt.Sprint("s", i), Service: "chat", Address: "10.0.0.1:80", Sequence: 1}
		if err := follower.Beat(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > election/4 {
		t.Errorf("%d heartbeats took %v", servers, took)
	}
	next, _ := c.leader()
	c.eventually("all servers at the next leader", func() bool { return known(next) == servers })
}

// After a kill of all keepers the next leader knows the servers that were ready,
// and those that leave, without a heartbeat.
func TestServersAreKnownAfterAKillOfAll(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader, _ := c.leader()
	for i := range 4 {
		r := &wire.ServerRecord{Id: fmt.Sprint("s", i), Service: "chat", Address: "10.0.0.1:80", Sequence: 1}
		if err := leader.Beat(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	c.eventually("all keepers have written four servers", func() bool {
		for i := range c.members {
			data, err := wal.ReadFile(filepath.Join(c.data(i), recordsFile))
			known := &wire.ServerRecords{}
			if err != nil || proto.Unmarshal(data, known) != nil || len(known.GetServers()) != 4 {
				return false
			}
		}
		return true
	})
	if err := leader.Beat(context.Background(), &wire.ServerRecord{Id: "s0", State: wire.ServerState_SERVER_STATE_LEAVING}); err != nil {
		t.Fatal(err)
	}
	for i := range c.members {
		c.halt(i)
	}
	for i := range c.members {
		c.start(i, false)
	}
	next, _ := c.leader()
	if diff := cmp.Diff(3, known(next)); diff != "" {
		t.Fatalf("servers known to the next leader (-want +got):\n%s", diff)
	}
}

// A keeper that has lost contact does not acknowledge in the leader's name: servers
// are to try another one.
func TestCutOffKeeperTakesNoHeartbeats(t *testing.T) {
	c := newCluster(t, 3, 3)
	_, follower := c.leader()
	for i, m := range c.members {
		if m != follower {
			c.halt(i)
		}
	}
	c.eventually("contact is lost", func() bool { return !follower.inContact() })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := follower.Beat(ctx, &wire.ServerRecord{Id: "s", Service: "chat", Address: "10.0.0.1:80", Sequence: 1}); err == nil {
		t.Fatal("a heartbeat was acknowledged")
	}
}

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
