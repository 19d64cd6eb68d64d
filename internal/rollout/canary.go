package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"

	"sumachead/api/wire"
)

const (
	// canaryFraction is the fraction of the servers of the target version that receive the sampled
	// requests. It is about the fraction of requests that are sampled, so that each server has the
	// same load as after the move, which reveals a version that fails under load.
	canaryFraction = 0.1
	// minCanaries is the minimum number of canary servers, so that a single faulty one stands out.
	minCanaries = 3
)

// CanaryServers returns the servers of the target version that receive the sampled requests, out of
// those that are usable. All routers choose the same ones.
func CanaryServers(servers []*wire.ServerRecord, usable func(*wire.ServerRecord) bool) []*wire.ServerRecord {
	out := slices.Clone(servers)
	out = slices.DeleteFunc(out, func(r *wire.ServerRecord) bool { return !usable(r) })
	slices.SortFunc(out, func(a, b *wire.ServerRecord) int { return cmp.Compare(idHash(a), idHash(b)) })
	n := max(int(canaryFraction*float64(len(servers)))+1, minCanaries)
	return out[:min(n, len(out))]
}

// idHash returns a hash of a server's ID, which gives a pseudorandom order.
func idHash(r *wire.ServerRecord) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.GetId())) // a hash never returns an error
	return h.Sum64()
}
