package raft

import (
	"slices"
	"time"

	"sumachead/api/wire"
)

// Role is a member's part in the current term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// maxAppendBytes bounds the entries in one append message.
const maxAppendBytes = 1 << 20

// maxInflight bounds the entries sent to a peer ahead of its replies.
const maxInflight = 8192

// leaseFraction is the part of the election timeout, in percent, for which a
// quorum's replies let a leader answer reads alone. The rest is the allowance
// for clocks that run at different speeds.
const leaseFraction = 80

// Config holds what a Core is made from.
type Config struct {
	Group       string
	ID          string
	Incarnation string
	// Heartbeat is the interval between a leader's heartbeats.
	Heartbeat time.Duration
	// Election is the least election timeout; the greatest is twice that.
	Election time.Duration
	// Rand returns a number in [0, n).
	Rand func(n int64) int64
	// Snapshot returns the newest snapshot, for a peer that is too far behind.
	Snapshot func() *wire.Snapshot
}

// Ready is what a Core wants done, in this order: send Early, persist State,
// Snapshot and Entries with one sync, send Late, apply Committed. Where there is
// a State, Early too waits for the sync.
type Ready struct {
	Early     []*wire.RaftMessage
	State     *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.LogEntry
	Late      []*wire.RaftMessage
	Committed []*wire.LogEntry
}

// progress is what a leader knows of one peer.
type progress struct {
	match uint64
	next  uint64
	// round is the newest heartbeat round that the peer answered.
	round uint64
	// heardAt is when the peer last replied.
	heardAt time.Duration
	// snapshotAt is when a snapshot was last sent.
	snapshotAt time.Duration
	// probing holds back pipelined entries until next is confirmed.
	probing bool
}

// Core is the Raft protocol of one member of one group. It is not safe for
// concurrent use. Times are durations on the owner's monotonic clock.
type Core struct {
	cfg Config
	now time.Duration

	// Persistent state.
	term uint64
	vote string
	// entries follow the snapshot: entries[0].Index == snapIndex+1.
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

	// heardAt is when a valid leader was last heard of. It starts at the time
	// of the start, so that a restarted member does not break a lease that it
	// has forgotten granting.
	heardAt    time.Duration
	electionAt time.Duration
	votes      map[string]bool
	// poll is what is known of the other voters while there is no leader.
	poll poll

	peers       map[string]*progress
	round       uint64
	rounds      []roundStart
	heartbeatAt time.Duration
	quorumAt    time.Duration
	transferTo  string
	transferAt  time.Duration

	// Pending output.
	early    []*wire.RaftMessage
	late     []*wire.RaftMessage
	unsaved  uint64 // first index not yet handed out to persist
	stateOut bool
	snapOut  *wire.Snapshot
	applied  uint64 // last index handed out to apply
}

type roundStart struct {
	round uint64
	at    time.Duration
}

// NewCore returns a follower with the state that was found on disk.
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
	c.unsaved = c.lastIndex() + 1
	c.refreshMembers()
	c.resetElection()
	c.startPolling()
	return c
}

func (c *Core) lastIndex() uint64 { return c.snapIndex + uint64(len(c.entries)) }

// termAt returns the term of an index; ok is false when the log lacks it.
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
	if now >= c.electionAt {
		c.campaign(false)
	}
	c.tickPoll()
}

func (c *Core) tickLeader() {
	if c.now-c.quorumAckedAt() > c.cfg.Election {
		// Check-quorum: a leader that cannot reach a quorum stops being one.
		c.becomeFollower(c.term, "")
		return
	}
	if c.transferTo != "" && c.now >= c.transferAt {
		c.transferTo = ""
	}
	if c.now >= c.heartbeatAt {
		c.beat()
	}
}

// Persisted tells that all entries up to index are on disk.
func (c *Core) Persisted(index uint64) {
	c.persisted = min(index, c.lastIndex())
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Ready returns and clears the pending output.
func (c *Core) Ready() Ready {
	r := Ready{Early: c.early, Late: c.late, Snapshot: c.snapOut}
	if c.stateOut {
		r.State = c.HardState()
	}
	if c.unsaved <= c.lastIndex() {
		r.Entries = c.slice(c.unsaved, c.lastIndex())
		c.unsaved = c.lastIndex() + 1
	}
	if c.commit > c.applied {
		// A leader may commit before its own write is done; a member applies
		// only what it has on disk.
		if to := min(c.commit, c.persisted); to > c.applied {
			r.Committed = c.slice(c.applied+1, to)
			c.applied = to
		}
	}
	c.early, c.late, c.snapOut, c.stateOut = nil, nil, nil, false
	return r
}

// HardState returns what must be on disk before a message leaves.
func (c *Core) HardState() *wire.HardState {
	return &wire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
}

// Compact drops the log up to index, which a snapshot now holds.
func (c *Core) Compact(index uint64) {
	term, ok := c.termAt(index)
	if !ok || index <= c.snapIndex || index > c.applied {
		return
	}
	members := c.MembersAt(index)
	c.entries = slices.Clone(c.slice(index+1, c.lastIndex()))
	c.snapIndex, c.snapTerm, c.snapMembers = index, term, members
}
