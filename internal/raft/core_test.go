package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sumachead/api/wire"
)

const (
	testHeartbeatInterval = 10 * time.Millisecond
	testElectionTimeout   = 100 * time.Millisecond
)

// host is a simulated member: a core and the contents of its disk.
type host struct {
	id          string
	incarnation int
	core        *Core
	up          bool
	disk        disk
	// applied contains the commands applied since the disk was first used, by index.
	applied map[uint64]string
}

type disk struct {
	state   *wire.HardState
	snap    *wire.Snapshot
	entries []*wire.LogEntry
}

// cluster is a simulated group. Its network delivers, drops, duplicates and
// reorders messages; its hosts crash between any two steps.
type cluster struct {
	t *rapid.T
	// r makes all random choices. Rapid's own generators favor small numbers, with which
	// hosts crash so often that a leader is rarely elected.
	r       *rand.Rand
	now     time.Duration
	hosts   []*host
	net     []*wire.RaftMessage
	blocked map[string]bool
	leaders map[uint64]string
	// committed contains the command that any host has applied at an index.
	committed map[uint64]string
	proposed  int
	// diskLost is the host that lost its disk, until its new incarnation is a voter, or nil.
	diskLost *host
}

func newCluster(t *rapid.T, n int) *cluster {
	seed := rapid.Uint64().Draw(t, "seed")
	c := &cluster{t: t, r: rand.New(rand.NewPCG(seed, seed)), blocked: make(map[string]bool), leaders: make(map[uint64]string), committed: make(map[uint64]string)}
	founders := &wire.Members{}
	for i := range n {
		founders.Members = append(founders.Members, &wire.Member{Id: fmt.Sprintf("k%d", i), Incarnation: "0"})
	}
	for i := range n {
		h := &host{id: fmt.Sprintf("k%d", i), disk: disk{state: &wire.HardState{}, snap: &wire.Snapshot{Members: founders}}}
		h.applied = make(map[uint64]string)
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	return c
}

func (c *cluster) start(h *host) {
	cfg := Config{
		Group: "g", ID: h.id, Incarnation: fmt.Sprint(h.incarnation), HeartbeatInterval: testHeartbeatInterval, ElectionTimeout: testElectionTimeout,
		Rand:     c.r.Int64N,
		Snapshot: func() *wire.Snapshot { return h.disk.snap },
	}
	h.core = NewCore(cfg, h.disk.state, h.disk.snap, slices.Clone(h.disk.entries), c.now)
	h.up = true
}

// process handles the output of a core; the host crashes after crash steps, or never if crash
// is negative.
func (c *cluster) process(h *host, crash int) {
	for {
		r := h.core.Ready()
		if r.empty() {
			return
		}
		if r.State == nil {
			c.net = append(c.net, r.ReplicationMessages...)
		}
		if crash == 0 {
			c.crash(h)
			return
		}
		h.persist(r)
		if crash == 1 {
			c.crash(h)
			return
		}
		h.core.Persisted(h.core.lastIndex())
		if r.State != nil {
			c.net = append(c.net, r.ReplicationMessages...)
		}
		c.net = append(c.net, r.MessagesAfterSync...)
		c.apply(h, r.Committed)
	}
}

func (h *host) persist(r Ready) {
	if r.State != nil {
		h.disk.state = r.State
	}
	if r.Snapshot != nil {
		h.disk.snap, h.disk.entries = r.Snapshot, nil
	}
	for _, e := range r.Entries {
		at := int(e.GetIndex() - h.disk.snap.GetIndex() - 1)
		h.disk.entries = append(h.disk.entries[:at:at], e)
	}
}

func (c *cluster) crash(h *host) { h.up = false }

// apply checks that all hosts apply the same command at an index.
func (c *cluster) apply(h *host, entries []*wire.LogEntry) {
	for _, e := range entries {
		v := e.GetKind().String() + string(e.GetData())
		if have, ok := c.committed[e.GetIndex()]; ok && have != v {
			c.t.Fatalf("%s applies %q at index %d, but %q was applied there before", h.id, v, e.GetIndex(), have)
		}
		c.committed[e.GetIndex()] = v
		h.applied[e.GetIndex()] = v
	}
}

// crashPoint returns a random step at which processing crashes, or -1 for none. Crashes
// are rare, since otherwise nothing would be committed.
func (c *cluster) crashPoint() int {
	if n := c.r.IntN(120); n < 2 {
		return n
	}
	return -1
}

func (c *cluster) randomHost() *host { return c.hosts[c.r.IntN(len(c.hosts))] }

func (c *cluster) find(id string) *host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliver delivers message i; keep leaves a duplicate of it on the network.
func (c *cluster) deliver(i int, keep bool) {
	m := c.net[i]
	if !keep {
		c.net = slices.Delete(c.net, i, i+1)
	}
	h := c.find(m.GetTo())
	if h == nil || !h.up || c.blocked[m.GetFrom()+m.GetTo()] {
		return
	}
	h.core.Step(c.now, proto.CloneOf(m))
	c.process(h, c.crashPoint())
}

// check verifies the invariants: one leader per term and at most one lease.
func (c *cluster) check() {
	leases := 0
	for _, h := range c.hosts {
		if !h.up {
			continue
		}
		if h.core.role == Leader {
			if other, ok := c.leaders[h.core.term]; ok && other != h.id {
				c.t.Fatalf("term %d has two leaders: %s and %s", h.core.term, other, h.id)
			}
			c.leaders[h.core.term] = h.id
		}
		if h.core.LeaseValid(c.now) {
			leases++
			c.checkReads(h)
		}
	}
	if leases > 1 {
		c.t.Fatalf("%d leaders hold a lease at once", leases)
	}
}

// checkReads verifies that a leader with a lease has committed every entry that any host
// has applied, so that reads from it are linearizable.
func (c *cluster) checkReads(h *host) {
	for index := range c.committed {
		if index > h.core.commit {
			c.t.Fatalf("%s would serve reads without entry %d, which was applied (its commit index is %d)", h.id, index, h.core.commit)
		}
	}
}

// actions returns the possible actions; repeated ones are more likely.
func (c *cluster) actions() []func() {
	return []func(){
		c.round, c.round, c.round, c.round, c.elect, c.exchange, c.propose, c.propose, c.propose,
		c.isolate, c.heal, c.heal, c.heal, c.blockOneWay, c.duplicate, c.drop, c.tick, c.deliverSome,
		func() { c.restart(c.randomHost()) }, func() { c.restart(c.randomHost()) }, func() { c.crash(c.randomHost()) },
		func() { c.compact(c.randomHost()) }, c.transfer, c.restartAll, c.reportRefused, c.reportRefused,
	}
}

// restartAll crashes all hosts simultaneously and restarts them.
func (c *cluster) restartAll() {
	for _, h := range c.hosts {
		c.crash(h)
	}
	for _, h := range c.hosts {
		c.restart(h)
	}
}

// reportRefused reports to one host that another one refuses connections, whether or not
// it is running, as a firewall would cause.
func (c *cluster) reportRefused() {
	if h := c.randomHost(); h.up {
		h.core.ReportConnectionRefused(c.now, c.randomHost().id)
		c.process(h, c.crashPoint())
	}
}

func (c *cluster) isolate() {
	h := c.randomHost()
	for _, o := range c.hosts {
		c.blocked[h.id+o.id], c.blocked[o.id+h.id] = true, true
	}
}

func (c *cluster) heal() { c.blocked = make(map[string]bool) }

func (c *cluster) blockOneWay() {
	a, b := c.randomHost(), c.randomHost()
	c.blocked[a.id+b.id] = true // in one direction only
}

func (c *cluster) duplicate() {
	if len(c.net) > 0 {
		c.deliver(c.r.IntN(len(c.net)), true)
	}
}

func (c *cluster) drop() {
	if len(c.net) > 0 {
		c.net = slices.Delete(c.net, 0, 1)
	}
}

func (c *cluster) tick() {
	c.now += time.Duration(c.r.Int64N(int64(testElectionTimeout)))
	for _, h := range c.hosts {
		if h.up {
			h.core.Tick(c.now)
			c.process(h, c.crashPoint())
		}
	}
}

func (c *cluster) deliverSome() {
	for range 6 {
		if len(c.net) > 0 {
			c.deliver(c.r.IntN(len(c.net)), false)
		}
	}
}

func (c *cluster) propose() {
	h := c.randomHost()
	for _, o := range c.hosts {
		if o.up && o.core.role == Leader {
			h = o
		}
	}
	if !h.up {
		return
	}
	c.proposed++
	if _, ok := h.core.Propose([][]byte{fmt.Appendf(nil, "c%d", c.proposed)}); ok {
		c.process(h, c.crashPoint())
	}
}

func (c *cluster) transfer() {
	if h := c.randomHost(); h.up {
		h.core.TransferLeadership()
		c.process(h, -1)
	}
}

// exchange delivers the messages in flight and the replies to them, dropping some.
func (c *cluster) exchange() {
	for i := 0; len(c.net) > 0 && i < 60; i++ {
		if c.r.IntN(12) == 0 {
			c.net = c.net[1:]
			continue
		}
		c.deliver(0, false)
		c.check()
	}
}

// round advances the clock by a heartbeat interval and delivers messages.
func (c *cluster) round() {
	c.now += testHeartbeatInterval
	for _, h := range c.hosts {
		if h.up {
			h.core.Tick(c.now)
			c.process(h, -1)
		}
	}
	c.exchange()
}

// elect lets one host campaign after the other hosts' leader has timed out.
func (c *cluster) elect() {
	h := c.randomHost()
	if !h.up {
		return
	}
	c.now += 2 * testElectionTimeout
	h.core.Tick(c.now)
	c.process(h, -1)
	c.exchange()
}

func (c *cluster) restart(h *host) {
	if !h.up {
		c.start(h)
		c.process(h, -1)
	}
}

func (c *cluster) compact(h *host) {
	if !h.up || h.core.applied <= h.core.snapIndex {
		return
	}
	index := h.core.applied
	term, _ := h.core.termAt(index)
	snap := &wire.Snapshot{Index: index, Term: term, Members: h.core.MembersAt(index)}
	h.core.Compact(index)
	h.disk.snap, h.disk.entries = snap, slices.Clone(h.core.slice(index+1, h.core.firstUnsaved-1))
}

// settle ends all faults and checks that the group makes progress.
func (c *cluster) settle() {
	c.blocked = make(map[string]bool)
	for _, h := range c.hosts {
		c.restart(h)
	}
	before := len(c.committed)
	for range 400 {
		c.now += testHeartbeatInterval
		for _, h := range c.hosts {
			h.core.Tick(c.now)
			c.process(h, -1)
		}
		for len(c.net) > 0 {
			m := c.net[0]
			c.net = c.net[1:]
			h := c.find(m.GetTo())
			h.core.Step(c.now, proto.CloneOf(m))
			c.process(h, -1)
		}
		c.check()
		c.changeMembers()
		for _, h := range c.hosts {
			if h.core.role == Leader {
				h.core.Propose([][]byte{[]byte("last")})
				c.process(h, -1)
			}
		}
	}
	if len(c.committed) <= before {
		c.t.Fatalf("no progress after everything healed")
	}
	commit := c.hosts[0].core.commit
	for _, h := range c.hosts {
		if h.core.commit+50 < commit {
			c.t.Fatalf("%s lags behind: commit index %d of %d", h.id, h.core.commit, commit)
		}
	}
}

func TestCoreIsSafeUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts"))
		c.simulate(c.actions())
	})
}

