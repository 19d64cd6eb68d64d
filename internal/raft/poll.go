package raft

import (
	"time"

	"sumachead/api/wire"
)

// A member that has just started must not vote, nor campaign, for an election
// timeout: it may have promised a leader that it has forgotten not to. Where all
// members were killed together that wait is all that keeps the group from having
// a leader. A poll makes it needless: if every other voter answers, in one round
// and in this member's term, that it neither leads nor follows anybody, then no
// leader has a lease, and none can get one without a vote in a later term. The one
// among them whose log is the most advanced campaigns at once.
//
// A voter whose place is taken by a life with an empty disk does not lead either; it
// just has no vote to give. Where so many are gone that those left are no majority, nobody
// campaigns: each election would raise the term, which ends the polls of members that know
// of a majority by a later change. One that does not answer may lead: then the election
// timeout decides.

// pollPart is the part of the election timeout that separates polls: some of them
// fit into the wait that they save. Polling goes on while there is no leader, so
// that the voter that comes back last ends the wait.
const pollPart = 20

// poll is what a member without a leader knows of the other voters.
type poll struct {
	// at is when the next round is due.
	at time.Duration
	// round numbers the rounds, so that a late reply counts for none.
	round uint64
	// idle are the voters that neither lead nor follow, as of this round, and whether
	// they still have a vote; nil while no round is under way.
	idle map[string]bool
	// beaten: in this round another voter is to campaign.
	beaten bool
}

// startPolling makes the next round due at once: the voter that comes back last ends
// the wait of all others.
func (c *Core) startPolling() {
	c.poll.at, c.poll.idle = c.now, nil
}

// unfollow makes this member one that follows nobody, and polls.
func (c *Core) unfollow() {
	c.leader = ""
	c.startPolling()
}

// pollPause draws a time that keeps members which started together from polling
// each other at the same moments.
func (c *Core) pollPause() time.Duration {
	return time.Duration(c.cfg.Rand(int64(c.cfg.Election / pollPart)))
}

// tickPoll begins a round when one is due.
func (c *Core) tickPoll() {
	if c.role == Leader || c.leader != "" || c.now < c.poll.at || !c.isVoter(c.cfg.ID) {
		return
	}
	c.poll.at = c.now + c.cfg.Election/pollPart + c.pollPause()
	c.poll.round++
	c.poll.idle, c.poll.beaten = make(map[string]bool), false
	for _, m := range c.voters() {
		if m.GetId() != c.cfg.ID {
			c.sendLate(m, &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_POLL, Term: c.term, Round: c.poll.round})
		}
	}
}

// stepPoll deals with polls and their replies; false means that the message is
// another one. They go past the rules for incarnations and terms that Step has for
// the others: a poll asks whoever runs at the address, whatever its term is.
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

// onPoll answers a poll. The reply has this member's term, and the end of its log,
// by which the one that polls sees who is to campaign. The first poll of a life tells
// that its voter is back: it may be the one that this member's own polls lacked. A poll
// of the one that this member follows tells that it leads no longer: what it sent before
// it was cut off may arrive after the cut, and would hold up the next election.
func (c *Core) onPoll(m *wire.RaftMessage) {
	if m.GetRound() == 1 {
		c.poll.at = min(c.poll.at, c.now)
	}
	if c.role != Leader && c.leader == m.GetFrom() && m.GetTerm() >= c.term {
		c.unfollow()
	}
	c.sendLate(sender(m), &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_POLL_REPLY, Term: c.term, Round: m.GetRound(),
		Reject: c.role == Leader || c.leader != "", LogIndex: c.lastIndex(), LogTerm: c.lastTerm(),
	})
}

// onPollReply takes in what another voter has answered in the round under way. A
// later term is taken over, and ends the round.
func (c *Core) onPollReply(m *wire.RaftMessage) {
	if c.poll.idle == nil || m.GetRound() != c.poll.round {
		return
	}
	gone := c.member(m.GetFrom()).GetIncarnation() != m.GetFromIncarnation()
	switch {
	case m.GetReject():
		c.poll.idle = nil // no result in this round
		return
	case gone:
		// Its old self's vote is gone with it, for good.
	case m.GetTerm() > c.term:
		c.becomeFollower(m.GetTerm(), "")
		return
	case !c.goesBefore(m):
		c.poll.beaten = true
	}
	c.noteIdle(m.GetFrom(), !gone)
}

// goesBefore reports whether this member rather than the one that has replied is
// to campaign: by the log, then by id.
func (c *Core) goesBefore(m *wire.RaftMessage) bool {
	if m.GetLogTerm() != c.lastTerm() {
		return m.GetLogTerm() < c.lastTerm()
	}
	if m.GetLogIndex() != c.lastIndex() {
		return m.GetLogIndex() < c.lastIndex()
	}
	return c.cfg.ID < m.GetFrom()
}

// noteIdle takes in that a voter neither leads nor follows, and whether it has a vote; this
// member campaigns if that holds for all of them, and enough have one.
func (c *Core) noteIdle(id string, votes bool) {
	if c.poll.idle == nil {
		return
	}
	c.poll.idle[id] = votes
	have := 1
	for _, m := range c.voters() {
		if m.GetId() == c.cfg.ID {
			continue
		}
		hasVote, idle := c.poll.idle[m.GetId()]
		if !idle {
			return
		}
		if hasVote {
			have++
		}
	}
	if !c.poll.beaten && have >= c.quorum() {
		c.poll.idle = nil
		c.leader = ""
		c.startElection(true)
	}
}

// PeerRefused takes in that a member's address refuses connections. That is a hint,
// since something between the two may refuse them while the member runs: one that
// followed it polls, and what counts is what the member's next life answers.
func (c *Core) PeerRefused(now time.Duration, id string) {
	c.now = now
	if c.role == Leader || c.leader != id {
		return
	}
	c.unfollow()
}
