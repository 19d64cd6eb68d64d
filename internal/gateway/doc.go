// Package gateway serves callers of a declared fleet: it is the router for
// backend servers that register themselves and have no agent.
//
// A [Gateway] takes requests that are decoded already, passes them through a
// chain of filters (settings, route, workspace, deadline, escrow), and ends in
// dispatch, which places attempts, decides what may be repeated, and relays the
// answer. How requests and answers look to callers and to backend servers is the
// matter of implementations of [sumachead.CallerAnswer] and [sumachead.Dialect].
package gateway
