// Package router is the role of the entry hosts: it takes callers' requests.
//
// A [Router] passes each request through a chain of filters, each in a file of
// its own: errors, request id, authentication, size, deadline, concurrency,
// and dispatch. Dispatch reserves at the ledger, places, runs at an agent,
// reads the answer, and settles. It keeps soft state only: any router can go on
// with a request that another one began.
package router
