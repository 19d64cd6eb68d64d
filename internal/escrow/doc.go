// Package escrow lets many nodes spend prepaid budgets without a ledger call per request, and
// without ever spending more than the budget.
//
// A [Ledger] is the ledger's side: a deterministic account for each workspace that records what
// is granted to which holder. A [Wallet] is the holder's side: it spends in memory what the
// ledger granted before, and reports what it spent. An [Allocator] decides how much each holder
// should have available.
//
// The allocator also keeps, as soft state from the reports, what is left of each budget: what is
// neither spent nor expected to be billed for requests in flight, wherever it is held. With its
// answers it tells holders which bounds no longer fit, so that the end of a budget is not
// reported as an unreachable ledger, and whether what is left is reserved for urgent requests
// (forecast.go decides, budgetdemand.go keeps the sums, liveness.go says how long holders count as
// live).
//
// Invariant: the sum of what is granted and not returned, over all holders that ever existed,
// never exceeds a workspace's total, unless the total was lowered after the grants. In that
// case nothing more is granted, and holders are asked to return what they have not spent. A
// holder that is gone counts as having spent everything that it held, or what its spend limit
// allowed if it is known to have kept within that to the end (spendlimit.go, contacts.go).
package escrow
