package raft

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sumachead/api/wire"
)

// membersLog returns a log with a single entry, the configuration ms.
func membersLog(t *testing.T, ms *wire.Members) []*wire.LogEntry {
	t.Helper()
	data, err := proto.Marshal(ms)
	if err != nil {
		t.Fatal(err)
	}
	return []*wire.LogEntry{{Index: 1, Term: 3, Kind: wire.EntryKind_ENTRY_KIND_MEMBERS, Data: data}}
}

// Checks that a majority elects a leader although one of its members lacks the latest
// membership change. Each member applies a change once it is in its log, and a change may be
// committed before it reaches a voter whose vote is needed after another member is lost.
func TestMajorityElectsThoughOneLacksTheChange(t *testing.T) {
	member := func(i, incarnation int) *wire.Member {
		return &wire.Member{Id: fmt.Sprintf("k%d", i), Incarnation: fmt.Sprint(incarnation)}
	}
	learner := member(3, 0)
	learner.Learner = true
	restarted := member(2, 1)
	restarted.Learner = true
	tests := []struct {
		name string
		// before and after are the configurations before and after the change.
		before, after []*wire.Member
		// have are the running members with the change in their log; lack are those
		// without it.
		have, lack []*wire.Member
	}{
		{
			"a learner is promoted to voter, and a voter lost its disk",
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0), learner},
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0), member(3, 0)},
			[]*wire.Member{member(0, 0), member(1, 0)},
			[]*wire.Member{member(3, 0)},
		},
		{
			"a new member is added as a voter, and a voter is lost",
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0)},
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0), member(3, 0)},
			[]*wire.Member{member(0, 0), member(1, 0)},
			[]*wire.Member{member(3, 0)},
		},
		{
			"a voter with a new disk, known to the other by its previous incarnation",
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0)},
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 1)},
			[]*wire.Member{member(2, 1)},
			[]*wire.Member{member(1, 0)},
		},
		{
			"a voter with a new disk, known to the other as a learner",
			[]*wire.Member{member(0, 0), member(1, 0), restarted},
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 1)},
			[]*wire.Member{member(2, 1)},
			[]*wire.Member{member(1, 0)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &testNet{cores: make(map[string]*Core), silent: make(map[string]bool)}
			state := &wire.HardState{Term: 3, Vote: "k0"}
			before, after := &wire.Members{Members: tt.before}, membersLog(t, &wire.Members{Members: tt.after})
			for _, m := range tt.have {
				n.cores[m.GetId()] = n.core(m.GetId(), m.GetIncarnation(), state, before, after)
			}
			for _, m := range tt.lack {
				n.cores[m.GetId()] = n.core(m.GetId(), m.GetIncarnation(), state, before, nil)
			}
			if leader := n.run(20 * testElectionTimeout); leader == "" {
				t.Error("no leader was elected")
			}
		})
	}
}

// Checks that a voter that cannot win, because the only other reachable voter in its log lost
// its disk, starts no election. Each election would raise the term and invalidate the polls of
// a member that has the membership change by which there is a majority.
func TestPollsThatCannotWinRaiseNoTerm(t *testing.T) {
	ms := &wire.Members{Members: []*wire.Member{{Id: "k0", Incarnation: "0"}, {Id: "k1", Incarnation: "0"}, {Id: "k2", Incarnation: "1", Learner: true}}}
	n := &testNet{cores: make(map[string]*Core), silent: make(map[string]bool)}
	n.cores["k0"] = n.core("k0", "1", &wire.HardState{}, &wire.Members{}, nil)
	n.cores["k1"] = n.core("k1", "0", &wire.HardState{Term: 3}, ms, nil)
	leader := n.run(5 * testElectionTimeout)
	if got := n.cores["k1"].term; got != 3 || leader != "" {
		t.Errorf("term %d, want 3; leader %q, want none", got, leader)
	}
}

