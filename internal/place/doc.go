// Package place schedules requests onto backend servers. It has no sockets and no clock of
// its own.
//
// There are two kinds of scheduling. For backend servers whose agents report their load,
// [Weighted] is the default policy (place.go); [RoundRobin] and [LeastOutstanding] are
// baselines to compare it with.
//
// For model engines of a declared fleet a [Scheduler] sends each [Request] to the server with
// the lowest expected loss to callers. The loss is a sum in tokens (objective.go):
//
//	value * P(late)               of the request: its first event misses its deadline, or
//	                              the prefill of a long prompt stalls its stream
//	+ sum of value * dP(late)     of the streams in flight that this prefill delays
//	+ tokens recomputed           of shared parts that another engine has cached
//	+ 0.6 * tokens fetched        from that engine instead
//	+ 2 * ms to the first event   breaks ties between equal servers
//	+ 300 for another data hall
//
// where a request's value is its prompt tokens plus ten times its maximum output tokens, and P
// rises with the ratio of the predicted time to the objective. Times are predicted by
// [PrefillModel], which is fitted to observed times to the first event (prefill.go), by the load
// that this router and all others have at a server (server.go), and by which shared parts each
// server has cached (parts.go).
//
// The load of other routers is queried for each scheduling decision, from a few candidates
// (candidates.go): the process beside each engine keeps a [LoadTracker], to which all routers
// report what they send. An exchange of loads among all routers takes 468 ms with 102 of them,
// longer than most prefills: nine in ten of the late first events were then at an engine that
// was believed to be idle. Compared with that exchange, with 102 routers, 160 engines and 825
// requests a second, load trackers raise goodput by 0.03 on a quiet day and by 0.04 on days with
// faults (five days, 0.579 to 0.617), and the leading keeper is not involved. If the load
// tracker of a server does not respond, the router relies on what it has observed itself.
//
// A [Placement] is one request at its server; the scheduler learns from its outcome
// (placement.go).
//
// docs/DECISIONS.md gives the effect of each term and the alternatives that were tried.
package place
