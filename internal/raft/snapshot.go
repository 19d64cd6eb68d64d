package raft

import (
	"sumachead/api/wire"
)

// maintain persists the commit index and compacts the log, if either is due.
func (n *Node) maintain() error {
	if err := n.saveCommit(); err != nil {
		return err
	}
	return n.compact()
}

// saveCommit persists the commit index once the log is idle, so that a member that
// restarts while partitioned can apply the entries that it knew to be committed.
func (n *Node) saveCommit() error {
	if n.core.commit == n.storage.state.GetCommit() || n.core.commit != n.core.lastIndex() || n.core.persisted != n.core.lastIndex() {
		return nil
	}
	return n.storage.Save(n.core.HardState(), nil)
}

// snapshotDue reports whether the log has grown enough for a snapshot to replace it.
func (n *Node) snapshotDue() bool {
	grown := n.appliedIndex - n.snapIndex
	return grown >= n.SnapshotThreshold || grown > 0 && n.storage.LogBytes() >= n.MaxLogBytes
}

// compact starts a snapshot if one is due, and activates it once it has been written.
func (n *Node) compact() error {
	if !n.snapshotDue() {
		return nil
	}
	if n.pendingSnapshot != nil {
		return n.activatePendingSnapshot()
	}
	index := n.appliedIndex
	term, _ := n.core.termAt(index)
	snap := &wire.Snapshot{Index: index, Term: term, Members: n.core.MembersAt(index)}
	encode := n.Machine.Snapshot()
	done := make(chan error, 1)
	n.pendingSnapshot = &snapshotWrite{snap, done}
	go func() {
		var err error
		if snap.Data, err = encode(); err == nil {
			err = n.storage.PrepareSnapshot(snap)
		}
		done <- err
	}()
	return nil
}

// snapshotWrite is a snapshot that is being encoded and written in the background.
type snapshotWrite struct {
	snap *wire.Snapshot
	done chan error
}

// activatePendingSnapshot activates the pending snapshot if it has been written.
func (n *Node) activatePendingSnapshot() error {
	p := n.pendingSnapshot
	select {
	case err := <-p.done:
		n.pendingSnapshot = nil
		if err != nil {
			return err
		}
	default:
		return nil
	}
	index := p.snap.GetIndex()
	if err := n.storage.ActivateSnapshot(p.snap, n.core.slice(index+1, n.core.firstUnsaved-1)); err != nil {
		return err
	}
	n.core.Compact(index)
	n.snapIndex = index
	return nil
}

// discardPendingSnapshot waits until the pending snapshot is written and discards it,
// because the leader has sent a newer one.
func (n *Node) discardPendingSnapshot() {
	if n.pendingSnapshot == nil {
		return
	}
	if err := <-n.pendingSnapshot.done; err != nil {
		n.Log.Warn("Failed to write a snapshot.", "error", err)
	}
	n.pendingSnapshot = nil
}
