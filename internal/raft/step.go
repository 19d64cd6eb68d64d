package raft

import (
	"time"

	"sumachead/api/wire"
)

// Step takes in one message.
func (c *Core) Step(now time.Duration, m *wire.RaftMessage) {
	c.now = now
	if c.stepPoll(m) || !c.acceptable(m) {
		return
	}
	if m.GetTerm() > c.term && !c.seeHigherTerm(m) {
		return
	}
	if m.GetTerm() < c.term {
		c.answerStale(m)
		return
	}
	switch m.GetKind() {
	case wire.RaftKind_RAFT_KIND_PRE_VOTE:
		c.onPreVote(m)
	case wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		c.onPreVoteReply(m)
	case wire.RaftKind_RAFT_KIND_VOTE:
		c.onVote(m)
	case wire.RaftKind_RAFT_KIND_VOTE_REPLY:
		c.onVoteReply(m)
	case wire.RaftKind_RAFT_KIND_APPEND:
		c.onAppend(m)
	case wire.RaftKind_RAFT_KIND_APPEND_REPLY:
		c.onAppendReply(m)
	case wire.RaftKind_RAFT_KIND_SNAPSHOT:
		c.onSnapshot(m)
	case wire.RaftKind_RAFT_KIND_TIMEOUT_NOW:
		c.onTimeoutNow()
	case wire.RaftKind_RAFT_KIND_UNKNOWN, wire.RaftKind_RAFT_KIND_POLL, wire.RaftKind_RAFT_KIND_POLL_REPLY:
		// Of a later release, or dealt with by stepPoll above.
	}
}

// onTimeoutNow campaigns at once: the leader hands its leadership over to this
// member.
func (c *Core) onTimeoutNow() {
	if c.role == Follower {
		c.campaign(true)
	}
}

// acceptable drops messages of other groups, of or for another incarnation.
func (c *Core) acceptable(m *wire.RaftMessage) bool {
	if m.GetGroup() != c.cfg.Group || m.GetTo() != c.cfg.ID {
		return false
	}
	if m.GetToIncarnation() != c.cfg.Incarnation {
		return false
	}
	from := c.member(m.GetFrom())
	return from == nil || from.GetIncarnation() == m.GetFromIncarnation() || fromLeader(m) || c.asksAhead(m)
}

// asksAhead reports a message that asks for a vote and comes from a member whose log is ahead
// of this one's.
func (c *Core) asksAhead(m *wire.RaftMessage) bool {
	k := m.GetKind()
	return (k == wire.RaftKind_RAFT_KIND_PRE_VOTE || k == wire.RaftKind_RAFT_KIND_VOTE) && c.behind(m)
}

// behind reports whether the log of a member that asks for a vote is ahead of this one's, so
// that it may hold changes of the members that this one lacks: the life that asks may have
// become a voter by one of them, and so may this member. Were either held against them, a
// majority of which one lacks the change that is in force would find no leader.
func (c *Core) behind(m *wire.RaftMessage) bool {
	return c.upToDate(m) && (m.GetLogTerm() != c.lastTerm() || m.GetLogIndex() != c.lastIndex())
}

// mayVote reports whether this life of this member has a vote, or whoever asks for it knows
// that better: it asks those that vote by its log.
func (c *Core) mayVote(m *wire.RaftMessage) bool { return c.isVoter(c.cfg.ID) || c.behind(m) }

// fromLeader reports a message that only a leader sends. A member whose own
// configuration is old must still take these in.
func fromLeader(m *wire.RaftMessage) bool {
	k := m.GetKind()
	return k == wire.RaftKind_RAFT_KIND_APPEND || k == wire.RaftKind_RAFT_KIND_SNAPSHOT
}

// sticky reports whether a live leader forbids voting for another.
func (c *Core) sticky() bool {
	if c.role == Leader {
		return c.now-c.quorumAckedAt() <= c.cfg.Election
	}
	return c.now-c.heardAt < c.cfg.Election
}

// seeHigherTerm steps down where the message calls for it; false drops it.
func (c *Core) seeHigherTerm(m *wire.RaftMessage) bool {
	switch m.GetKind() {
	case wire.RaftKind_RAFT_KIND_PRE_VOTE:
		return true // changes no term
	case wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		if !m.GetReject() {
			return true // carries the term of the election to come
		}
	case wire.RaftKind_RAFT_KIND_VOTE:
		if c.sticky() && !m.GetTransfer() {
			return false
		}
	}
	leader := ""
	if fromLeader(m) {
		leader = m.GetFrom()
	}
	c.becomeFollower(m.GetTerm(), leader)
	return true
}

// answerStale tells an old leader or candidate of the newer term.
func (c *Core) answerStale(m *wire.RaftMessage) {
	to := sender(m)
	switch m.GetKind() {
	case wire.RaftKind_RAFT_KIND_APPEND, wire.RaftKind_RAFT_KIND_SNAPSHOT:
		c.sendLate(to, &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, Term: c.term, Reject: true})
	case wire.RaftKind_RAFT_KIND_PRE_VOTE:
		c.sendLate(to, &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, Term: c.term, Reject: true})
	}
}

func sender(m *wire.RaftMessage) *wire.Member {
	return &wire.Member{Id: m.GetFrom(), Incarnation: m.GetFromIncarnation()}
}

// upToDate reports whether the candidate's log holds all that this one does.
func (c *Core) upToDate(m *wire.RaftMessage) bool {
	if m.GetLogTerm() != c.lastTerm() {
		return m.GetLogTerm() > c.lastTerm()
	}
	return m.GetLogIndex() >= c.lastIndex()
}

