// Package escrow lets many nodes spend prepaid budgets without a call a
// request, and without ever spending more than there is.
//
// A [Book] is the ledger's side: a deterministic account a workspace of what is
// granted to which holder. A [Wallet] is the holder's side: it spends in memory
// what the book granted before, and reports what it spent. A [Sizer] decides
// how much each holder should have at hand.
//
// The invariant: the sum of what is granted and not returned, over all holders
// that ever were, never exceeds a workspace's total, unless the total was lowered
// after the grants; then nothing more is granted and holders are asked to return
// what they have not spent. A holder that is gone counts as having spent all that
// it held.
package escrow
