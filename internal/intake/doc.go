// Package intake takes in callers' HTTP within limits: how much a caller may send
// and how long that may take, how long a connection may rest, and how many
// connections and how much memory callers may use in all.
//
// A [Server] bounds connections, by limits that may change while it serves. A
// [Memory] bounds the bodies that are held at a time. What is over a limit is
// refused; the process never comes near the limits at which its host kills it.
package intake
