package raft

import (
	"slices"
	"time"

	"sumachead/api/wire"
)

// beat starts a heartbeat round.
func (c *Core) beat() {
	c.heartbeatAt = c.now + c.cfg.Heartbeat
	c.round++
	c.rounds = append(c.rounds, roundStart{c.round, c.now})
	c.eachPeer(func(id string) { c.sendAppend(id, true) })
}

// reached returns the highest value that a quorum of the voters has reached:
// own is this member's, of that of a peer. Without voters it is 0.
func (c *Core) reached(own uint64, of func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(c.peers)+1)
	for _, m := range c.voters() {
		if m.GetId() == c.cfg.ID {
			values = append(values, own)
			continue
		}
		values = append(values, of(c.peers[m.GetId()]))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}

// quorumAckedAt returns when the newest round that a quorum answered began.
func (c *Core) quorumAckedAt() time.Duration {
	round := c.reached(c.round, func(p *progress) uint64 { return p.round })
	for len(c.rounds) > 0 && c.rounds[0].round <= round {
		c.quorumAt = c.rounds[0].at
		c.rounds = c.rounds[1:]
	}
	if len(c.peers) == 0 || c.quorum() == 1 {
		c.quorumAt = c.now
	}
	return c.quorumAt
}

// LeaseValid reports whether this member is leader, has committed in its term,
// and no other leader can have been elected by now.
func (c *Core) LeaseValid(now time.Duration) bool {
	if c.role != Leader || c.transferTo != "" {
		return false
	}
	if t, _ := c.termAt(c.commit); t != c.term {
		return false
	}
	lease := c.cfg.Election * leaseFraction / 100
	return now < c.quorumAckedAt()+lease
}

// trackPeers keeps one progress for each member but this one.
func (c *Core) trackPeers() {
	for _, m := range c.members.GetMembers() {
		if m.GetId() != c.cfg.ID && c.peers[m.GetId()] == nil {
			c.peers[m.GetId()] = &progress{next: c.lastIndex() + 1, probing: true}
		}
	}
	for id := range c.peers {
		if c.member(id) == nil {
			delete(c.peers, id)
		}
	}
}

func (c *Core) append(kind wire.EntryKind, data []byte) uint64 {
	e := &wire.LogEntry{Index: c.lastIndex() + 1, Term: c.term, Kind: kind, Data: data}
	c.entries = append(c.entries, e)
	if kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
		c.refreshMembers()
	}
	return e.GetIndex()
}

// Propose appends commands at a leader and returns the index of the first; ok
// is false when this member does not lead.
func (c *Core) Propose(commands [][]byte) (first uint64, ok bool) {
	if c.role != Leader || c.transferTo != "" {
		return 0, false
	}
	first = c.lastIndex() + 1
	for _, d := range commands {
		c.append(wire.EntryKind_ENTRY_KIND_COMMAND, d)
	}
	c.broadcast()
	return first, true
}

// eachPeer calls f for each member but this one, always in the same order.
func (c *Core) eachPeer(f func(id string)) {
	for _, m := range c.members.GetMembers() {
		if c.peers[m.GetId()] != nil {
			f(m.GetId())
		}
	}
}

func (c *Core) broadcast() {
	c.eachPeer(func(id string) { c.sendAppend(id, false) })
	c.advanceCommit()
}

func (c *Core) fill(to *wire.Member, m *wire.RaftMessage) *wire.RaftMessage {
	m.Group = c.cfg.Group
	m.From, m.FromIncarnation = c.cfg.ID, c.cfg.Incarnation
	m.To, m.ToIncarnation = to.GetId(), to.GetIncarnation()
	return m
}

func (c *Core) sendLate(to *wire.Member, m *wire.RaftMessage) {
	c.late = append(c.late, c.fill(to, m))
}

// sendAppend sends what a peer lacks; an empty message only when force is set.
func (c *Core) sendAppend(id string, force bool) {
	p := c.peers[id]
	if p.next <= c.snapIndex {
		c.sendSnapshot(id, p)
		return
	}
	last := c.lastIndex()
	if p.probing {
		last = p.next - 1 // confirm next with an empty message first
	}
	last = min(last, p.match+maxInflight)
	entries := limitBytes(c.slice(p.next, last))
	if len(entries) == 0 && !force {
		return
	}
	prev := p.next - 1
	prevTerm, _ := c.termAt(prev)
	c.early = append(c.early, c.fill(c.member(id), &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_APPEND, Term: c.term,
		LogIndex: prev, LogTerm: prevTerm, Entries: entries,
		Commit: c.commit, Round: c.round,
	}))
	p.next += uint64(len(entries))
}

func limitBytes(entries []*wire.LogEntry) []*wire.LogEntry {
	size := 0
	for i, e := range entries {
		size += len(e.GetData())
		if size > maxAppendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (c *Core) sendSnapshot(id string, p *progress) {
	if p.snapshotAt != 0 && c.now < p.snapshotAt+c.cfg.Election {
		return
	}
	s := c.cfg.Snapshot()
	if s == nil {
		return
	}
	p.snapshotAt = c.now
	c.early = append(c.early, c.fill(c.member(id), &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_SNAPSHOT, Term: c.term, Snapshot: s, Round: c.round,
	}))
}

// advanceCommit commits what a quorum has persisted, if it is of this term.
func (c *Core) advanceCommit() {
	n := c.reached(c.persisted, func(p *progress) uint64 { return p.match })
	if t, ok := c.termAt(n); !ok || t != c.term || n <= c.commit {
		return
	}
	c.commit = n
	if c.member(c.cfg.ID) == nil && c.memberIndex <= c.commit {
		c.becomeFollower(c.term, "") // this member has been removed
	}
}
