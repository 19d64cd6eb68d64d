// Package settings holds the tree of settings by which operators drive the
// system.
//
// The tree is a set of objects, each at a path of its own: branches,
// workspaces, budgets, top-ups, pools and backend servers ([Branch],
// [Workspace], [Budget], [Topup], [Pool], [Server]). A branch inherits from
// its parent, and a workspace from its branch, whatever it does not override.
// A [Tree] is checked as a whole and never changed: [Tree.With] returns
// another. [Machine] is the replicated state with its history; a [View] is what
// a router or an agent works from, with inheritance resolved.
package settings
