// Package agent implements the agent role: the sidecar of each backend server,
// which makes the final admission decision.
//
// An [Agent] accepts [wire.RunRequest] calls from routers, refuses as "not run"
// requests that must not start (fenced, leaving, stale settings, queue full),
// queues the others by priority for one of the server's slots, relays them, and
// counts usage. A router reads the response by offset, so that another router can
// continue after the first has crashed. A finished response is retained for
// retries, with bounds on time and size. A request that was refused here stays
// refused: a late duplicate of the same attempt never runs.
package agent