func (c *Core) onPreVote(m *wire.RaftMessage) {
	grant := m.GetTerm() > c.term && !c.sticky() && c.upToDate(m) && c.mayVote(m)
	term := m.GetTerm()
	if !grant {
		term = c.term
	}
	c.sendLate(sender(m), &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, Term: term, Reject: !grant})
}

func (c *Core) onPreVoteReply(m *wire.RaftMessage) {
	if c.role != PreCandidate || m.GetReject() || m.GetTerm() != c.term+1 {
		return
	}
	c.votes[m.GetFrom()] = true
	c.countVotes()
}

func (c *Core) onVote(m *wire.RaftMessage) {
	grant := (c.vote == "" || c.vote == m.GetFrom()) && c.upToDate(m) && c.mayVote(m)
	if grant {
		c.setTerm(c.term, m.GetFrom())
		c.resetElection()
	}
	c.sendLate(sender(m), &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_VOTE_REPLY, Term: c.term, Reject: !grant})
}

func (c *Core) onVoteReply(m *wire.RaftMessage) {
	if c.role != Candidate || m.GetReject() {
		return
	}
	c.votes[m.GetFrom()] = true
	c.countVotes()
}

// follow notes a live leader of this term.
func (c *Core) follow(m *wire.RaftMessage) {
	c.role, c.leader, c.votes = Follower, m.GetFrom(), nil
	c.heardAt = c.now
	c.poll.idle = nil
	c.resetElection()
}

func (c *Core) onAppend(m *wire.RaftMessage) {
	c.follow(m)
	reply := &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, Term: c.term, Round: m.GetRound()}
	prev := m.GetLogIndex()
	if prev < c.commit {
		// What is committed here is the same at the leader.
		reply.LogIndex = c.commit
		c.sendLate(sender(m), reply)
		return
	}
	if t, ok := c.termAt(prev); !ok || t != m.GetLogTerm() {
		reply.Reject = true
		reply.LogIndex = prev
		reply.Hint = c.hintBefore(prev)
		c.sendLate(sender(m), reply)
		return
	}
	c.store(m.GetEntries())
	last := prev + uint64(len(m.GetEntries()))
	c.commit = max(c.commit, min(m.GetCommit(), last))
	reply.LogIndex = last
	c.sendLate(sender(m), reply)
}

// hintBefore returns the last index at which the logs may still agree.
func (c *Core) hintBefore(prev uint64) uint64 {
	hint := min(prev-1, c.lastIndex())
	t, ok := c.termAt(hint)
	for ok && hint > c.commit {
		before, known := c.termAt(hint - 1)
		if !known || before != t {
			break
		}
		hint--
	}
	return max(hint, c.commit)
}

// store takes entries in, cutting off what conflicts with them.
func (c *Core) store(entries []*wire.LogEntry) {
	for i, e := range entries {
		t, ok := c.termAt(e.GetIndex())
		if ok && t == e.GetTerm() {
			continue
		}
		if ok {
			c.truncate(e.GetIndex())
		}
		c.entries = append(c.entries, entries[i:]...)
		c.refreshMembers()
		return
	}
}

// truncate drops the entries from index on.
func (c *Core) truncate(index uint64) {
	if index <= c.commit {
		panic("raft: a committed entry would be cut off")
	}
	kept := c.slice(c.snapIndex+1, index-1)
	c.entries = append([]*wire.LogEntry(nil), kept...)
	c.unsaved = min(c.unsaved, index)
	c.persisted = min(c.persisted, index-1)
	c.refreshMembers()
}

func (c *Core) onAppendReply(m *wire.RaftMessage) {
	if c.role != Leader {
		return
	}
	p := c.peers[m.GetFrom()]
	if p == nil {
		return
	}
	p.round = max(p.round, m.GetRound())
	p.heardAt = c.now
	if m.GetReject() {
		if m.GetLogIndex() >= p.match {
			p.next = max(min(m.GetHint()+1, c.lastIndex()+1), p.match+1)
			p.probing = true
			c.sendAppend(m.GetFrom(), true)
		}
		return
	}
	p.probing = false
	if m.GetLogIndex() > p.match {
		p.match = m.GetLogIndex()
		p.snapshotAt = 0
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if c.role != Leader {
		return
	}
	c.sendAppend(m.GetFrom(), false)
	if c.transferTo == m.GetFrom() {
		c.sendTimeoutNow()
	}
}

func (c *Core) onSnapshot(m *wire.RaftMessage) {
	c.follow(m)
	s := m.GetSnapshot()
	reply := &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, Term: c.term, Round: m.GetRound()}
	switch t, ok := c.termAt(s.GetIndex()); {
	case s.GetIndex() <= c.commit:
	case ok && t == s.GetTerm():
		// The log holds all of the snapshot, and perhaps entries after it that
		// have been confirmed to the leader: those must stay.
		c.commit = s.GetIndex()
	default:
		c.install(s)
	}
	reply.LogIndex = c.commit
	c.sendLate(sender(m), reply)
}

// install replaces the log by a snapshot.
func (c *Core) install(s *wire.Snapshot) {
	c.snapIndex, c.snapTerm, c.snapMembers = s.GetIndex(), s.GetTerm(), s.GetMembers()
	c.entries = nil
	c.commit, c.applied, c.persisted = s.GetIndex(), s.GetIndex(), s.GetIndex()
	c.unsaved = s.GetIndex() + 1
	c.snapOut = s
	c.refreshMembers()
}
