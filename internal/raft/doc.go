// Package raft replicates a log of commands among the keepers of one group.
//
// It follows the published Raft rules (D. Ongaro, "Consensus: Bridging Theory
// and Practice", 2014): leader election with pre-vote and leader stickiness,
// check-quorum, leadership transfer, single-step membership change with
// learners, snapshots, and writing to the leader's disk in parallel with
// replication (§10.2.1).
//
// Two things are its own: a poll (poll.go), by which members that were all restarted
// elect a leader before an election timeout has passed, and [Node.PeerRefused], by
// which they poll before the silence of a leader that has restarted shows.
//
// [Core] is the protocol alone: no clock, no disk, no network. It takes
// messages and the time and yields a [Ready]: what to persist, send and apply.
// [Storage] keeps the log, the vote and the snapshot on disk. [Node] drives a
// Core: one goroutine owns it, batches what has arrived, syncs once for the
// batch, and applies what is committed to a sumachead.StateMachine.
//
// A member is known by its id and its incarnation. The incarnation is drawn
// when an empty data folder is first used; a keeper that lost its disk is thus
// another member, which cannot vote in its old self's name.
package raft
