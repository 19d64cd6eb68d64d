package raft

import (
	"time"

	"sumachead/api/wire"
)

// Step handles one message.
func (c *Core) Step(now time.Duration, m *wire.RaftMessage) {
	c.now = now
	if c.stepPoll(m) || !c.acceptable(m) {
		return
	}
	if m.GetTerm() > c.term && !c.handleHigherTerm(m) {
		return
	}
	if m.GetTerm() < c.term {
		c.rejectStale(m)
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
		// UNKNOWN is a kind of a later release; stepPoll has handled polls.
	}
}

// onTimeoutNow campaigns immediately, because the leader transfers its leadership
// to this member.
func (c *Core) onTimeoutNow() {
	if c.role == Follower {
		c.campaign(true)
	}
}

// acceptable reports whether a message belongs to this group, is addressed to this incarnation,
// and comes from the incarnation in this member's configuration. The last condition does not
// apply to messages that only a leader sends and to vote requests from members whose log is
// ahead, since they may know a later configuration.
func (c *Core) acceptable(m *wire.RaftMessage) bool {
	if m.GetGroup() != c.cfg.Group || m.GetTo() != c.cfg.ID {
		return false
	}
	if m.GetToIncarnation() != c.cfg.Incarnation {
		return false
	}
	from := c.member(m.GetFrom())
	return from == nil || from.GetIncarnation() == m.GetFromIncarnation() || fromLeader(m) || c.isVoteRequestFromAhead(m)
}

// isVoteRequestFromAhead reports whether a message requests a vote or pre-vote and comes from
// a member whose log is ahead of this one's.
func (c *Core) isVoteRequestFromAhead(m *wire.RaftMessage) bool {
	k := m.GetKind()
	return (k == wire.RaftKind_RAFT_KIND_PRE_VOTE || k == wire.RaftKind_RAFT_KIND_VOTE) && c.isBehind(m)
}

// isBehind reports whether the candidate's log is ahead of this one's. It may then contain
// membership changes that this log lacks, by which the candidate's incarnation or this member
// became a voter. Rejecting the request for either reason would leave a majority without a
// leader if one of its members lacks the latest change.
func (c *Core) isBehind(m *wire.RaftMessage) bool {
	return c.upToDate(m) && (m.GetLogTerm() != c.lastTerm() || m.GetLogIndex() != c.lastIndex())
}

// canVote reports whether this incarnation is a voter, either by its own log or because the
// candidate's log is ahead: a candidate requests votes only from the voters in its own log.
func (c *Core) canVote(m *wire.RaftMessage) bool { return c.isVoter(c.cfg.ID) || c.isBehind(m) }

// fromLeader reports whether only a leader sends this kind of message. A member must
// accept it even if its own configuration is outdated, or lists a previous incarnation of the
// leader.
func fromLeader(m *wire.RaftMessage) bool {
	k := m.GetKind()
	return k == wire.RaftKind_RAFT_KIND_APPEND || k == wire.RaftKind_RAFT_KIND_SNAPSHOT || k == wire.RaftKind_RAFT_KIND_TIMEOUT_NOW
}

// hasLiveLeader reports whether this member must not vote because a leader is alive (leader
// stickiness).
func (c *Core) hasLiveLeader() bool {
	if c.role == Leader {
		return c.now-c.quorumAckedAt() <= c.cfg.ElectionTimeout
	}
	return c.now-c.heardAt < c.cfg.ElectionTimeout
}

// handleHigherTerm handles a message with a higher term and steps down if the message
// requires it; false means that the message is dropped.
func (c *Core) handleHigherTerm(m *wire.RaftMessage) bool {
	switch m.GetKind() {
	case wire.RaftKind_RAFT_KIND_PRE_VOTE:
		return true // a pre-vote does not change the term
	case wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		if !m.GetReject() {
			return true // carries the term of the upcoming election
		}
	case wire.RaftKind_RAFT_KIND_VOTE:
		if c.hasLiveLeader() && !m.GetTransfer() {
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

// rejectStale informs an outdated leader or candidate of the current term.
func (c *Core) rejectStale(m *wire.RaftMessage) {
	to := sender(m)
	switch m.GetKind() {
	case wire.RaftKind_RAFT_KIND_APPEND, wire.RaftKind_RAFT_KIND_SNAPSHOT:
		c.sendAfterSync(to, &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, Term: c.term, Reject: true})
	case wire.RaftKind_RAFT_KIND_PRE_VOTE:
		c.sendAfterSync(to, &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, Term: c.term, Reject: true})
	}
}

func sender(m *wire.RaftMessage) *wire.Member {
	return &wire.Member{Id: m.GetFrom(), Incarnation: m.GetFromIncarnation()}
}

// upToDate reports whether the candidate's log is at least as up to date as this one.
func (c *Core) upToDate(m *wire.RaftMessage) bool {
	if m.GetLogTerm() != c.lastTerm() {
		return m.GetLogTerm() > c.lastTerm()
	}
	return m.GetLogIndex() >= c.lastIndex()
}

func (c *Core) onPreVote(m *wire.RaftMessage) {
	eligible := m.GetTerm() > c.term && !c.hasLiveLeader()
	grant := eligible && c.upToDate(m) && c.canVote(m)
	term := m.GetTerm()
	if !grant {
		term = c.term
	}
	c.sendAfterSync(sender(m), &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, Term: term, Reject: !grant})
	if eligible {
		c.campaignIfAhead(m)
	}
}

