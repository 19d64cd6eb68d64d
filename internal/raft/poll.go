package raft

import (
	"time"

	"sumachead/api/wire"
)

// A member that has just started must neither vote nor campaign for an election
// timeout, because before the restart it may have acknowledged a leader's lease. If
// all members restarted together, that wait alone delays the election. A poll avoids
// it: if every other voter replies, in the same round and in this member's term, that
// it is not a leader and has none, then no leader holds a lease, and none can acquire
// one without an election in a later term. The voter with the most complete log then
// campaigns immediately.
//
// A voter that was replaced by an incarnation with an empty disk cannot be the leader
// either, but it has no vote. If the remaining voters are no majority, nobody campaigns:
// each election would raise the term, which invalidates the polls of members that know of
// a majority by a later membership change. A voter that does not reply may be the leader;
// the members then wait for the election timeout.

// pollsPerElectionTimeout sets the interval between polls as a fraction of the election
// timeout, so that several polls fit into the wait that they avoid. Polling continues
// while there is no leader, so that the last voter to restart ends the wait.
const pollsPerElectionTimeout = 20

// poll is what a member without a known leader has learned about the other voters.
type poll struct {
	// nextAt is when the next round starts.
	nextAt time.Duration
	// round is the number of the current round; replies to earlier rounds are ignored.
	round uint64
	// leaderless contains the voters that in this round reported no leader, and whether
	// they still have a vote. It is nil if no round is in progress.
	leaderless map[string]bool
	// outranked is set if another voter has priority to campaign in this round.
	outranked bool
}

// startPolling schedules the next round immediately, so that the last voter to restart
// ends the wait of all others.
func (c *Core) startPolling() {
	c.poll.nextAt, c.poll.leaderless = c.now, nil
}

// forgetLeader makes this member a follower without a leader and starts polling.
func (c *Core) forgetLeader() {
	c.leader = ""
	c.startPolling()
}

// pollJitter returns a random delay that keeps members that started together from
// polling each other simultaneously.
func (c *Core) pollJitter() time.Duration {
	return time.Duration(c.cfg.Rand(int64(c.cfg.ElectionTimeout / pollsPerElectionTimeout)))
}

// tickPoll starts a poll round when one is due.
func (c *Core) tickPoll() {
	if c.role == Leader || c.leader != "" || c.now < c.poll.nextAt || !c.isVoter(c.cfg.ID) {
		return
	}
	c.poll.nextAt = c.now + c.cfg.ElectionTimeout/pollsPerElectionTimeout + c.pollJitter()
	c.poll.round++
	c.poll.leaderless, c.poll.outranked = make(map[string]bool), false
	for _, m := range c.voters() {
		if m.GetId() != c.cfg.ID {
			c.sendAfterSync(m, &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_POLL, Term: c.term, Round: c.poll.round})
		}
	}
}

// stepPoll handles polls and their replies; it returns false for other messages.
// The checks of incarnations and terms in Step do not apply to them: a poll is meant for
// any incarnation that runs at the address, in any term.
func (c *Core) stepPoll(m *wire.RaftMessage) bool {
	switch m.GetKind() {
	case wire.RaftKind_RAFT_KIND_POLL:
		if m.GetGroup() == c.cfg.Group && m.GetTo() == c.cfg.ID {
			c.onPoll(m)
		}
	case wire.RaftKind_RAFT_KIND_POLL_REPLY:
		if m.GetGroup() == c.cfg.Group && m.GetTo() == c.cfg.ID && m.GetToIncarnation() == c.cfg.Incarnation {
			c.onPollReply(m)
		}
	default:
		return false
	}
	return true
}

// onPoll replies to a poll with this member's term and the end of its log, from which the
// sender determines who campaigns. A first round shows that the sender has
// just started; it may be the one whose reply this member's own polls lacked, so this
// member polls again at once. A poll from the leader that this member follows shows that it
// no longer leads: heartbeats that it sent before a network partition may arrive after the
// partition has healed, and would delay the next election.
func (c *Core) onPoll(m *wire.RaftMessage) {
	if m.GetRound() == 1 {
		c.poll.nextAt = min(c.poll.nextAt, c.now)
	}
	if c.role != Leader && c.leader == m.GetFrom() && m.GetTerm() >= c.term {
		c.forgetLeader()
	}
	c.sendAfterSync(sender(m), &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_POLL_REPLY, Term: c.term, Round: m.GetRound(),
		Reject: c.role == Leader || c.leader != "", LogIndex: c.lastIndex(), LogTerm: c.lastTerm(),
	})
}

// onPollReply handles a reply in the current round. A reply with a later term updates
// this member's term and ends the round.
func (c *Core) onPollReply(m *wire.RaftMessage) {
	if c.poll.leaderless == nil || m.GetRound() != c.poll.round {
		return
	}
	replaced := c.member(m.GetFrom()).GetIncarnation() != m.GetFromIncarnation()
	switch {
	case m.GetReject():
		c.poll.leaderless = nil // there may be a leader: the round has no result
		return
	case replaced:
		// The previous incarnation lost its vote permanently.
	case m.GetTerm() > c.term:
		c.becomeFollower(m.GetTerm(), "")
		return
	case !c.outranks(m):
		c.poll.outranked = true
	}
	c.recordLeaderless(m.GetFrom(), !replaced)
}

// outranks reports whether this member has priority to campaign over the sender of the
// reply: the more complete log wins, then the lower id.
func (c *Core) outranks(m *wire.RaftMessage) bool {
	if m.GetLogTerm() != c.lastTerm() {
		return m.GetLogTerm() < c.lastTerm()
	}
	if m.GetLogIndex() != c.lastIndex() {
		return m.GetLogIndex() < c.lastIndex()
	}
	return c.cfg.ID < m.GetFrom()
}

// recordLeaderless records that a voter has no leader, and whether it has a vote. This member
// campaigns once all voters have no leader and a quorum has a vote, unless it is outranked.
func (c *Core) recordLeaderless(id string, hasVote bool) {
	if c.poll.leaderless == nil {
		return
	}
	c.poll.leaderless[id] = hasVote
	available := 1
	for _, m := range c.voters() {
		if m.GetId() == c.cfg.ID {
			continue
		}
		v, ok := c.poll.leaderless[m.GetId()]
		if !ok {
			return
		}
		if v {
			available++
		}
	}
	if !c.poll.outranked && available >= c.quorum() {
		c.poll.leaderless = nil
		c.leader = ""
		c.startElection(true)
	}
}

// ReportConnectionRefused reports that a member's address refuses connections. This is
// only a hint, since a firewall may refuse them while the member runs. A follower of
// that member starts polling; only replies to the poll, including one from the restarted
// member, lead to an election.
func (c *Core) ReportConnectionRefused(now time.Duration, id string) {
	c.now = now
	if c.role == Leader || c.leader != id {
		return
	}
	c.forgetLeader()
}
