// Package sumachead holds the vocabulary of the router fleet and the
// interfaces between its parts.
//
// The vocabulary is a set of named ids and units, the [Verdict] that says
// whether a request may have run, and the closed list of [Reason] values that
// callers, logs and counters share. The interfaces ([Ledger], [Placer],
// [SettingsStore], [StateMachine]) are implemented by packages under
// internal/; this package depends on none of them.
package sumachead
