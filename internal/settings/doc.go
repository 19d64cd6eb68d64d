// Package settings implements the tree of settings with which operators
// configure a running system.
//
// The tree is a set of objects, each at its own path: branches, workspaces,
// budgets, top-ups, pools and backend servers ([Branch], [Workspace],
// [Budget], [Topup], [Pool], [Server]). A branch inherits from its parent, and
// a workspace from its branch, every value that it does not override. A [Tree]
// is validated as a whole and immutable: [Tree.With] returns a new one.
// [Machine] is the replicated state machine with its change history. A [View]
// is the resolved form that routers and agents use.
package settings
