package raft

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sumachead/api/wire"
)

// newest returns a log of one entry that holds a configuration.
func newest(t *testing.T, ms *wire.Members) []*wire.LogEntry {
	t.Helper()
	data, err := proto.Marshal(ms)
	if err != nil {
		t.Fatal(err)
	}
	return []*wire.LogEntry{{Index: 1, Term: 3, Kind: wire.EntryKind_ENTRY_KIND_MEMBERS, Data: data}}
}

// A change of the members counts at each member once it is in its log, and it may be
// committed while one whose vote it needs does not have it yet. If another one is lost then,
// those that are left are a majority by the change, and must find a leader.
func TestMajorityElectsThoughOneLacksTheChange(t *testing.T) {
	member := func(i, life int) *wire.Member {
		return &wire.Member{Id: fmt.Sprintf("k%d", i), Incarnation: fmt.Sprint(life)}
	}
	learner := member(3, 0)
	learner.Learner = true
	back := member(2, 1)
	back.Learner = true
	tests := []struct {
		name string
		// before and after are the members without and with the change.
		before, after []*wire.Member
		// have says which members have the change, by the life that runs; lack, which of
		// them do not.
		have, lack []*wire.Member
	}{
		{
			"a learner that votes from then on, and a voter whose disk is lost",
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0), learner},
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0), member(3, 0)},
			[]*wire.Member{member(0, 0), member(1, 0)},
			[]*wire.Member{member(3, 0)},
		},
		{
			"a newcomer that votes from then on, and a voter that is gone",
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0)},
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0), member(3, 0)},
			[]*wire.Member{member(0, 0), member(1, 0)},
			[]*wire.Member{member(3, 0)},
		},
		{
			"a voter with a new disk, which the one that is left knows by its old one",
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 0)},
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 1)},
			[]*wire.Member{member(2, 1)},
			[]*wire.Member{member(1, 0)},
		},
		{
			"the same, which is known as a learner",
			[]*wire.Member{member(0, 0), member(1, 0), back},
			[]*wire.Member{member(0, 0), member(1, 0), member(2, 1)},
			[]*wire.Member{member(2, 1)},
			[]*wire.Member{member(1, 0)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &quietNet{cores: make(map[string]*Core), silent: make(map[string]bool)}
			state := &wire.HardState{Term: 3, Vote: "k0"}
			before, after := &wire.Members{Members: tt.before}, newest(t, &wire.Members{Members: tt.after})
			for _, m := range tt.have {
				n.cores[m.GetId()] = n.core(m.GetId(), m.GetIncarnation(), state, before, after)
			}
			for _, m := range tt.lack {
				n.cores[m.GetId()] = n.core(m.GetId(), m.GetIncarnation(), state, before, nil)
			}
			if leader := n.run(20 * testElection); leader == "" {
				t.Error("no leader was found")
			}
		})
	}
}

// A voter that can't win, since the other one that votes by its log has lost its disk, begins no
// election: each would raise the term, and cost a member its own that has the change by which
// there is a majority.
func TestPollsThatCannotWinRaiseNoTerm(t *testing.T) {
	ms := &wire.Members{Members: []*wire.Member{{Id: "k0", Incarnation: "0"}, {Id: "k1", Incarnation: "0"}, {Id: "k2", Incarnation: "1", Learner: true}}}
	n := &quietNet{cores: make(map[string]*Core), silent: make(map[string]bool)}
	n.cores["k0"] = n.core("k0", "1", &wire.HardState{}, &wire.Members{}, nil)
	n.cores["k1"] = n.core("k1", "0", &wire.HardState{Term: 3}, ms, nil)
	leader := n.run(5 * testElection)
	if got := n.cores["k1"].term; got != 3 || leader != "" {
		t.Errorf("term %d after 3, %q leads", got, leader)
	}
}

// The old life of a member, whose disk is lost, gets no vote from one that knows all that it
// knows, and is counted for none.
func TestOldLifeGetsNoVote(t *testing.T) {
	ms := &wire.Members{Members: []*wire.Member{{Id: "k0", Incarnation: "1"}, {Id: "k1", Incarnation: "0"}, {Id: "k2", Incarnation: "0"}}}
	tests := []struct {
		name string
		kind wire.RaftKind
	}{
		{"a question before an election", wire.RaftKind_RAFT_KIND_PRE_VOTE},
		{"an election", wire.RaftKind_RAFT_KIND_VOTE},
		{"a vote", wire.RaftKind_RAFT_KIND_VOTE_REPLY},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &quietNet{}
			c := n.core("k1", "0", &wire.HardState{Term: 3}, ms, nil)
			c.Tick(3 * testElection)
			c.Ready()
			term, role := c.term, c.role
			c.Step(3*testElection, &wire.RaftMessage{
				Kind: tt.kind, Group: "g", From: "k0", FromIncarnation: "0", To: "k1", ToIncarnation: "0", Term: term + 1,
			})
			if r := c.Ready(); len(r.Late) > 0 || c.term != term || c.role != role {
				t.Errorf("answered by %v, in term %d after %d, role %d after %d", r.Late, c.term, term, c.role, role)
			}
		})
	}
}

// changeMembers lets a leader take in one host that is no member, or give a learner that has
// caught up its vote.
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
		if m := l.committedMember(c.lost); m != nil && !m.GetLearner() {
			c.lost = nil
		}
	}
}

// nextMembers returns the members with one change for a host; nil for none.
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

// committedMember returns a host as it is a member by what a leader has committed; nil for
// none.
func (h *host) committedMember(of *host) *wire.Member {
	for _, m := range h.core.MembersAt(h.core.commit).GetMembers() {
		if of != nil && m.GetId() == of.id && m.GetIncarnation() == fmt.Sprint(of.incarnation) {
			return m
		}
	}
	return nil
}

// loseDisk ends a host and empties its disk, unless another one that was lost does not vote
// again: the group bears one loss at a time.
func (c *cluster) loseDisk() {
	h := c.pick()
	if c.lost != nil {
		return
	}
	c.lost = h
	h.incarnation++
	h.disk = disk{state: &wire.HardState{}, snap: &wire.Snapshot{Members: &wire.Members{}}}
	h.applied = make(map[uint64]string)
	c.boot(h)
}

// Hosts join, and lose their disks one at a time, while others crash and are cut off: what was
// chosen stays chosen, and once all is healed the group goes on.
func TestCoreIsSafeUnderChangesOfMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const spares = 2
		c := newCluster(t, 3)
		for i := range spares {
			h := &host{id: fmt.Sprintf("s%d", i), disk: disk{state: &wire.HardState{}, snap: &wire.Snapshot{Members: &wire.Members{}}}}
			h.applied = make(map[uint64]string)
			c.hosts = append(c.hosts, h)
			c.boot(h)
		}
		c.play(append(c.actions(), c.changeMembers, c.changeMembers, c.changeMembers, c.loseDisk))
	})
}
