package raft

import (
	"slices"
	"time"

	"sumachead/api/wire"
)

// sendHeartbeats starts a heartbeat round.
func (c *Core) sendHeartbeats() {
	c.nextHeartbeatAt = c.now + c.cfg.HeartbeatInterval
	c.round++
	c.rounds = append(c.rounds, roundStart{c.round, c.now})
	c.forEachPeer(func(id string) { c.sendAppend(id, true) })
}

// highestQuorumValue returns the highest value that a quorum of the voters has reached:
// own is this member's value, counted only if it is a voter, and peerValue returns that of a
// peer. Without voters it returns 0.
func (c *Core) highestQuorumValue(own uint64, peerValue func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(c.peers)+1)
	for _, m := range c.voters() {
		if m.GetId() == c.cfg.ID {
			if !c.isVoter(c.cfg.ID) {
				own = 0 // the voter is a previous incarnation, whose disk is lost
			}
			values = append(values, own)
			continue
		}
		values = append(values, peerValue(c.peers[m.GetId()]))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}

// quorumAckedAt returns the start time of the latest round that a quorum acknowledged.
func (c *Core) quorumAckedAt() time.Duration {
	round := c.highestQuorumValue(c.round, func(p *progress) uint64 { return p.round })
	for len(c.rounds) > 0 && c.rounds[0].round <= round {
		c.quorumAt = c.rounds[0].at
		c.rounds = c.rounds[1:]
	}
	if c.quorum() == 1 && c.isVoter(c.cfg.ID) {
		c.quorumAt = c.now
	}
	return c.quorumAt
}

// LeaseValid reports whether this member is the leader, has committed an entry in its
// term, and no other leader can have been elected by now. A leader that is not a voter has
// no lease, since the other members' polls do not reach it (see nonvoter.go).
func (c *Core) LeaseValid(now time.Duration) bool {
	if c.role != Leader || c.transferTo != "" || c.interim || !c.isVoter(c.cfg.ID) {
		return false
	}
	if t, _ := c.termAt(c.commit); t != c.term {
		return false
	}
	lease := c.cfg.ElectionTimeout * leasePercent / 100
	return now < c.quorumAckedAt()+lease
}

// trackPeers creates a progress for each new peer and deletes those of removed ones.
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

// Propose appends commands to the log and returns the index of the first; ok is false
// if this member is not the leader or is transferring its leadership.
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

// forEachPeer calls f for each member except this one, always in the same order.
func (c *Core) forEachPeer(f func(id string)) {
	for _, m := range c.members.GetMembers() {
		if c.peers[m.GetId()] != nil {
			f(m.GetId())
		}
	}
}

func (c *Core) broadcast() {
	c.forEachPeer(func(id string) { c.sendAppend(id, false) })
	c.advanceCommit()
}

func (c *Core) setHeader(to *wire.Member, m *wire.RaftMessage) *wire.RaftMessage {
	m.Group = c.cfg.Group
	m.From, m.FromIncarnation = c.cfg.ID, c.cfg.Incarnation
	m.To, m.ToIncarnation = to.GetId(), to.GetIncarnation()
	return m
}

func (c *Core) sendAfterSync(to *wire.Member, m *wire.RaftMessage) {
	c.messagesAfterSync = append(c.messagesAfterSync, c.setHeader(to, m))
}

// sendAppend sends the entries that a peer lacks. If there are none, it sends an empty
// message only if force is set.
func (c *Core) sendAppend(id string, force bool) {
	p := c.peers[id]
	if p.next <= c.snapIndex {
		c.sendSnapshot(id, p)
		return
	}
	last := c.lastIndex()
	if p.probing {
		last = p.next - 1 // send an empty message first to confirm next
	}
	last = min(last, p.match+maxInflightEntries)
	entries := limitAppendBytes(c.slice(p.next, last))
	if len(entries) == 0 && !force {
		return
	}
	prev := p.next - 1
	prevTerm, _ := c.termAt(prev)
	c.replicationMessages = append(c.replicationMessages, c.setHeader(c.member(id), &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_APPEND, Term: c.term,
		LogIndex: prev, LogTerm: prevTerm, Entries: entries,
		Commit: c.commit, Round: c.round,
	}))
	p.next += uint64(len(entries))
}

func limitAppendBytes(entries []*wire.LogEntry) []*wire.LogEntry {
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
	if p.snapshotAt != 0 && c.now < p.snapshotAt+c.cfg.ElectionTimeout {
		return
	}
	s := c.cfg.Snapshot()
	if s == nil {
		return
	}
	p.snapshotAt = c.now
	c.replicationMessages = append(c.replicationMessages, c.setHeader(c.member(id), &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_SNAPSHOT, Term: c.term, Snapshot: s, Round: c.round,
	}))
}

// advanceCommit commits the entries that a quorum has persisted, provided that the last one
// is of the current term.
func (c *Core) advanceCommit() {
	n := c.highestQuorumValue(c.persisted, func(p *progress) uint64 { return p.match })
	if t, ok := c.termAt(n); !ok || t != c.term || n <= c.commit {
		return
	}
	c.commit = n
	if c.interim {
		c.handOver()
		return
	}
	self := &wire.Member{Id: c.cfg.ID, Incarnation: c.cfg.Incarnation}
	if !IsMember(c.members.GetMembers(), self) && c.memberIndex <= c.commit {
		c.becomeFollower(c.term, "") // this member has been removed or replaced by a new incarnation
	}
}
