package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/api/wire"
)

// quietNet is a group whose messages arrive at once, but for members that are
// silent.
type quietNet struct {
	cores map[string]*Core
	// silent members get no messages, and none of theirs arrive.
	silent map[string]bool
	now    time.Duration
}

// newQuietNet returns restarted members k0 to kN. Each has the entries that lengths
// says, all of one term; the group was founded by all of them.
func newQuietNet(lengths ...int) *quietNet {
	members := &wire.Members{}
	for i := range lengths {
		members.Members = append(members.Members, &wire.Member{Id: fmt.Sprintf("k%d", i), Incarnation: "0"})
	}
	n := &quietNet{cores: make(map[string]*Core), silent: make(map[string]bool)}
	for i, length := range lengths {
		var entries []*wire.LogEntry
		for j := range length {
			entries = append(entries, &wire.LogEntry{Index: uint64(j + 1), Term: 3})
		}
		id := fmt.Sprintf("k%d", i)
		n.cores[id] = n.core(id, "0", &wire.HardState{Term: 3, Vote: "k0"}, members, entries)
	}
	return n
}

// core returns a member as it starts from what is on its disk.
func (n *quietNet) core(id, incarnation string, state *wire.HardState, members *wire.Members, entries []*wire.LogEntry) *Core {
	cfg := Config{
		Group: "g", ID: id, Incarnation: incarnation, Heartbeat: testHeartbeat, Election: testElection, Rand: rand.Int64N,
		Snapshot: func() *wire.Snapshot { return &wire.Snapshot{Members: members} },
	}
	return NewCore(cfg, state, &wire.Snapshot{Members: members}, entries, n.now)
}

// run lets time pass and returns the leader, if there is one before the end.
func (n *quietNet) run(until time.Duration) (leader string) {
	for ; n.now < until; n.now += time.Millisecond {
		for id, c := range n.cores {
			if !n.silent[id] {
				c.Tick(n.now)
			}
		}
		n.settle()
		for id, c := range n.cores {
			if c.role == Leader && !n.silent[id] {
				return id
			}
		}
	}
	return ""
}

// settle hands over messages until no member wants any sent.
func (n *quietNet) settle() {
	for n.deliver() {
	}
}

// refused tells members that the process of another has ended.
func (n *quietNet) refused(id string, members ...string) {
	for _, m := range members {
		n.cores[m].PeerRefused(n.now, id)
	}
}

// deliver hands over what the members want sent; false when that was nothing.
func (n *quietNet) deliver() bool {
	found := false
	for id, c := range n.cores {
		r := c.Ready()
		c.Persisted(c.lastIndex())
		for _, m := range append(r.Early, r.Late...) {
			found = true
			if to := n.cores[m.GetTo()]; to != nil && !n.silent[id] && !n.silent[m.GetTo()] {
				to.Step(n.now, m)
			}
		}
	}
	return found
}

func TestAllRestartedElectAtOnce(t *testing.T) {
	tests := []struct {
		name string
		// lengths are of the members' logs.
		lengths []int
		// change is made to the group before it runs.
		change func(*quietNet)
		// soon: there is a leader before the election timeout.
		soon   bool
		leader string
	}{
		{"same logs, the lowest id", []int{2, 2, 2}, nil, true, "k0"},
		{"the longest log", []int{2, 2, 3, 3, 2}, nil, true, "k2"},
		{"one silent may lead", []int{2, 2, 2, 2, 2}, func(n *quietNet) { n.silent["k4"] = true }, false, ""},
		{"one with an empty disk", []int{2, 2, 2}, func(n *quietNet) {
			n.cores["k0"] = n.core("k0", "1", &wire.HardState{}, nil, nil)
		}, true, "k1"},
		{"an empty disk has no vote", []int{2, 2, 2}, func(n *quietNet) {
			n.cores["k0"] = n.core("k0", "1", &wire.HardState{}, nil, nil)
			n.cores["k1"] = n.core("k1", "1", &wire.HardState{}, nil, nil)
		}, false, ""},
		{"one that refuses connections may lead", []int{2, 2, 2}, func(n *quietNet) {
			n.silent["k0"] = true
			n.run(testElection / 4) // a round has begun
			n.refused("k0", "k1", "k2")
		}, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newQuietNet(tt.lengths...)
			if tt.change != nil {
				tt.change(n)
			}
			leader := n.run(testElection * 9 / 10)
			if diff := cmp.Diff(tt.soon, leader != ""); diff != "" {
				t.Fatalf("a leader before the timeout (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.leader, leader); diff != "" {
				t.Fatalf("leader (-want +got):\n%s", diff)
			}
		})
	}
}

// A member that restarts beside a live leader changes nothing.
func TestPollLeavesALiveLeaderAlone(t *testing.T) {
	n := newQuietNet(2, 2, 2)
	if leader := n.run(testElection); leader != "k0" {
		t.Fatalf("leader %q", leader)
	}
	term := n.cores["k0"].term
	old := n.cores["k1"]
	n.cores["k1"] = n.core("k1", "0", old.HardState(), old.members, old.entries)
	end := n.now + 3*testElection
	for n.now < end {
		n.now += time.Millisecond
		for _, c := range n.cores {
			c.Tick(n.now)
		}
		n.settle()
	}
	if got := n.cores["k0"]; got.role != Leader || got.term != term {
		t.Fatalf("role %v, term %d; before: leader in term %d", got.role, got.term, term)
	}
}

