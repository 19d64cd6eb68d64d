package raft

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/loop"
)

// The default settings of a Node.
const (
	DefaultHeartbeatInterval = 60 * time.Millisecond
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultSnapshotThreshold = 20000
	// DefaultMaxLogBytes is a fraction of a small disk: the log and two snapshots share it.
	DefaultMaxLogBytes = 16 << 20
	maxBatchSize       = 1024
	queueSize          = 4096
)

// ErrUncertain means that a command may have taken effect or may still do so.
var ErrUncertain = errors.New("outcome of the command is not known")

// ErrStopped means that the node has stopped.
var ErrStopped = errors.New("node has stopped")

// NotLeaderError means that this member is not the leader and the call had no effect.
type NotLeaderError struct {
	// Leader is the id of the leader, or empty if it is unknown.
	Leader string
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "not the leader; leader: " + e.Leader }

// Node runs one member of one group. Set the exported fields before calling Open and
// then Run.
type Node struct {
	Group       sumachead.GroupID
	ID          string
	Incarnation string
	// Dir is the data directory of the group.
	Dir     string
	Machine sumachead.StateMachine
	// Send sends messages to other members; it must not block.
	Send func([]*wire.RaftMessage)
	// Founders is the initial configuration, used if Dir is empty.
	Founders          *wire.Members
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// A snapshot replaces the log once it has grown by SnapshotThreshold entries or to MaxLogBytes.
	SnapshotThreshold uint64
	MaxLogBytes       int64
	Log               hclog.Logger
	// Clock is the clock for timeouts and leases; nil means the host's boot-time clock.
	Clock sumachead.Clock
	// ObserveSync, if not nil, is called with the duration of each synced write.
	ObserveSync func(time.Duration)

	storage *Storage
	core    *Core
	start   sumachead.BootTime

	inbox     chan []*wire.RaftMessage
	proposals chan *proposal
	calls     chan func()
	stopped   chan struct{}

	// The fields below are owned by the goroutine of Run.
	pending      map[uint64]*proposal
	pendingTerm  uint64
	appliedIndex uint64
	snapIndex    uint64
	// wasLeader and wasCampaigning are the role as of the last step.
	wasLeader, wasCampaigning bool
	// pendingSnapshot is the snapshot that is being written, or nil.
	pendingSnapshot *snapshotWrite
	// publishedMembers is the configuration in status.
	publishedMembers *wire.Members

	status atomic.Pointer[wire.GroupStatus]
	// hasLeader is open while a leader is known.
	hasLeader loop.Gate
}

type proposal struct {
	data []byte
	done chan outcome
}

type outcome struct {
	result any
	err    error
}

// Open reads the data directory and restores the state machine.
func (n *Node) Open() error {
	n.setDefaults()
	storage, entries, err := OpenStorage(n.Dir)
	if err != nil {
		return err
	}
	snap := storage.snapshot
	if snap.GetMembers() == nil && n.Founders != nil {
		snap.Members = n.Founders
	}
	if snap.GetIndex() > 0 {
		if err := n.Machine.Restore(snap.GetData()); err != nil {
			return trace.Wrap(err, "restoring group %s", n.Group)
		}
	}
	n.storage = storage
	n.appliedIndex, n.snapIndex = snap.GetIndex(), snap.GetIndex()
	cfg := Config{
		Group: string(n.Group), ID: n.ID, Incarnation: n.Incarnation,
		HeartbeatInterval: n.HeartbeatInterval, ElectionTimeout: n.ElectionTimeout, Rand: rand.Int64N,
		Snapshot: func() *wire.Snapshot { return n.storage.snapshot },
	}
	n.core = NewCore(cfg, storage.state, snap, entries, 0)
	n.publish()
	return nil
}

func (n *Node) setDefaults() {
	if n.HeartbeatInterval == 0 {
		n.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if n.ElectionTimeout == 0 {
		n.ElectionTimeout = DefaultElectionTimeout
	}
	if n.SnapshotThreshold == 0 {
		n.SnapshotThreshold = DefaultSnapshotThreshold
	}
	if n.MaxLogBytes == 0 {
		n.MaxLogBytes = DefaultMaxLogBytes
	}
	if n.Log == nil {
		n.Log = hclog.NewNullLogger()
	}
	if n.Clock == nil {
		n.Clock = boottime.Clock{}
	}
	n.start = n.Clock.Now()
	n.inbox = make(chan []*wire.RaftMessage, queueSize)
	n.proposals = make(chan *proposal, queueSize)
	n.calls = make(chan func(), queueSize)
	n.stopped = make(chan struct{})
	n.pending = make(map[uint64]*proposal)
}

// now returns the time for the core. It includes time during which the host is suspended:
// a leader that resumes must not hold a lease that has expired for its followers.
func (n *Node) now() time.Duration { return n.Clock.Now().Sub(n.start) }

// Run runs the member until ctx is done or an operation on the disk fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.shutDown()
	ticker := time.NewTicker(n.HeartbeatInterval / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-n.inbox:
			n.stepBatch(batch)
		case p := <-n.proposals:
			n.core.Tick(n.now())
			n.proposeBatch(p)
		case f := <-n.calls:
			n.core.Tick(n.now())
			f()
		case <-ticker.C:
			n.core.Tick(n.now())
			if err := n.maintain(); err != nil {
				return trace.Wrap(err, "group %s", n.Group)
			}
		}
		if err := n.processReady(); err != nil {
			return trace.Wrap(err, "group %s", n.Group)
		}
	}
}

func (n *Node) shutDown() {
	n.discardPendingSnapshot()
	close(n.stopped)
	n.failPending(ErrUncertain)
	if err := n.storage.Close(); err != nil {
		n.Log.Error("Failed to close the log.", "error", err)
	}
}

