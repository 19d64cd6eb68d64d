// Package raft replicates a log of commands among the keepers of one group.
//
// It implements Raft as described in D. Ongaro, "Consensus: Bridging Theory
// and Practice", 2014: leader election with pre-vote and leader stickiness,
// check-quorum, leadership transfer, single-server membership changes with
// learners, snapshots, and writing to the leader's disk in parallel with
// replication (§10.2.1).
//
// It extends Raft in three ways. A poll (poll.go) lets members that were all restarted
// elect a leader before an election timeout has passed. [Node.ReportConnectionRefused]
// lets followers poll before they time out on a leader that has restarted. A member that is
// not a voter by its own log campaigns when it refuses a candidate only because its own log
// is more up-to-date (nonvoter.go); otherwise no candidate that needs its vote could win. It
// needs the majority of the voters in its own log, is counted in no majority and has no lease.
// It transfers leadership to a voter once its first entry is committed.
//
// [Core] is the protocol alone, without clock, disk or network. It takes
// messages and the time and yields a [Ready]: what to persist, send and apply.
// [Storage] keeps the log, the vote and the snapshot on disk. [Node] drives a
// Core: a single goroutine owns it, batches received messages, syncs once per
// batch, and applies committed commands to a sumachead.StateMachine.
//
// A member is identified by its id and its incarnation. The incarnation is
// generated at random when an empty data directory is first used, so a keeper that lost its
// disk is a different member and cannot vote as its previous incarnation.
package raft
