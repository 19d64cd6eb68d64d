// Package ledger is the replicated record of money and of requests.
//
// One entry, keyed by workspace and request key, carries a request's whole
// story: it reserves the upper bound of the cost, claims the key, names the
// attempt that may be dispatched and the one agent that may run it, and ends
// settled with a bill or released as not run. [Machine] is the deterministic
// state; budgets and entries change only by commands from the log.
//
// For each budget, spent + reserved + allotted never exceeds the total: every
// command is checked against that before it changes anything, and the sum is
// verified after it. A violation is counted and the budget refuses from then
// on.
package ledger
