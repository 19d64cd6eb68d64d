// Package ledger implements the replicated ledger of token budgets and requests.
//
// An entry, identified by workspace and request key, tracks a request over its
// lifecycle. It reserves the maximum cost, claims the key, names the attempt that
// may be dispatched and the only agent that may run it, and is finally settled
// with a bill or released as not run. [Machine] is the deterministic state
// machine: budgets and entries change only through commands in the Raft log.
//
// For each budget, spent + reserved + allotted never exceeds the total. Every
// command is checked against this invariant before it changes anything, and the
// sum is verified afterwards. A violation is counted, and the budget refuses all
// reservations from then on.
package ledger
