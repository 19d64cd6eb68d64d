// Package router implements the router role: the hosts that accept callers'
// requests.
//
// A [Router] passes each request through a chain of filters, each in a file of
// its own: errors, request id, authentication, size, deadline, concurrency,
// and dispatch. Dispatch reserves tokens in the ledger, chooses a server, runs
// the request at its agent, reads the response, and settles. A router keeps soft
// state only: any router can continue a request that another one began.
package router