// ledBy returns a group with a leader that all have just heard of.
func ledBy(t *testing.T, leader string, lengths ...int) *quietNet {
	t.Helper()
	n := newQuietNet(lengths...)
	if got := n.run(testElection); got != leader {
		t.Fatalf("leader %q", got)
	}
	n.now += testHeartbeat
	n.cores[leader].Tick(n.now)
	n.settle()
	return n
}

// A leader whose process has ended and begun anew is replaced at once by members whose
// connections it refused: none waits for its silence.
func TestRestartedLeaderIsReplacedAtOnce(t *testing.T) {
	n := ledBy(t, "k0", 2, 2, 2, 2, 2)
	old := n.cores["k0"]
	n.silent["k0"] = true
	begun := n.now
	n.refused("k0", "k1", "k2", "k3", "k4")
	n.run(n.now + testElection/8)
	n.cores["k0"] = n.core("k0", "0", old.HardState(), old.members, old.entries)
	n.silent["k0"] = false
	leader := n.run(begun + testElection)
	if leader == "" || n.now-begun >= testElection {
		t.Fatalf("leader %q after %v", leader, n.now-begun)
	}
}

// A leader that runs on behind something that refuses connections keeps its lease: no
// other is elected while it answers reads.
func TestRefusingLeaderKeepsItsLease(t *testing.T) {
	n := ledBy(t, "k0", 2, 2, 2)
	k0 := n.cores["k0"]
	if !k0.LeaseValid(n.now) {
		t.Fatal("the leader has no lease")
	}
	n.silent["k0"] = true
	for k0.LeaseValid(n.now) {
		n.refused("k0", "k1", "k2")
		if other := n.run(n.now + time.Millisecond); other != "" {
			t.Fatalf("%s leads while the lease of k0 is valid", other)
		}
	}
}

// What a round has shown does not outlive the term that it was shown in: a leader
// may have been elected since.
func TestPollEndsWithItsTerm(t *testing.T) {
	n := newQuietNet(2, 2, 2)
	k0 := n.cores["k0"]
	for n.now = 0; k0.poll.idle == nil; n.now += time.Millisecond {
		k0.Tick(n.now)
	}
	answer := func(from string) {
		k0.Step(n.now, &wire.RaftMessage{
			Group: "g", Kind: wire.RaftKind_RAFT_KIND_POLL_REPLY, From: from, FromIncarnation: "0", To: "k0", ToIncarnation: "0",
			Term: 3, Round: k0.poll.round, LogIndex: 2, LogTerm: 3,
		})
	}
	answer("k1")
	k0.Step(n.now, &wire.RaftMessage{
		Group: "g", Kind: wire.RaftKind_RAFT_KIND_VOTE, From: "k1", FromIncarnation: "0", To: "k0", ToIncarnation: "0",
		Term: 4, LogIndex: 2, LogTerm: 3, Transfer: true,
	})
	answer("k2")
	if k0.role != Follower || k0.term != 4 {
		t.Fatalf("role %v in term %d, want a follower in term 4", k0.role, k0.term)
	}
}

// The voter that comes back last ends the wait of the others at once: with its own first
// poll, and with the polls that this one calls for.
func TestLastToRestartEndsTheWait(t *testing.T) {
	for last := range 3 {
		t.Run(fmt.Sprint("k", last), func(t *testing.T) {
			n := newQuietNet(2, 2, 2)
			id := fmt.Sprint("k", last)
			n.silent[id] = true
			back := testElection / 3
			if leader := n.run(back); leader != "" {
				t.Fatalf("%s leads while %s may", leader, id)
			}
			c := n.cores[id]
			n.cores[id] = n.core(id, "0", &wire.HardState{Term: 3, Vote: "k0"}, c.members, c.entries)
			delete(n.silent, id)
			within := 2 * time.Millisecond // two ticks; polls are five apart on average
			if leader := n.run(back + within); leader == "" {
				t.Fatalf("nobody leads %v after the last member is back", within)
			}
		})
	}
}

// What a leader sent before it was cut off may arrive after the cut: by then it leads no longer,
// and those that follow it by such a message wait for nobody.
func TestLateHeartbeatsHoldNoElectionUp(t *testing.T) {
	n := ledBy(t, "k0", 2, 2, 2)
	k0 := n.cores["k0"]
	n.now += testHeartbeat
	k0.Tick(n.now)
	late := k0.Ready().Early
	for until := n.now + 4*testElection; n.now < until; n.now += time.Millisecond {
		for _, c := range n.cores {
			c.Tick(n.now)
			c.Ready() // nothing arrives
		}
	}
	if k0.role == Leader {
		t.Fatal("a leader that reaches nobody leads")
	}
	for _, m := range late {
		n.cores[m.GetTo()].Step(n.now, m)
	}
	begun, within := n.now, testElection/2
	if leader := n.run(begun + within); leader == "" {
		t.Fatalf("nobody leads %v after the cut", within)
	}
}
