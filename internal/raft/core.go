package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

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
// Snapshot and Entries with one sync, send Late, apply Committed.
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

// refreshMembers takes the newest configuration in the log, committed or not.
func (c *Core) refreshMembers() {
	c.members, c.memberIndex = c.snapMembers, c.snapIndex
	for _, e := range slices.Backward(c.entries) {
		if e.GetKind() != wire.EntryKind_ENTRY_KIND_MEMBERS {
			continue
		}
		c.members, c.memberIndex = decodeMembers(e), e.GetIndex()
		break
	}
	if c.role == Leader {
		c.trackPeers()
	}
}

func decodeMembers(e *wire.LogEntry) *wire.Members {
	m := &wire.Members{}
	if err := proto.Unmarshal(e.GetData(), m); err != nil {
		// The log is checksummed and written by this package.
		panic("raft: members entry does not decode: " + err.Error())
	}
	return m
}

func (c *Core) member(id string) *wire.Member {
	for _, m := range c.members.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// isVoter reports whether id votes; for this member the incarnation must match.
func (c *Core) isVoter(id string) bool {
	m := c.member(id)
	if m == nil || m.GetLearner() {
		return false
	}
	return id != c.cfg.ID || m.GetIncarnation() == c.cfg.Incarnation
}

func (c *Core) voters() []*wire.Member {
	var vs []*wire.Member
	for _, m := range c.members.GetMembers() {
		if !m.GetLearner() {
			vs = append(vs, m)
		}
	}
	return vs
}

func (c *Core) quorum() int { return len(c.voters())/2 + 1 }

func (c *Core) resetElection() {
	spread := int64(c.cfg.Election)
	c.electionAt = c.now + c.cfg.Election + time.Duration(c.cfg.Rand(spread))
}

func (c *Core) setTerm(term uint64, vote string) {
	c.term, c.vote, c.stateOut = term, vote, true
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.term {
		c.setTerm(term, "")
	}
	c.role, c.leader, c.peers, c.votes = Follower, leader, nil, nil
	c.transferTo = ""
	c.resetElection()
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

// beat starts a heartbeat round.
func (c *Core) beat() {
	c.heartbeatAt = c.now + c.cfg.Heartbeat
	c.round++
	c.rounds = append(c.rounds, roundStart{c.round, c.now})
	c.eachPeer(func(id string) { c.sendAppend(id, true) })
}

// quorumAckedAt returns when the newest round that a quorum answered began.
func (c *Core) quorumAckedAt() time.Duration {
	acked := make([]uint64, 0, len(c.peers)+1)
	for _, m := range c.voters() {
		if m.GetId() == c.cfg.ID {
			acked = append(acked, c.round)
			continue
		}
		acked = append(acked, c.peers[m.GetId()].round)
	}
	slices.Sort(acked)
	round := acked[len(acked)-c.quorum()]
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

// campaign starts a pre-vote round, or a real election on a transfer.
func (c *Core) campaign(transfer bool) {
	c.resetElection()
	if !c.isVoter(c.cfg.ID) {
		return
	}
	c.leader = ""
	c.votes = map[string]bool{c.cfg.ID: true}
	if transfer {
		c.startElection(true)
		return
	}
	c.role = PreCandidate
	c.requestVotes(wire.RaftKind_RAFT_KIND_PRE_VOTE, c.term+1, false)
	c.countVotes()
}

func (c *Core) startElection(transfer bool) {
	c.role = Candidate
	c.setTerm(c.term+1, c.cfg.ID)
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetElection()
	c.requestVotes(wire.RaftKind_RAFT_KIND_VOTE, c.term, transfer)
	c.countVotes()
}

func (c *Core) requestVotes(kind wire.RaftKind, term uint64, transfer bool) {
	for _, m := range c.voters() {
		if m.GetId() == c.cfg.ID {
			continue
		}
		c.sendLate(m, &wire.RaftMessage{
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
	c.peers = make(map[string]*progress)
	c.rounds = nil
	c.quorumAt = c.now
	c.transferTo = ""
	c.trackPeers()
	c.appendFirst()
	c.beat()
}

// appendFirst appends the entry by which a new leader commits what came before.
// The first leader of a group writes the founders down, so that a member that
// joins later learns them from the log.
func (c *Core) appendFirst() {
	if c.memberIndex > 0 {
		c.append(wire.EntryKind_ENTRY_KIND_NOOP, nil)
		return
	}
	data, err := proto.Marshal(c.members)
	if err != nil {
		panic("raft: members do not encode: " + err.Error())
	}
	c.append(wire.EntryKind_ENTRY_KIND_MEMBERS, data)
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

// ProposeMembers starts a membership change that differs from the present
// configuration in one voter at most. It is refused while another change, or
// this leader's first entry, is not committed.
func (c *Core) ProposeMembers(m *wire.Members) (index uint64, ok bool) {
	if c.role != Leader || c.memberIndex > c.commit {
		return 0, false
	}
	if t, _ := c.termAt(c.commit); t != c.term {
		return 0, false
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return 0, false
	}
	old := c.members
	index = c.append(wire.EntryKind_ENTRY_KIND_MEMBERS, data)
	for _, n := range m.GetMembers() {
		if !sameIncarnation(old, n) && c.peers[n.GetId()] != nil {
			c.peers[n.GetId()] = &progress{next: c.lastIndex() + 1, probing: true}
		}
	}
	c.broadcast()
	return index, true
}

func sameIncarnation(ms *wire.Members, n *wire.Member) bool {
	for _, m := range ms.GetMembers() {
		if m.GetId() == n.GetId() {
			return m.GetIncarnation() == n.GetIncarnation()
		}
	}
	return false
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

// Transfer hands leadership to the most advanced voter; ok is false when there
// is none.
func (c *Core) Transfer() bool {
	if c.role != Leader {
		return false
	}
	best := ""
	c.eachPeer(func(id string) {
		if c.isVoter(id) && (best == "" || c.peers[id].match > c.peers[best].match) {
			best = id
		}
	})
	if best == "" {
		return false
	}
	c.transferTo, c.transferAt = best, c.now+c.cfg.Election
	c.sendTimeoutNow()
	return true
}

func (c *Core) sendTimeoutNow() {
	p := c.peers[c.transferTo]
	if p == nil || p.match < c.lastIndex() {
		return
	}
	c.sendLate(c.member(c.transferTo), &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_TIMEOUT_NOW, Term: c.term})
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
	match := make([]uint64, 0, len(c.peers)+1)
	for _, m := range c.voters() {
		if m.GetId() == c.cfg.ID {
			match = append(match, c.persisted)
			continue
		}
		match = append(match, c.peers[m.GetId()].match)
	}
	if len(match) == 0 {
		return
	}
	slices.Sort(match)
	n := match[len(match)-c.quorum()]
	if t, ok := c.termAt(n); !ok || t != c.term || n <= c.commit {
		return
	}
	c.commit = n
	if c.member(c.cfg.ID) == nil && c.memberIndex <= c.commit {
		c.becomeFollower(c.term, "") // this member has been removed
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

// MembersAt returns the configuration in force at an index of the log.
func (c *Core) MembersAt(index uint64) *wire.Members {
	ms := c.snapMembers
	for _, e := range c.entries {
		if e.GetIndex() > index {
			break
		}
		if e.GetKind() == wire.EntryKind_ENTRY_KIND_MEMBERS {
			ms = decodeMembers(e)
		}
	}
	return ms
}
