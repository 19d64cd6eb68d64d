package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sumachead"
)

// maxHoldersPerHall bounds the processes of a data hall that hold origins, so that a router of a
// large fleet keeps connections to few of them.
const maxHoldersPerHall = 32

// Holder is a process that holds origins.
type Holder struct {
	Address string
	Hall    sumachead.HallID
}

// limitHolders returns the holders that are used, sorted by data hall: each address once, and in each
// hall those with the lowest hashes. Routers that know nearly the same holders use nearly the same
// ones.
func limitHolders(all []Holder) []Holder {
	type hashed struct {
		Holder
		hash uint64
	}
	sorted := make([]hashed, 0, len(all))
	for _, h := range all {
		sorted = append(sorted, hashed{h, xxhash.Sum64String(h.Address)})
	}
	slices.SortFunc(sorted, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.Hall, b.Hall), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Address, b.Address))
	})
	out := make([]Holder, 0, len(all))
	inHall := 0
	for i, h := range slices.Compact(sorted) {
		if i == 0 || out[len(out)-1].Hall != h.Hall {
			inHall = 0
		}
		if inHall++; inHall <= maxHoldersPerHall {
			out = append(out, h.Holder)
		}
	}
	return out
}

// hallHolders are the holders of one stream's origin in one data hall.
type hallHolders struct {
	hall sumachead.HallID
	// first holds the origin, or substitute if first cannot be reached; substitute is empty if the
	// hall has only one holder.
	first, substitute string
	// rank orders data halls; the lowest is first.
	rank uint64
}

// rankHolders returns the holders of a stream's origin in each data hall by rendezvous hashing, in an
// order of data halls that differs between streams.
func rankHolders(k Key, holders []Holder) []hallHolders {
	var out []hallHolders
	var substituteRank uint64
	for _, h := range holders { // sorted by hall
		r := rankOf(k, h.Address)
		if len(out) == 0 || out[len(out)-1].hall != h.Hall {
			out = append(out, hallHolders{hall: h.Hall, first: h.Address, rank: r})
			continue
		}
		switch last := &out[len(out)-1]; {
		case r < last.rank:
			last.substitute, substituteRank = last.first, last.rank
			last.first, last.rank = h.Address, r
		case last.substitute == "" || r < substituteRank:
			last.substitute, substituteRank = h.Address, r
		}
	}
	slices.SortFunc(out, func(a, b hallHolders) int { return cmp.Compare(a.rank, b.rank) })
	return out
}

func rankOf(k Key, address string) uint64 {
	d := xxhash.New()
	_, _ = d.Write(k[:]) // a hash does not fail
	_, _ = d.WriteString(address)
	return d.Sum64()
}
