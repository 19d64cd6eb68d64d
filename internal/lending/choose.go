package lending

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sumachead"
)

// maxLenders is how many lenders a request tries: the workspace's own and, if that one is down
// or cannot reach the ledger, two others that may reach it.
const maxLenders = 3

// chooseLenders orders the lenders for a workspace by rendezvous hashing and returns the first
// eligible ones. All routers use the same order, so that a workspace's tokens are in one place.
func chooseLenders(lenders []string, w sumachead.WorkspaceID, fit func(lender string) bool) []string {
	type ranked struct {
		lender string
		rank   uint64
	}
	all := make([]ranked, 0, len(lenders))
	for _, l := range lenders {
		if fit(l) {
			all = append(all, ranked{l, xxhash.Sum64String(string(w) + "\x00" + l)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var out []string
	for _, r := range all[:min(len(all), maxLenders)] {
		out = append(out, r.lender)
	}
	return out
}
