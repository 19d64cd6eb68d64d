// Package gateway serves callers of a declared fleet: it is the router for
// backend servers that register themselves and have no agent.
//
// A [Gateway] takes requests that are decoded already, passes them through a
// chain of filters (settings, route, workspace, deadline, escrow), and ends in
// dispatch, which places attempts, decides what may be repeated, and relays the
// answer. What an exchange costs is in bill.go; placer.go and score.go choose servers,
// and from which one shared parts are fetched; retry.go bounds what is sent again;
// loads.go exchanges with other routers what is under way. [Gateway.Limits] tells the
// intake what callers may do. How requests and answers look to callers and to backend
// servers is the matter of implementations of [sumachead.CallerAnswer] and
// [sumachead.Dialect].
package gateway
