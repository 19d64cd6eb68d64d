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

// The defaults of a Node.
const (
	DefaultHeartbeat     = 60 * time.Millisecond
	DefaultElection      = 500 * time.Millisecond
	DefaultSnapshotEvery = 20000
	maxBatch             = 1024
	inboxSize            = 4096
)

// ErrUncertain says that a command may or may not take effect later.
var ErrUncertain = errors.New("outcome of the command is not known")

// ErrStopped says that the node has stopped.
var ErrStopped = errors.New("node has stopped")

// NotLeaderError says that another member leads: nothing was done.
type NotLeaderError struct {
	// Leader is the id of the leader; empty when unknown.
	Leader string
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "not the leader; leader: " + e.Leader }

// Node runs one member of one group. Set the exported fields, then call Open
// and Run.
type Node struct {
	Group       sumachead.GroupID
	ID          string
	Incarnation string
	// Dir is the group's own folder.
	Dir     string
	Machine sumachead.StateMachine
	// Send passes messages to other members; it must not block.
	Send func([]*wire.RaftMessage)
	// Founders is the first configuration, used when the folder is empty.
	Founders      *wire.Members
	Heartbeat     time.Duration
	Election      time.Duration
	SnapshotEvery uint64
	Log           hclog.Logger
	// Clock bounds leases; nil for the host's.
	Clock sumachead.Clock
	// Synced is told how long each synced write took; nil for nobody.
	Synced func(time.Duration)

	storage *Storage
	core    *Core
	start   sumachead.BootTime

	inbox     chan []*wire.RaftMessage
	proposals chan *proposal
	calls     chan func()
	stopped   chan struct{}

	// The goroutine of Run owns the fields below.
	pending      map[uint64]*proposal
	pendingTerm  uint64
	appliedIndex uint64
	snapIndex    uint64
	wasLeader    bool
	// preparing is the snapshot that is being written; nil for none.
	preparing *preparation
	// publishedMembers is the configuration that status shows.
	publishedMembers *wire.Members

	status atomic.Pointer[wire.GroupStatus]
	// led is open while a leader is known.
	led loop.Gate
}

type proposal struct {
	data []byte
	done chan outcome
}

type outcome struct {
	result any
	err    error
}

// Open reads the folder and restores the state machine.
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
		Heartbeat: n.Heartbeat, Election: n.Election, Rand: rand.Int64N,
		Snapshot: func() *wire.Snapshot { return n.storage.snapshot },
	}
	n.core = NewCore(cfg, storage.state, snap, entries, 0)
	n.publish()
	return nil
}

func (n *Node) setDefaults() {
	if n.Heartbeat == 0 {
		n.Heartbeat = DefaultHeartbeat
	}
	if n.Election == 0 {
		n.Election = DefaultElection
	}
	if n.SnapshotEvery == 0 {
		n.SnapshotEvery = DefaultSnapshotEvery
	}
	if n.Log == nil {
		n.Log = hclog.NewNullLogger()
	}
	if n.Clock == nil {
		n.Clock = boottime.Clock{}
	}
	n.start = n.Clock.Now()
	n.inbox = make(chan []*wire.RaftMessage, inboxSize)
	n.proposals = make(chan *proposal, inboxSize)
	n.calls = make(chan func(), inboxSize)
	n.stopped = make(chan struct{})
	n.pending = make(map[uint64]*proposal)
}

// now returns the time by which the core goes. It does not stand still while the host is
// suspended: a leader that wakes must not hold a lease that its followers have seen end.
func (n *Node) now() time.Duration { return n.Clock.Now().Sub(n.start) }

// Run drives the member until ctx ends or the disk fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.shutDown()
	ticker := time.NewTicker(n.Heartbeat / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-n.inbox:
			n.step(batch)
		case p := <-n.proposals:
			n.core.Tick(n.now())
			n.propose(p)
		case f := <-n.calls:
			n.core.Tick(n.now())
			f()
		case <-ticker.C:
			n.core.Tick(n.now())
			if err := n.tidy(); err != nil {
				return trace.Wrap(err, "group %s", n.Group)
			}
		}
		if err := n.process(); err != nil {
			return trace.Wrap(err, "group %s", n.Group)
		}
	}
}

func (n *Node) shutDown() {
	n.dropPrepared()
	close(n.stopped)
	n.failPending(ErrUncertain)
	if err := n.storage.Close(); err != nil {
		n.Log.Error("Closing the log failed.", "error", err)
	}
}

// step takes in a batch and whatever else has arrived.
func (n *Node) step(batch []*wire.RaftMessage) {
	n.core.Tick(n.now())
	for range maxBatch {
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

// propose takes in a proposal and all that wait behind it.
func (n *Node) propose(p *proposal) {
	batch := []*proposal{p}
	for len(batch) < maxBatch {
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

// process carries out what the core wants done, until it wants no more.
func (n *Node) process() error {
	for {
		n.noteLeadership()
		r := n.core.Ready()
		if r.empty() {
			n.publish()
			return nil
		}
		if r.State == nil {
			n.send(r.Early)
		}
		if err := n.persist(r); err != nil {
			return err
		}
		if r.State != nil {
			// Nothing of a term leaves before the term is on disk: a leader
			// that was elected by itself alone could use the term twice.
			n.send(r.Early)
		}
		n.core.Persisted(n.core.lastIndex())
		n.send(r.Late)
		n.apply(r.Committed)
		if err := n.compact(); err != nil {
			return err
		}
	}
}

func (r *Ready) empty() bool {
	return r.State == nil && r.Snapshot == nil &&
		len(r.Early)+len(r.Entries)+len(r.Late)+len(r.Committed) == 0
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
	n.dropPrepared()
	if err := n.Machine.Restore(r.Snapshot.GetData()); err != nil {
		return err
	}
	n.appliedIndex, n.snapIndex = r.Snapshot.GetIndex(), r.Snapshot.GetIndex()
	n.Log.Info("Snapshot installed.", "index", n.snapIndex)
	return n.storage.SaveSnapshot(r.Snapshot, r.Entries)
}

// save writes to the log and tells how long that took.
func (n *Node) save(state *wire.HardState, entries []*wire.LogEntry) error {
	begun := time.Now()
	err := n.storage.Save(state, entries)
	if n.Synced != nil && (state != nil || len(entries) > 0) {
		n.Synced(time.Since(begun))
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

// noteLeadership fails what waits when this member stops leading.
func (n *Node) noteLeadership() {
	leads := n.core.role == Leader
	if leads {
		if !n.wasLeader {
			n.Log.Info("Leading.", "term", n.core.term)
		}
		n.wasLeader, n.pendingTerm = true, n.core.term
		return
	}
	if n.wasLeader {
		n.Log.Info("No longer leading.", "term", n.core.term)
		n.wasLeader = false
		n.failPending(ErrUncertain)
	}
}

func (n *Node) failPending(err error) {
	for i, p := range n.pending {
		delete(n.pending, i)
		p.done <- outcome{err: err}
	}
}

// publish makes the state visible to Status.
func (n *Node) publish() {
	c := n.core
	s := n.status.Load()
	if s != nil && s.GetLeader() == c.leader && s.GetTerm() == c.term && s.GetCommit() == c.commit &&
		s.GetApplied() == n.appliedIndex && n.publishedMembers == c.members {
		return
	}
	n.publishedMembers = c.members
	defer n.led.Set(c.leader != "")
	n.status.Store(&wire.GroupStatus{
		Group: string(n.Group), Leader: c.leader, Term: c.term,
		Commit: c.commit, Applied: n.appliedIndex, Members: c.members.GetMembers(),
	})
}
