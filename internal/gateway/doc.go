// Package gateway implements the router of a declared fleet: it serves callers' requests on backend
// servers that register themselves and have no agent.
//
// A [Gateway] takes decoded requests, passes them through a chain of filters (settings, route,
// workspace, deadline, escrow) and ends in dispatch, which places attempts, decides what may be
// retried and relays the response. Package place schedules requests to servers and decides from
// which server shared prompt parts are fetched; candidates.go lists the servers to choose from.
// Package waitpolicy decides how long a request waits for a resource that is not available yet.
// bill.go computes the cost of a request, trackers.go queries the load
// trackers beside engines, and lending.go lends and borrows escrow. [Gateway.Limits] tells the
// intake the limits for callers. Implementations of [sumachead.CallerResponse] and
// [sumachead.Dialect] define the formats used towards callers and backend servers.
package gateway
