// Package fleet is the control side of a fleet that is declared as one numbered
// document and whose backend servers register themselves.
//
// A [Machine] is the replicated state: the declaration in force, the escrow of
// budgets, and the lives of backend servers that are leaving. A [Keeper] runs one
// member of the group that replicates it, keeps the soft state beside it (server
// records, demand, who follows), and serves nodes and operators. Every keeper
// takes every call; one that does not lead passes it to the one that does.
package fleet
