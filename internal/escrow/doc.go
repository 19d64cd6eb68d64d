// Package escrow lets many nodes spend prepaid budgets without a ledger call per request, and
// without ever spending more than the budget.
//
// A [Ledger] is the ledger's side: a deterministic account for each workspace that records what
// is granted to which holder. A [Wallet] is the holder's side: it spends in memory what the
// ledger granted before, and reports what it spent. An [Allocator] decides how much each holder
// should have available.
//
// Invariant: the sum of what is granted and not returned, over all holders that ever existed,
// never exceeds a workspace's total, unless the total was lowered after the grants. In that
// case nothing more is granted, and holders are asked to return what they have not spent. A
// holder that is gone counts as having spent everything that it held.
package escrow