// stepBatch handles a batch of messages and further batches that are already queued.
func (n *Node) stepBatch(batch []*wire.RaftMessage) {
	n.core.Tick(n.now())
	for range maxBatchSize {
		for _, m := range batch {
			n.core.Step(n.now(), m)
		}
		select {
		case batch = <-n.inbox:
		default:
			return
		}
	}
}

// proposeBatch proposes p together with the proposals that are already queued.
func (n *Node) proposeBatch(p *proposal) {
	batch := []*proposal{p}
	for len(batch) < maxBatchSize {
		select {
		case p = <-n.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.data
	}
	first, ok := n.core.Propose(commands)
	for i, p := range batch {
		if !ok {
			p.done <- outcome{err: &NotLeaderError{Leader: n.core.leader}}
			continue
		}
		n.pending[first+uint64(i)] = p
	}
}

// processReady handles the output of the core until there is none left.
func (n *Node) processReady() error {
	for {
		n.updateLeadership()
		r := n.core.Ready()
		if r.empty() {
			n.publish()
			return nil
		}
		if r.State == nil {
			n.send(r.ReplicationMessages)
		}
		if err := n.persist(r); err != nil {
			return err
		}
		if r.State != nil {
			// Messages of a term are sent only after the term is on disk: the leader
			// of a single-voter group could otherwise use the same term twice.
			n.send(r.ReplicationMessages)
		}
		n.core.Persisted(n.core.lastIndex())
		n.send(r.MessagesAfterSync)
		n.apply(r.Committed)
		if err := n.compact(); err != nil {
			return err
		}
	}
}

func (r *Ready) empty() bool {
	return r.State == nil && r.Snapshot == nil &&
		len(r.ReplicationMessages)+len(r.Entries)+len(r.MessagesAfterSync)+len(r.Committed) == 0
}

func (n *Node) send(ms []*wire.RaftMessage) {
	if len(ms) > 0 {
		n.Send(ms)
	}
}

func (n *Node) persist(r Ready) error {
	if r.Snapshot == nil {
		state := r.State
		if state == nil && len(r.Entries) > 0 {
			state = n.core.HardState()
		}
		return n.save(state, r.Entries)
	}
	if r.State != nil {
		n.storage.state = r.State
	}
	n.discardPendingSnapshot()
	if err := n.Machine.Restore(r.Snapshot.GetData()); err != nil {
		return err
	}
	n.appliedIndex, n.snapIndex = r.Snapshot.GetIndex(), r.Snapshot.GetIndex()
	n.Log.Info("Snapshot installed.", "index", n.snapIndex)
	return n.storage.SaveSnapshot(r.Snapshot, r.Entries)
}

// save writes to the log and reports the duration to ObserveSync.
func (n *Node) save(state *wire.HardState, entries []*wire.LogEntry) error {
	begin := time.Now()
	err := n.storage.Save(state, entries)
	if n.ObserveSync != nil && (state != nil || len(entries) > 0) {
		n.ObserveSync(time.Since(begin))
	}
	return err
}

func (n *Node) apply(entries []*wire.LogEntry) {
	for _, e := range entries {
		var result any
		if e.GetKind() == wire.EntryKind_ENTRY_KIND_COMMAND {
			result = n.Machine.Apply(e.GetIndex(), e.GetData())
		}
		n.appliedIndex = e.GetIndex()
		p := n.pending[e.GetIndex()]
		if p == nil {
			continue
		}
		delete(n.pending, e.GetIndex())
		if e.GetTerm() != n.pendingTerm {
			p.done <- outcome{err: ErrUncertain}
			continue
		}
		p.done <- outcome{result: result}
	}
}

// updateLeadership logs changes of leadership and fails the pending proposals when this
// member loses it.
func (n *Node) updateLeadership() {
	n.logCampaign()
	isLeader := n.core.role == Leader
	if isLeader {
		if !n.wasLeader {
			n.Log.Info("Became leader.", "term", n.core.term)
			if n.core.interim {
				n.Log.Info("This leader is not a voter and transfers leadership to one.", "term", n.core.term)
			}
		}
		n.wasLeader, n.pendingTerm = true, n.core.term
		return
	}
	if n.wasLeader {
		n.Log.Info("Lost leadership.", "term", n.core.term)
		n.wasLeader = false
		n.failPending(ErrUncertain)
	}
}

// logCampaign logs that this member begins to campaign, with what decides who votes for it.
func (n *Node) logCampaign() {
	c := n.core
	campaigning := c.role == PreCandidate || c.role == Candidate
	if campaigning && !n.wasCampaigning {
		n.Log.Info("Campaigning.", "term", c.term, "voter", c.isVoter(c.cfg.ID), "last_term", c.lastTerm(), "last_index", c.lastIndex(),
			"members", len(c.members.GetMembers()))
	}
	n.wasCampaigning = campaigning
}

func (n *Node) failPending(err error) {
	for i, p := range n.pending {
		delete(n.pending, i)
		p.done <- outcome{err: err}
	}
}

// publish updates the status that Status returns.
func (n *Node) publish() {
	c := n.core
	s := n.status.Load()
	if s != nil && s.GetLeader() == c.leader && s.GetTerm() == c.term && s.GetCommit() == c.commit &&
		s.GetApplied() == n.appliedIndex && n.publishedMembers == c.members {
		return
	}
	n.publishedMembers = c.members
	defer n.hasLeader.Set(c.leader != "")
	n.status.Store(&wire.GroupStatus{
		Group: string(n.Group), Leader: c.leader, Term: c.term,
		Commit: c.commit, Applied: n.appliedIndex, Members: c.members.GetMembers(),
	})
}