// simulate runs random actions and checks the invariants after each; then it ends all faults.
func (c *cluster) simulate(actions []func()) {
	const steps = 300
	for range steps {
		actions[c.r.IntN(len(actions))]()
		c.check()
	}
	if len(c.leaders) == 0 {
		c.t.Skip("no leader in this run")
	}
	c.settle()
}

// Checks that a member that lost its disk, and so has a new incarnation, ignores messages
// to its previous incarnation and does not vote.
func TestLostDiskDoesNotVote(t *testing.T) {
	members := &wire.Members{Members: []*wire.Member{
		{Id: "k0", Incarnation: "0"}, {Id: "k1", Incarnation: "0"}, {Id: "k2", Incarnation: "0"},
	}}
	replacement := NewCore(Config{Group: "g", ID: "k2", Incarnation: "1", HeartbeatInterval: testHeartbeatInterval, ElectionTimeout: testElectionTimeout, Rand: func(int64) int64 { return 0 }},
		&wire.HardState{}, &wire.Snapshot{Members: members}, nil, 0)
	tests := []struct {
		name string
		m    *wire.RaftMessage
	}{
		{"vote request to the previous incarnation", &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_VOTE, ToIncarnation: "0", Term: 1}},
		{"vote request to the new incarnation", &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_VOTE, ToIncarnation: "1", Term: 1}},
		{"pre-vote", &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_PRE_VOTE, ToIncarnation: "1", Term: 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.m.Group, tt.m.From, tt.m.FromIncarnation, tt.m.To = "g", "k0", "0", "k2"
			replacement.Step(10*testElectionTimeout, tt.m)
			for _, r := range replacement.Ready().MessagesAfterSync {
				if !r.GetReject() {
					t.Errorf("granted: %v", r)
				}
			}
		})
	}
	replacement.Tick(100 * testElectionTimeout)
	if replacement.role != Follower {
		t.Errorf("campaigns although it is not a voter: role %v", replacement.role)
	}
}
