// Package place chooses backend servers. It has no sockets and no clock of its own.
//
// There are two kinds of choice. For backend servers with agents, which tell their load,
// [Weighted] is the policy in use (place.go); [RoundRobin] and [LeastOutstanding] are the
// baselines that it is measured against.
//
// For model engines of a declared fleet a [Chooser] sends each request ([Work]) to the
// server at which callers are expected to lose least. The loss is a sum in tokens
// (objective.go):
//
//	size * P(late)                the request's own: by its first event, or by a pause
//	                              while a long prompt is read beside its stream
//	+ sum of size * dP(late)      of the streams there that reading this prompt makes late
//	+ tokens read again           of shared parts that another engine has
//	+ 0.6 * tokens fetched        from that engine instead
//	+ 2 * ms to the first event   so that equal servers are told apart
//	+ 300 for another data hall
//
// where a request's size is its prompt and ten times the most of its answer, and P rises
// with the predicted time over the objective. Times are predicted by [Reading], which
// learns what a first event takes from those that were observed (reading.go), by what
// this router and all others have at a server (server.go), and by which shared parts
// servers have read (parts.go).
//
// What others have there is asked at the moment of the choice, of a few candidates
// (candidates.go): of the process beside each engine, the [Gauge], which all routers tell
// what they send. An exchange among all routers takes 468 ms at 102 of them, longer than most
// prompts are read: nine in ten of the late first events were then at an engine that was
// thought to be idle. Measured against it on days of 102 routers, 160 engines and
// 825 requests a second: 0.03 more worth on a quiet day, 0.04 on days with trouble (five
// days, 0.579 to 0.617), and the leading keeper has no part in it. A server whose gauge does
// not answer is judged by this router's own evidence.
//
// A [Placement] is one request at its server; what becomes of
// it is what the chooser learns from (placement.go).
//
// docs/DECISIONS.md says what each term is worth, and what else was tried.
package place
