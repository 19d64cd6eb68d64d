package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sumachead/api/wire"
)

// leader waits for a keeper that leads, and one that follows it.
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
func known(k *member) int { return len(k.servers.Servers("chat", nil)) }

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
