// Package fleet is the control plane of a fleet whose configuration is declared as one numbered
// document and whose backend servers register themselves.
//
// A [StateMachine] is the replicated state: the declaration in force, the escrow of budgets, and
// the incarnations of backend servers that are leaving. A [Keeper] runs one member of the Raft
// group that replicates it, keeps soft state beside it (server records, demand, followers), and
// serves nodes and operators. A [Supervisor] restarts a keeper whose disk fails temporarily.
//
// Every keeper accepts calls of operators and backend servers, and forwards to the leader what
// only the leader can answer. It acknowledges heartbeats of ready servers itself and forwards them
// in batches (heartbeats.go). It saves the servers that it knows to a file, from which a leader starts
// after a restart of all keepers (records.go). Nodes call the leading keeper; any other keeper
// refuses and names the leader.
package fleet
