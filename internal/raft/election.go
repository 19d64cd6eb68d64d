package raft

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

func (c *Core) resetElection() {
	spread := int64(c.cfg.ElectionTimeout)
	c.electionDeadline = c.now + c.cfg.ElectionTimeout + time.Duration(c.cfg.Rand(spread))
}

func (c *Core) setTerm(term uint64, vote string) {
	c.term, c.vote, c.stateChanged = term, vote, true
	c.poll.leaderless = nil // the results of a poll round are valid for one term only
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.term {
		c.setTerm(term, "")
	}
	c.role, c.leader, c.peers, c.votes = Follower, leader, nil, nil
	c.transferTo = ""
	c.resetElection()
}

// campaign starts a pre-vote, or an election without pre-vote for a leadership transfer.
func (c *Core) campaign(transfer bool) {
	c.resetElection()
	if !c.isVoter(c.cfg.ID) {
		c.role, c.votes = Follower, nil // a campaign of campaignIfAhead ends
		return
	}
	if transfer {
		c.leader = ""
		c.startElection(true)
		return
	}
	c.startPreVote()
}

func (c *Core) startPreVote() {
	c.role, c.leader, c.votes = PreCandidate, "", c.ownVotes()
	c.requestVotes(wire.RaftKind_RAFT_KIND_PRE_VOTE, c.term+1, false)
	c.countVotes()
}

func (c *Core) startElection(transfer bool) {
	c.role = Candidate
	c.setTerm(c.term+1, c.cfg.ID)
	c.votes = c.ownVotes()
	c.resetElection()
	c.requestVotes(wire.RaftKind_RAFT_KIND_VOTE, c.term, transfer)
	c.countVotes()
}

func (c *Core) requestVotes(kind wire.RaftKind, term uint64, transfer bool) {
	for _, m := range c.voters() {
		if m.GetId() == c.cfg.ID {
			continue
		}
		c.sendAfterSync(m, &wire.RaftMessage{
			Kind: kind, Term: term, Transfer: transfer,
			LogIndex: c.lastIndex(), LogTerm: c.lastTerm(),
		})
	}
}

func (c *Core) countVotes() {
	granted := 0
	for _, m := range c.voters() {
		if c.votes[m.GetId()] {
			granted++
		}
	}
	if granted < c.quorum() {
		return
	}
	if c.role == PreCandidate {
		c.startElection(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.cfg.ID, nil
	c.poll.leaderless = nil
	c.peers = make(map[string]*progress)
	c.rounds = nil
	c.quorumAt = c.now
	c.transferTo = ""
	c.interim = !c.isVoter(c.cfg.ID)
	c.trackPeers()
	c.appendFirstEntry()
	c.sendHeartbeats()
}

// appendFirstEntry appends the entry with which a new leader commits the entries of
// earlier terms. The first leader of a group writes the founders to the log, so that
// members that join later learn them from it.
func (c *Core) appendFirstEntry() {
	if c.memberIndex > 0 {
		c.append(wire.EntryKind_ENTRY_KIND_NOOP, nil)
		return
	}
	data, err := proto.Marshal(c.members)
	if err != nil {
		panic("raft: encoding members: " + err.Error())
	}
	c.append(wire.EntryKind_ENTRY_KIND_MEMBERS, data)
}

// TransferLeadership transfers leadership to another voter: of those that replied within the
// last election timeout, or else of all, the one with the most complete log. It reports whether
// there is another voter.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	best := ""
	c.forEachPeer(func(id string) {
		if c.isVoter(id) && (best == "" || c.isBetterTarget(c.peers[id], c.peers[best])) {
			best = id
		}
	})
	if best == "" {
		return false
	}
	c.transferTo, c.transferDeadline = best, c.now+c.cfg.ElectionTimeout
	c.sendTimeoutNow()
	return true
}

// isBetterTarget reports whether leadership is transferred to p rather than to q. Without
// the preference for active peers, a repeated transfer would always select the same
// peer that has failed.
func (c *Core) isBetterTarget(p, q *progress) bool {
	if c.isActive(p) != c.isActive(q) {
		return c.isActive(p)
	}
	return p.match > q.match
}

// isActive reports whether a peer has replied within the last election timeout.
func (c *Core) isActive(p *progress) bool {
	return p.heardAt > 0 && c.now-p.heardAt < c.cfg.ElectionTimeout
}

func (c *Core) sendTimeoutNow() {
	p := c.peers[c.transferTo]
	if p == nil || p.match < c.lastIndex() {
		return
	}
	c.sendAfterSync(c.member(c.transferTo), &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_TIMEOUT_NOW, Term: c.term})
}
