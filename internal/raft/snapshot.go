package raft

import (
	"sumachead/api/wire"
)

// tidy does what can wait for a quiet moment.
func (n *Node) tidy() error {
	if err := n.saveCommit(); err != nil {
		return err
	}
	return n.compact()
}

// saveCommit writes down what is committed once the log is quiet, so that a
// member that restarts while cut off knows what it knew.
func (n *Node) saveCommit() error {
	if n.core.commit == n.storage.state.GetCommit() || n.core.commit != n.core.lastIndex() || n.core.persisted != n.core.lastIndex() {
		return nil
	}
	return n.storage.Save(n.core.HardState(), nil)
}

// compact takes a snapshot when the log has grown enough.
func (n *Node) compact() error {
	if n.appliedIndex-n.snapIndex < n.SnapshotEvery {
		return nil
	}
	if n.preparing != nil {
		return n.usePrepared()
	}
	index := n.appliedIndex
	term, _ := n.core.termAt(index)
	snap := &wire.Snapshot{Index: index, Term: term, Members: n.core.MembersAt(index)}
	encode := n.Machine.Snapshot()
	done := make(chan error, 1)
	n.preparing = &preparation{snap, done}
	go func() {
		var err error
		if snap.Data, err = encode(); err == nil {
			err = n.storage.PrepareSnapshot(snap)
		}
		done <- err
	}()
	return nil
}

// preparation is a snapshot that is being encoded and written beside the log.
type preparation struct {
	snap *wire.Snapshot
	done chan error
}

// usePrepared takes the snapshot into use once it is written.
func (n *Node) usePrepared() error {
	p := n.preparing
	select {
	case err := <-p.done:
		n.preparing = nil
		if err != nil {
			return err
		}
	default:
		return nil
	}
	index := p.snap.GetIndex()
	if err := n.storage.UsePrepared(p.snap, n.core.slice(index+1, n.core.unsaved-1)); err != nil {
		return err
	}
	n.core.Compact(index)
	n.snapIndex = index
	return nil
}

// dropPrepared waits for a snapshot that is being written, and forgets it: a
// newer one has come from the leader.
func (n *Node) dropPrepared() {
	if n.preparing == nil {
		return
	}
	if err := <-n.preparing.done; err != nil {
		n.Log.Warn("A snapshot was not written.", "error", err)
	}
	n.preparing = nil
}
