package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
)

// partKey is the hash of a part's id. Two parts with one key would only make a wrong
// guess of what a server has.
type partKey uint64

// part is a part of a prompt.
type part struct {
	key    partKey
	tokens sumachead.Tokens
}

// partsOf returns a prompt's parts in order.
func partsOf(w *Work) []part {
	out := make([]part, len(w.Parts))
	for i, p := range w.Parts {
		out[i] = part{partKey(xxhash.Sum64String(p.ID)), p.Tokens}
	}
	return out
}

// leastShared is how many parts a prompt has at least if it shares any: the last is its own.
const leastShared = 2

// sharedOf are a prompt's parts without the last, which is the request's own.
func sharedOf(parts []part) []part { return parts[:max(len(parts)-1, 0)] }

// total adds up the sizes of parts.
func total(parts []part) sumachead.Tokens {
	var sum sumachead.Tokens
	for _, p := range parts {
		sum += p.tokens
	}
	return sum
}

// homeKey is the part by which a prompt has its home: the last shared one.
func homeKey(parts []part) partKey {
	if len(parts) == 0 {
		return 0
	}
	return parts[max(len(parts)-2, 0)].key
}

// affinity ranks a server for a prompt: all routers rank alike, so that requests
// with the same shared parts meet.
func affinity(k partKey, s *server) uint64 { return mix(uint64(k) ^ s.draw) }

// mix spreads a number's bits, as the end of a hash does: without it, servers would
// keep their order from prompt to prompt.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Keys returns the hashes of the ids of a prompt's parts, as gauges know them.
func (w *Work) Keys() []uint64 {
	var out []uint64
	for _, p := range partsOf(w) {
		out = append(out, uint64(p.key))
	}
	return out
}

// offer is where the shared parts of a prompt are.
type offer struct {
	parts  []part
	shared []part
	// home is the server to which all routers send the prompt first; empty for a
	// prompt without parts.
	home string
	// has, id and address are of the server that has most of the shared parts, as far
	// as is known; 0 where nobody has any.
	has     sumachead.Tokens
	id      string
	address string
}

// offer finds where a request's shared parts are. The caller holds mu.
func (c *Chooser) offer(records []*wire.ServerRecord, w *Work, now time.Time) offer {
	o := offer{parts: partsOf(w)}
	o.shared = sharedOf(o.parts)
	if len(o.parts) == 0 {
		return o
	}
	key := homeKey(o.parts)
	var least uint64
	for _, r := range records {
		if r.GetState() != wire.ServerState_SERVER_STATE_READY {
			continue
		}
		s := c.server(sumachead.ServerID(r.GetId()))
		if a := affinity(key, s); o.home == "" || a < least {
			o.home, least = r.GetId(), a
		}
		if has := s.cached(o.shared); has > o.has && !now.Before(s.suspectTo) {
			o.has, o.address, o.id = has, r.GetAddress(), r.GetId()
		}
	}
	return o
}

// again returns how many tokens of the shared parts would be read at a server although
// they should be elsewhere, if it has some of them. Where nobody is known to have any,
// requests meet at the home: reading them there is the first time.
func (o *offer) again(s *server, has sumachead.Tokens) sumachead.Tokens {
	if o.has == 0 && string(s.id) == o.home {
		return 0
	}
	return max(total(o.shared)-has, 0)
}