// Checks that the previous incarnation of a member that lost its disk gets no vote from a
// member whose log is as complete, and that its own vote does not count.
func TestPreviousIncarnationGetsNoVote(t *testing.T) {
	ms := &wire.Members{Members: []*wire.Member{{Id: "k0", Incarnation: "1"}, {Id: "k1", Incarnation: "0"}, {Id: "k2", Incarnation: "0"}}}
	tests := []struct {
		name string
		kind wire.RaftKind
	}{
		{"a pre-vote request", wire.RaftKind_RAFT_KIND_PRE_VOTE},
		{"a vote request", wire.RaftKind_RAFT_KIND_VOTE},
		{"a granted vote", wire.RaftKind_RAFT_KIND_VOTE_REPLY},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &testNet{}
			c := n.core("k1", "0", &wire.HardState{Term: 3}, ms, nil)
			c.Tick(3 * testElectionTimeout)
			c.Ready()
			term, role := c.term, c.role
			c.Step(3*testElectionTimeout, &wire.RaftMessage{
				Kind: tt.kind, Group: "g", From: "k0", FromIncarnation: "0", To: "k1", ToIncarnation: "0", Term: term + 1,
			})
			if r := c.Ready(); len(r.MessagesAfterSync) > 0 || c.term != term || c.role != role {
				t.Errorf("replied %v; term %d, want %d; role %d, want %d", r.MessagesAfterSync, c.term, term, c.role, role)
			}
		})
	}
}

// changeMembers lets a leader add one host that is not a member, or promote a learner that
// has caught up.
func (c *cluster) changeMembers() {
	for _, l := range c.hosts {
		if !l.up || l.core.role != Leader {
			continue
		}
		for _, h := range c.hosts {
			if next := l.nextMembers(h); next != nil {
				l.core.ProposeMembers(next)
				c.process(l, -1)
				break
			}
		}
		if m := l.committedMember(c.diskLost); m != nil && !m.GetLearner() {
			c.diskLost = nil
		}
	}
}

// nextMembers returns the configuration with one change for the host of, or nil if it needs none.
func (h *host) nextMembers(of *host) *wire.Members {
	next := proto.CloneOf(h.core.members)
	for _, m := range next.GetMembers() {
		p := h.core.peers[m.GetId()]
		if m.GetId() == of.id && m.GetLearner() && p != nil && p.match > 0 && p.match+2 >= h.core.lastIndex() {
			m.Learner = false
			return next
		}
	}
	return WithLearner(h.core.members, &wire.Member{Id: of.id, Incarnation: fmt.Sprint(of.incarnation)})
}

// committedMember returns the host of as a member of the committed configuration, or nil if
// it is none.
func (h *host) committedMember(of *host) *wire.Member {
	for _, m := range h.core.MembersAt(h.core.commit).GetMembers() {
		if of != nil && m.GetId() == of.id && m.GetIncarnation() == fmt.Sprint(of.incarnation) {
			return m
		}
	}
	return nil
}

// loseDisk restarts a host with an empty disk and a new incarnation. It does nothing until the
// last host that lost its disk is a voter again, since the group tolerates one loss at a time.
func (c *cluster) loseDisk() {
	h := c.randomHost()
	if c.diskLost != nil {
		return
	}
	c.diskLost = h
	h.incarnation++
	h.disk = disk{state: &wire.HardState{}, snap: &wire.Snapshot{Members: &wire.Members{}}}
	h.applied = make(map[uint64]string)
	c.start(h)
}

// Checks that committed entries are never lost while hosts join, lose their disks one at a
// time, crash and are partitioned, and that the group makes progress after all faults end.
func TestCoreIsSafeUnderChangesOfMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const spares = 2
		c := newCluster(t, 3)
		for i := range spares {
			h := &host{id: fmt.Sprintf("s%d", i), disk: disk{state: &wire.HardState{}, snap: &wire.Snapshot{Members: &wire.Members{}}}}
			h.applied = make(map[uint64]string)
			c.hosts = append(c.hosts, h)
			c.start(h)
		}
		c.simulate(append(c.actions(), c.changeMembers, c.changeMembers, c.changeMembers, c.loseDisk))
	})
}
