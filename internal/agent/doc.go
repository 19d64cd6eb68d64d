// Package agent is the role beside each backend server: the last gate before
// it.
//
// An [Agent] takes [wire.RunRequest] calls from routers, refuses as "not run"
// what must not start (fenced, leaving, stale settings, no room), lets the rest
// wait by priority for one of the server's slots, relays it, and counts usage.
// A router reads the answer by offset, so that another router can go on after
// the first has died; a finished answer is kept for retries for a bounded time
// and size. A request that was refused here stays refused: a late copy of the
// same attempt never runs.
package agent
