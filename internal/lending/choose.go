package lending

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sumachead"
)

// lendersTried is how many lenders a request is brought to: the workspace's own and, where
// that one is down or has lost the ledger, two others that may have a way to it.
const lendersTried = 3

// choose orders the lenders for a workspace by rendezvous hashing, and returns the first
// of those that fit. All routers order alike, so that a workspace's money is at one place.
func choose(lenders []string, w sumachead.WorkspaceID, fit func(lender string) bool) []string {
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
	for _, r := range all[:min(len(all), lendersTried)] {
		out = append(out, r.lender)
	}
	return out
}
