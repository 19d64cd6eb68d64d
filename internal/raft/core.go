package raft

import (
	"slices"
	"time"

	"sumachead/api/wire"
)

// Role is the role of a member in the current term.
type Role int

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// maxAppendBytes is the maximum size of the entries in one append message.
const maxAppendBytes = 1 << 20

// maxInflightEntries is the maximum number of entries sent to a peer and not yet acknowledged.
const maxInflightEntries = 8192

// leasePercent is the length of the read lease that a quorum's replies give a leader,
// in percent of the election timeout. The remainder allows for clock drift between hosts.
const leasePercent = 80

// Config configures a Core.
type Config struct {
	Group       string
	ID          string
	Incarnation string
	// HeartbeatInterval is the interval between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout; the maximum is twice that.
	ElectionTimeout time.Duration
	// Rand returns a random number in [0, n).
	Rand func(n int64) int64
	// Snapshot returns the latest snapshot, for peers whose next entry was compacted.
	Snapshot func() *wire.Snapshot
}

// Ready is the pending output of a Core. The caller handles it in this order: send
// ReplicationMessages, persist State, Snapshot and Entries with one sync, send
// MessagesAfterSync, apply Committed. If State is set, ReplicationMessages are
// also sent only after the sync.
type Ready struct {
	ReplicationMessages []*wire.RaftMessage
	State               *wire.HardState
	Snapshot            *wire.Snapshot
	Entries             []*wire.LogEntry
	MessagesAfterSync   []*wire.RaftMessage
	Committed           []*wire.LogEntry
}

// progress is a leader's view of one peer's log.
type progress struct {
	match uint64
	next  uint64
	// round is the latest heartbeat round that the peer acknowledged.
	round uint64
	// heardAt is when the last reply of the peer arrived.
	heardAt time.Duration
	// snapshotAt is when a snapshot was last sent, or zero.
	snapshotAt time.Duration
	// probing stops pipelining until the peer confirms next.
	probing bool
}

// Core is the Raft protocol of one member of one group. It is not safe for
// concurrent use. Times are durations on the caller's monotonic clock.
type Core struct {
	cfg Config
	now time.Duration

	// Persistent state.
	term uint64
	vote string
	// entries are those after the snapshot: entries[0].Index == snapIndex+1.
	entries     []*wire.LogEntry
	snapIndex   uint64
	snapTerm    uint64
	snapMembers *wire.Members

	members     *wire.Members
	memberIndex uint64

	role      Role
	leader    string
	commit    uint64
	persisted uint64

	// heardAt is when a message from a valid leader last arrived. It is initialized
	// to the start time, so that a restarted member does not violate a lease that
	// it acknowledged before the restart.
	heardAt          time.Duration
	electionDeadline time.Duration
	votes            map[string]bool
	// poll is the state of the current poll while there is no known leader.
	poll poll

	peers            map[string]*progress
	round            uint64
	rounds           []roundStart
	nextHeartbeatAt  time.Duration
	quorumAt         time.Duration
	transferTo       string
	transferDeadline time.Duration
	// interim is set while this member leads a term in which it was elected without being a
	// voter by its own log.
	interim bool

	// Pending output.
	replicationMessages []*wire.RaftMessage
	messagesAfterSync   []*wire.RaftMessage
	firstUnsaved        uint64 // first index not yet returned by Ready for persisting
	stateChanged        bool
	snapToInstall       *wire.Snapshot
	applied             uint64 // last index returned by Ready for applying
}

type roundStart struct {
	round uint64
	at    time.Duration
}

// NewCore returns a follower with the state loaded from disk.
func NewCore(cfg Config, st *wire.HardState, snap *wire.Snapshot, entries []*wire.LogEntry, now time.Duration) *Core {
	c := &Core{
		cfg: cfg, now: now,
		term: st.GetTerm(), vote: st.GetVote(),
		snapIndex: snap.GetIndex(), snapTerm: snap.GetTerm(), snapMembers: snap.GetMembers(),
		entries: entries, heardAt: now,
	}
	c.commit = max(c.snapIndex, min(st.GetCommit(), c.lastIndex()))
	c.applied = c.snapIndex
	c.persisted = c.lastIndex()
	c.firstUnsaved = c.lastIndex() + 1
	c.refreshMembers()
	c.resetElection()
	c.startPolling()
	return c
}

func (c *Core) lastIndex() uint64 { return c.snapIndex + uint64(len(c.entries)) }

// termAt returns the term of the entry at index; ok is false if the log does not contain it.
func (c *Core) termAt(index uint64) (term uint64, ok bool) {
	if index == c.snapIndex {
		return c.snapTerm, true
	}
	if index < c.snapIndex || index > c.lastIndex() {
		return 0, false
	}
	return c.entries[index-c.snapIndex-1].GetTerm(), true
}

func (c *Core) lastTerm() uint64 {
	t, _ := c.termAt(c.lastIndex())
	return t
}

// slice returns the entries in [from, to].
func (c *Core) slice(from, to uint64) []*wire.LogEntry {
	if from > to {
		return nil
	}
	return c.entries[from-c.snapIndex-1 : to-c.snapIndex]
}

// Tick advances the clock.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if now >= c.electionDeadline {
		c.campaign(false)
	}
	c.tickPoll()
}

func (c *Core) tickLeader() {
	if c.now-c.quorumAckedAt() > c.cfg.ElectionTimeout {
		// Check-quorum: a leader that cannot reach a quorum steps down.
		c.becomeFollower(c.term, "")
		return
	}
	if c.transferTo != "" && c.now >= c.transferDeadline {
		c.transferTo = ""
		if !c.interim {
			// The request to take over may still arrive. Its receiver is elected while other members
			// hear from this leader, so this one must not have a lease again in this term.
			c.becomeFollower(c.term, "")
			return
		}
	}
	c.handOver()
	if c.now >= c.nextHeartbeatAt {
		c.sendHeartbeats()
	}
}

// Persisted records that all entries up to index are on disk.
func (c *Core) Persisted(index uint64) {
	c.persisted = min(index, c.lastIndex())
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Ready returns and clears the pending output.
func (c *Core) Ready() Ready {
	r := Ready{ReplicationMessages: c.replicationMessages, MessagesAfterSync: c.messagesAfterSync, Snapshot: c.snapToInstall}
	if c.stateChanged {
		r.State = c.HardState()
	}
	if c.firstUnsaved <= c.lastIndex() {
		r.Entries = c.slice(c.firstUnsaved, c.lastIndex())
		c.firstUnsaved = c.lastIndex() + 1
	}
	if c.commit > c.applied {
		// A leader may commit an entry before its own write completes, but a member
		// applies only entries that are on its disk.
		if to := min(c.commit, c.persisted); to > c.applied {
			r.Committed = c.slice(c.applied+1, to)
			c.applied = to
		}
	}
	c.replicationMessages, c.messagesAfterSync, c.snapToInstall, c.stateChanged = nil, nil, nil, false
	return r
}

// HardState returns the state that must be on disk before a message of its term is sent.
func (c *Core) HardState() *wire.HardState {
	return &wire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
}

// Compact drops the log entries up to index, which a snapshot now covers.
func (c *Core) Compact(index uint64) {
	term, ok := c.termAt(index)
	if !ok || index <= c.snapIndex || index > c.applied {
		return
	}
	members := c.MembersAt(index)
	c.entries = slices.Clone(c.slice(index+1, c.lastIndex()))
	c.snapIndex, c.snapTerm, c.snapMembers = index, term, members
}
