// Package fleet is the control side of a fleet that is declared as one numbered
// document and whose backend servers register themselves.
//
// A [Machine] is the replicated state: the declaration in force, the escrow of
// budgets, and the lives of backend servers that are leaving. A [Keeper] runs one
// member of the group that replicates it, keeps the soft state beside it (server
// records, demand, who follows), and serves nodes and operators. A [Host] keeps a
// keeper running on a disk that may fail for a while.
//
// Every keeper takes the calls of operators and backend servers, and passes on to
// the leading one what only that can answer. Heartbeats of servers that are ready it
// acknowledges by itself, and passes them on in batches (alive.go); the servers that
// it knows are kept in a file, for a leader after a kill of all (records.go). Nodes
// call the leading keeper; another one refuses and names it.
package fleet
