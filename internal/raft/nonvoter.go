package raft

import "sumachead/api/wire"

// A candidate's own log decides whose votes it needs. It may need the vote of a member
// that is not a voter by that member's own log: a learner whose promotion it lacks, a removed
// member, or a new incarnation that lacks the change that added it. If such a member has the
// more up-to-date log, it must refuse, and without an election timer the group would never
// elect a leader. It therefore campaigns itself when it refuses a request only for that
// reason, as Ongaro's dissertation, §4.2.2, allows servers outside of their own
// configuration.
//
// Such a member is not counted in any majority: neither in its election nor in commits, in
// check-quorum or in heartbeat rounds. All of these need a majority of the voters in its own
// log, without it. The proof of leader completeness is therefore the usual one: any majority
// of its voters overlaps with any majority of the configurations before and after, the
// member in the overlap votes once per term, and it refuses a candidate that lacks a committed
// entry. A pre-vote always precedes the election, so that a member that is cut off or was
// removed does not depose a leader. It also keeps a new incarnation out of the terms that its
// predecessor led, although a vote names the id alone: a majority has voted in such a term
// before the new incarnation exists, and refuses the pre-vote.
//
// The leader has no lease. Polls assume that whoever holds a lease is among the voters that
// are polled, and voters that were all restarted would otherwise elect another leader while
// it is valid. The leader transfers its leadership once its first entry is committed, and
// repeats this until a voter takes over. This also holds if a change makes it a voter in
// the meantime: it is then counted, but still has no lease, because a request to take over
// may be in flight.

// campaignIfAhead campaigns if this member is not a voter and has just refused a candidate
// only because its own log is more up-to-date.
func (c *Core) campaignIfAhead(m *wire.RaftMessage) {
	if c.role != Follower || c.isVoter(c.cfg.ID) || c.upToDate(m) || c.hasLiveLeader() {
		return
	}
	c.resetElection()
	c.startPreVote()
}

// ownVotes returns the votes of a new candidate: its own if it is a voter.
func (c *Core) ownVotes() map[string]bool {
	votes := make(map[string]bool)
	if c.isVoter(c.cfg.ID) {
		votes[c.cfg.ID] = true
	}
	return votes
}

// handOver transfers the leadership of a leader that was elected without being a voter. It
// waits for the first entry of the term: a voter whose log contains that entry is
// refused by no other member on account of its log.
func (c *Core) handOver() {
	if !c.interim || c.transferTo != "" {
		return
	}
	if t, _ := c.termAt(c.commit); t != c.term {
		return
	}
	c.TransferLeadership()
}
