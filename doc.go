// Package sumachead defines the types that all parts of the router fleet share and the
// interfaces between these parts.
//
// The types are ids and units, the [Verdict] that says whether a request may have run, and the
// closed list of [Reason] values used towards callers, in logs and in metrics. The interfaces
// ([Ledger], [Placer], [StateMachine]) are implemented by packages under internal/; this
// package depends on none of them.
package sumachead
