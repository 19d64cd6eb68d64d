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
	testHeartbeat = 10 * time.Millisecond
	testElection  = 100 * time.Millisecond
)

// host is one simulated member: a core and what is on its disk.
type host struct {
	id          string
	incarnation int
	core        *Core
	up          bool
	disk        disk
	// applied are the commands applied since the disk was first used, by index.
	applied map[uint64]string
}

type disk struct {
	state   *wire.HardState
	snap    *wire.Snapshot
	entries []*wire.LogEntry
}

// cluster is a simulated group. Its network delivers, drops, doubles and
// reorders; its hosts crash between any two steps.
type cluster struct {
	t *rapid.T
	// r decides everything: rapid's own draws favour small numbers, with which
	// hosts crash so often that hardly a leader is elected.
	r       *rand.Rand
	now     time.Duration
	hosts   []*host
	net     []*wire.RaftMessage
	cut     map[string]bool
	leaders map[uint64]string
	// chosen is the command that was ever applied at an index.
	chosen   map[uint64]string
	proposed int
	// lost is the host whose disk was lost, until its new life votes; nil for none.
	lost *host
}

func newCluster(t *rapid.T, n int) *cluster {
	seed := rapid.Uint64().Draw(t, "seed")
	c := &cluster{t: t, r: rand.New(rand.NewPCG(seed, seed)), cut: make(map[string]bool), leaders: make(map[uint64]string), chosen: make(map[uint64]string)}
	founders := &wire.Members{}
	for i := range n {
		founders.Members = append(founders.Members, &wire.Member{Id: fmt.Sprintf("k%d", i), Incarnation: "0"})
	}
	for i := range n {
		h := &host{id: fmt.Sprintf("k%d", i), disk: disk{state: &wire.HardState{}, snap: &wire.Snapshot{Members: founders}}}
		h.applied = make(map[uint64]string)
		c.hosts = append(c.hosts, h)
		c.boot(h)
	}
	return c
}

func (c *cluster) boot(h *host) {
	cfg := Config{
		Group: "g", ID: h.id, Incarnation: fmt.Sprint(h.incarnation), Heartbeat: testHeartbeat, Election: testElection,
		Rand:     c.r.Int64N,
		Snapshot: func() *wire.Snapshot { return h.disk.snap },
	}
	h.core = NewCore(cfg, h.disk.state, h.disk.snap, slices.Clone(h.disk.entries), c.now)
	h.up = true
}

