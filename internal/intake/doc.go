// Package intake serves callers' HTTP requests within limits: the size of headers and
// bodies, the time to send a request, the idle time of a connection, and the number of
// connections and the memory of all callers together.
//
// A [Server] limits connections, with limits that may change while it serves. A
// [BodyMemory] limits the memory of all request bodies held at a time. Requests over a
// limit are refused, so that the process stays well below the limits at which its host
// would kill it.
package intake
