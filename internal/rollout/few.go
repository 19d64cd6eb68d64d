package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"

	"sumachead/api/wire"
)

const (
	// fewPart is the part of the servers of the target version that get the samples: as they
	// get about that part of the requests, each has as many as it will have after the move, and
	// a version that is bad under load shows it.
	fewPart = 0.1
	// fewLeast is the least number of them, so that one that fails alone stands out.
	fewLeast = 3
)

// Few picks the servers of the target version that get the samples, the same at all routers, out
// of those that are fit.
func Few(servers []*wire.ServerRecord, fit func(*wire.ServerRecord) bool) []*wire.ServerRecord {
	out := slices.Clone(servers)
	out = slices.DeleteFunc(out, func(r *wire.ServerRecord) bool { return !fit(r) })
	slices.SortFunc(out, func(a, b *wire.ServerRecord) int { return cmp.Compare(lot(a), lot(b)) })
	n := max(int(fewPart*float64(len(servers)))+1, fewLeast)
	return out[:min(n, len(out))]
}

// lot draws a server's place among those of its version.
func lot(r *wire.ServerRecord) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.GetId())) // a hash takes everything
	return h.Sum64()
}