// process carries out what a core wants; crash ends it after that many steps.
func (c *cluster) process(h *host, crash int) {
	for {
		r := h.core.Ready()
		if r.empty() {
			return
		}
		if r.State == nil {
			c.net = append(c.net, r.Early...)
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
			c.net = append(c.net, r.Early...)
		}
		c.net = append(c.net, r.Late...)
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

// apply checks that no two hosts ever apply different commands at an index.
func (c *cluster) apply(h *host, entries []*wire.LogEntry) {
	for _, e := range entries {
		v := e.GetKind().String() + string(e.GetData())
		if have, ok := c.chosen[e.GetIndex()]; ok && have != v {
			c.t.Fatalf("%s applies %q at %d, where %q was applied before", h.id, v, e.GetIndex(), have)
		}
		c.chosen[e.GetIndex()] = v
		h.applied[e.GetIndex()] = v
	}
}

// crashPoint draws where a step crashes: seldom, or nothing would ever be
// chosen.
func (c *cluster) crashPoint() int {
	if n := c.r.IntN(120); n < 2 {
		return n
	}
	return -1
}

func (c *cluster) pick() *host { return c.hosts[c.r.IntN(len(c.hosts))] }

func (c *cluster) find(id string) *host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliver takes one message off the network.
func (c *cluster) deliver(i int, again bool) {
	m := c.net[i]
	if !again {
		c.net = slices.Delete(c.net, i, i+1)
	}
	h := c.find(m.GetTo())
	if h == nil || !h.up || c.cut[m.GetFrom()+m.GetTo()] {
		return
	}
	h.core.Step(c.now, proto.CloneOf(m))
	c.process(h, c.crashPoint())
}

// check verifies what must hold at all times.
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

// checkReads verifies that a leader with a lease knows of all that was applied
// anywhere: reads at it are linearizable.
func (c *cluster) checkReads(h *host) {
	for index := range c.chosen {
		if index > h.core.commit {
			c.t.Fatalf("%s would answer reads without entry %d, which was applied (its commit is %d)", h.id, index, h.core.commit)
		}
	}
}

// actions lists what may happen next; one that stands twice happens more often.
func (c *cluster) actions() []func() {
	return []func(){
		c.round, c.round, c.round, c.round, c.elect, c.exchange, c.propose, c.propose, c.propose,
		c.isolate, c.heal, c.heal, c.heal, c.cutOne, c.double, c.drop, c.tick, c.deliverSome,
		func() { c.restart(c.pick()) }, func() { c.restart(c.pick()) }, func() { c.crash(c.pick()) },
		func() { c.compact(c.pick()) }, c.transfer, c.restartAll, c.tellRefused, c.tellRefused,
	}
}

// restartAll crashes all hosts at once, and starts them again.
func (c *cluster) restartAll() {
	for _, h := range c.hosts {
		c.crash(h)
	}
	for _, h := range c.hosts {
		c.restart(h)
	}
}

// tellRefused tells one host that another one refuses connections, whether or not
// that one runs: a firewall does the same.
func (c *cluster) tellRefused() {
	if h := c.pick(); h.up {
		h.core.PeerRefused(c.now, c.pick().id)
		c.process(h, c.crashPoint())
	}
}

func (c *cluster) isolate() {
	h := c.pick()
	for _, o := range c.hosts {
		c.cut[h.id+o.id], c.cut[o.id+h.id] = true, true
	}
}

func (c *cluster) heal() { c.cut = make(map[string]bool) }

func (c *cluster) cutOne() {
	a, b := c.pick(), c.pick()
	c.cut[a.id+b.id] = true // one way only
}

func (c *cluster) double() {
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
	c.now += time.Duration(c.r.Int64N(int64(testElection)))
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
	h := c.pick()
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
	if h := c.pick(); h.up {
		h.core.Transfer()
		c.process(h, -1)
	}
}

// exchange delivers what is on the way, and the answers to it, but for some.
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

// round lets a heartbeat's time pass and delivers.
func (c *cluster) round() {
	c.now += testHeartbeat
	for _, h := range c.hosts {
		if h.up {
			h.core.Tick(c.now)
			c.process(h, -1)
		}
	}
	c.exchange()
}

// elect lets one host campaign, once the others have forgotten their leader.
func (c *cluster) elect() {
	h := c.pick()
	if !h.up {
		return
	}
	c.now += 2 * testElection
	h.core.Tick(c.now)
	c.process(h, -1)
	c.exchange()
}

func (c *cluster) restart(h *host) {
	if !h.up {
		c.boot(h)
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
	h.disk.snap, h.disk.entries = snap, slices.Clone(h.core.slice(index+1, h.core.unsaved-1))
}

// settle heals everything and checks that the group makes progress.
func (c *cluster) settle() {
	c.cut = make(map[string]bool)
	for _, h := range c.hosts {
		c.restart(h)
	}
	before := len(c.chosen)
	for range 400 {
		c.now += testHeartbeat
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
	if len(c.chosen) <= before {
		c.t.Fatalf("no progress after everything healed")
	}
	commit := c.hosts[0].core.commit
	for _, h := range c.hosts {
		if h.core.commit+50 < commit {
			c.t.Fatalf("%s stays behind: %d of %d", h.id, h.core.commit, commit)
		}
	}
}

func TestCoreIsSafeUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts"))
		c.play(c.actions())
	})
}

// play takes actions at random and checks after each; then all is healed.
func (c *cluster) play(actions []func()) {
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

// A member that lost its disk is another incarnation: messages for its old self
// do not reach it, and it does not vote in the old one's name.
func TestLostDiskDoesNotVote(t *testing.T) {
	members := &wire.Members{Members: []*wire.Member{
		{Id: "k0", Incarnation: "0"}, {Id: "k1", Incarnation: "0"}, {Id: "k2", Incarnation: "0"},
	}}
	reborn := NewCore(Config{Group: "g", ID: "k2", Incarnation: "1", Heartbeat: testHeartbeat, Election: testElection, Rand: func(int64) int64 { return 0 }},
		&wire.HardState{}, &wire.Snapshot{Members: members}, nil, 0)
	tests := []struct {
		name string
		m    *wire.RaftMessage
	}{
		{"vote for the old self", &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_VOTE, ToIncarnation: "0", Term: 1}},
		{"vote for the new self", &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_VOTE, ToIncarnation: "1", Term: 1}},
		{"pre-vote", &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_PRE_VOTE, ToIncarnation: "1", Term: 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.m.Group, tt.m.From, tt.m.FromIncarnation, tt.m.To = "g", "k0", "0", "k2"
			reborn.Step(10*testElection, tt.m)
			for _, r := range reborn.Ready().Late {
				if !r.GetReject() {
					t.Errorf("granted: %v", r)
				}
			}
		})
	}
	reborn.Tick(100 * testElection)
	if reborn.role != Follower {
		t.Errorf("campaigns without a vote: role %v", reborn.role)
	}
}
