package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
)

// partKey is the hash of a part's id. A collision only makes the estimate of cached parts wrong.
type partKey uint64

// part is one part of a prompt.
type part struct {
	key    partKey
	tokens sumachead.Tokens
}

// partsOf returns a prompt's parts in order.
func partsOf(w *Request) []part {
	out := make([]part, len(w.Parts))
	for i, p := range w.Parts {
		out[i] = part{partKey(xxhash.Sum64String(p.ID)), p.Tokens}
	}
	return out
}

// minPartsToShare is the minimum number of parts of a prompt that shares any: the last part is
// its own.
const minPartsToShare = 2

// sharedParts returns a prompt's parts without the last, which belongs to the request alone.
func sharedParts(parts []part) []part { return parts[:max(len(parts)-1, 0)] }

// totalTokens returns the sum of the sizes of parts.
func totalTokens(parts []part) sumachead.Tokens {
	var sum sumachead.Tokens
	for _, p := range parts {
		sum += p.tokens
	}
	return sum
}

// affinityKey returns the part that determines a prompt's preferred server: the last shared one.
func affinityKey(parts []part) partKey {
	if len(parts) == 0 {
		return 0
	}
	return parts[max(len(parts)-2, 0)].key
}

// affinityHash ranks a server for a prompt. All routers compute the same rank, so that requests
// with the same shared parts go to one server.
func affinityHash(k partKey, s *server) uint64 { return mixBits(uint64(k) ^ s.hash) }

// mixBits is the finalizer of MurmurHash3: without it, servers would be in the same order for
// each prompt.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// PartKeys returns the hashes of the ids of a prompt's parts, as load trackers know them.
func (w *Request) PartKeys() []uint64 {
	var out []uint64
	for _, p := range partsOf(w) {
		out = append(out, uint64(p.key))
	}
	return out
}

// partLocations records where the shared parts of a prompt are cached.
type partLocations struct {
	parts  []part
	shared []part
	// preferred is the server to which all routers send the prompt first; empty for a prompt
	// without parts.
	preferred string
	// cached is the number of tokens of the shared parts at the server that has most of them as
	// far as is known; 0 if none has any.
	cached sumachead.Tokens
	// sources are, for each software version, the server that has most of them: servers can only
	// use what their own version has cached.
	sources []fetchSource
}

// fetchSource is a server from which others of its software version may fetch shared parts.
type fetchSource struct {
	software, id, address string
	cached                sumachead.Tokens
}

// addSource adds a server that has a number of tokens of the shared parts cached.
func (o *partLocations) addSource(r *wire.ServerRecord, cached sumachead.Tokens) {
	o.cached = max(o.cached, cached)
	h := fetchSource{r.GetSoftware(), r.GetId(), r.GetAddress(), cached}
	i := slices.IndexFunc(o.sources, func(x fetchSource) bool { return x.software == h.software })
	switch {
	case i < 0:
		o.sources = append(o.sources, h)
	case cached > o.sources[i].cached:
		o.sources[i] = h
	}
}

// sourceFor returns the server from which r may fetch shared parts; the zero value if
// there is none.
func (o *partLocations) sourceFor(r *wire.ServerRecord) fetchSource {
	for _, h := range o.sources {
		if h.software == r.GetSoftware() && h.id != r.GetId() {
			return h
		}
	}
	return fetchSource{}
}

// locateParts finds where a request's shared parts are cached. The caller holds mu.
func (c *Scheduler) locateParts(records []*wire.ServerRecord, w *Request, now time.Time) partLocations {
	o := partLocations{parts: partsOf(w)}
	o.shared = sharedParts(o.parts)
	if len(o.parts) == 0 {
		return o
	}
	key := affinityKey(o.parts)
	var lowest uint64
	for _, r := range records {
		if r.GetState() != wire.ServerState_SERVER_STATE_READY {
			continue
		}
		s := c.server(sumachead.ServerID(r.GetId()))
		if a := affinityHash(key, s); o.preferred == "" || a < lowest {
			o.preferred, lowest = r.GetId(), a
		}
		if has := s.cachedTokens(o.shared); has > 0 && !now.Before(s.ejectedUntil) {
			o.addSource(r, has)
		}
	}
	return o
}

// recomputedTokens returns how many tokens of the shared parts a server with some of them would
// prefill although they are cached elsewhere. If no server is known to have any, it is 0 at the
// preferred server, which prefills them for the first time.
func (o *partLocations) recomputedTokens(s *server, has sumachead.Tokens) sumachead.Tokens {
	if o.cached == 0 && string(s.id) == o.preferred {
		return 0
	}
	return max(totalTokens(o.shared)-has, 0)
}