func (c *Core) onPreVoteReply(m *wire.RaftMessage) {
	if c.role != PreCandidate || m.GetReject() || m.GetTerm() != c.term+1 {
		return
	}
	c.votes[m.GetFrom()] = true
	c.countVotes()
}

func (c *Core) onVote(m *wire.RaftMessage) {
	eligible := c.vote == "" || c.vote == m.GetFrom()
	grant := eligible && c.upToDate(m) && c.canVote(m)
	if grant {
		c.setTerm(c.term, m.GetFrom())
		c.resetElection()
	}
	c.sendAfterSync(sender(m), &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_VOTE_REPLY, Term: c.term, Reject: !grant})
	if eligible {
		c.campaignIfAhead(m)
	}
}

func (c *Core) onVoteReply(m *wire.RaftMessage) {
	if c.role != Candidate || m.GetReject() {
		return
	}
	c.votes[m.GetFrom()] = true
	c.countVotes()
}

// followLeader makes this member a follower of the sender, the leader of this term.
func (c *Core) followLeader(m *wire.RaftMessage) {
	c.role, c.leader, c.votes = Follower, m.GetFrom(), nil
	c.heardAt = c.now
	c.poll.leaderless = nil
	c.resetElection()
}

func (c *Core) onAppend(m *wire.RaftMessage) {
	c.followLeader(m)
	reply := &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, Term: c.term, Round: m.GetRound()}
	prev := m.GetLogIndex()
	if prev < c.commit {
		// The leader's log agrees with this one up to the commit index.
		reply.LogIndex = c.commit
		c.sendAfterSync(sender(m), reply)
		return
	}
	if t, ok := c.termAt(prev); !ok || t != m.GetLogTerm() {
		reply.Reject = true
		reply.LogIndex = prev
		reply.Hint = c.conflictHint(prev)
		c.sendAfterSync(sender(m), reply)
		return
	}
	c.mergeEntries(m.GetEntries())
	last := prev + uint64(len(m.GetEntries()))
	c.commit = max(c.commit, min(m.GetCommit(), last))
	reply.LogIndex = last
	c.sendAfterSync(sender(m), reply)
}

// conflictHint returns the last index before prev at which the logs may still agree. It skips
// all entries of a conflicting term at once.
func (c *Core) conflictHint(prev uint64) uint64 {
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

// mergeEntries appends the entries that the log lacks and truncates conflicting ones.
func (c *Core) mergeEntries(entries []*wire.LogEntry) {
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

// truncate drops the entries from index onwards.
func (c *Core) truncate(index uint64) {
	if index <= c.commit {
		panic("raft: truncation would drop a committed entry")
	}
	kept := c.slice(c.snapIndex+1, index-1)
	c.entries = append([]*wire.LogEntry(nil), kept...)
	c.firstUnsaved = min(c.firstUnsaved, index)
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
	c.followLeader(m)
	s := m.GetSnapshot()
	reply := &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, Term: c.term, Round: m.GetRound()}
	switch t, ok := c.termAt(s.GetIndex()); {
	case s.GetIndex() <= c.commit:
	case ok && t == s.GetTerm():
		// The log already contains the snapshot's last entry. It may also contain later
		// entries that were acknowledged to the leader; those must not be dropped.
		c.commit = s.GetIndex()
	default:
		c.installSnapshot(s)
	}
	reply.LogIndex = c.commit
	c.sendAfterSync(sender(m), reply)
}

// installSnapshot replaces the log with a snapshot.
func (c *Core) installSnapshot(s *wire.Snapshot) {
	c.snapIndex, c.snapTerm, c.snapMembers = s.GetIndex(), s.GetTerm(), s.GetMembers()
	c.entries = nil
	c.commit, c.applied, c.persisted = s.GetIndex(), s.GetIndex(), s.GetIndex()
	c.firstUnsaved = s.GetIndex() + 1
	c.snapToInstall = s
	c.refreshMembers()
}
