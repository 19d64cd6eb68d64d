package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sumachead/api/wire"
)

// awaitLeader waits until one keeper leads and another one follows it.
func (c *cluster) awaitLeader() (leader, follower *member) {
	c.t.Helper()
	c.eventually("a leader with a follower", func() bool {
		leader, follower = nil, nil
		for _, m := range c.members {
			switch {
			case m == nil:
			case m.node.IsLeader():
				leader = m
			case m.copyFresh():
				follower = m
			}
		}
		return leader != nil && follower != nil
	})
	return leader, follower
}

// countKnown counts the servers of a service that a keeper knows.
func countKnown(k *member) int { return len(k.servers.Servers("chat", nil)) }

// Any keeper that was in contact with a leader recently acknowledges heartbeats of ready servers,
// even while nobody leads, and passes them on to the next leader.
func TestReadyServersWaitForNoLeader(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader, follower := c.awaitLeader()
	for i, m := range c.members {
		if m == leader {
			c.halt(i)
		}
	}
	const servers = 50
	begun := time.Now()
	for i := range servers {
		r := &wire.ServerRecord{Id: fmt.Sprint("s", i), Service: "chat", Address: "10.0.0.1:80", Sequence: 1}
		if err := follower.HandleHeartbeat(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > electionTimeout/4 {
		t.Errorf("%d heartbeats took %v", servers, took)
	}
	next, _ := c.awaitLeader()
	c.eventually("all servers known to the next leader", func() bool { return countKnown(next) == servers })
}

// A keeper that has lost contact with the leader must not acknowledge heartbeats on its behalf, so
// that servers try another keeper.
func TestIsolatedKeeperRejectsHeartbeats(t *testing.T) {
	c := newCluster(t, 3, 3)
	_, follower := c.awaitLeader()
	for i, m := range c.members {
		if m != follower {
			c.halt(i)
		}
	}
	c.eventually("loss of contact with the leader", func() bool { return !follower.hasLeaderContact() })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := follower.HandleHeartbeat(ctx, &wire.ServerRecord{Id: "s", Service: "chat", Address: "10.0.0.1:80", Sequence: 1}); err == nil {
		t.Fatal("a heartbeat was acknowledged")
	}
}
