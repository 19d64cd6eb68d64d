// Package gateway serves callers of a declared fleet: it is the router for
// backend servers that register themselves and have no agent.
//
// A [Gateway] takes requests that are decoded already, passes them through a
// chain of filters (settings, route, workspace, deadline, escrow), and ends in
// dispatch, which places attempts, decides what may be repeated, and relays the
// answer. Package place chooses servers, and from which one shared parts are fetched;
// candidates.go says which servers there are to choose from. Package patience says how
// long a request waits for what it lacks. What an exchange costs is in bill.go; retry.go
// bounds what is sent again; gauges.go asks the processes beside engines what is under way
// there, and lending.go takes part in the lending of escrow. [Gateway.Limits] tells the intake what callers may do. How requests and answers look to callers and to backend
// servers is the matter of implementations of [sumachead.CallerAnswer] and
// [sumachead.Dialect].
package gateway
