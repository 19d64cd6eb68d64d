package fleet

import (
	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/linkload"
)

// maxLinkPercent bounds what a router may report, so that a wrong value has a bounded effect on the
// mean of its hall.
const maxLinkPercent linkload.Percent = 100

// hallLinks sums up the use of the links of the routers of a data hall whose use is known. Sums are
// updated with each report, so that the cost of a reply does not grow with the number of routers.
type hallLinks struct {
	routers    int
	used, room linkload.Percent
}

// add adds a router's use to the sums, or removes it if sign is -1.
func (h *hallLinks) add(p linkload.Percent, sign int) {
	if p == 0 {
		return // unknown
	}
	h.routers += sign
	h.used += p * linkload.Percent(sign)
	h.room += max(linkload.OverloadPercent-p, 0) * linkload.Percent(sign)
}

// linkPercent returns the use that a router reports; 0 if it is unknown or the node is no router.
func linkPercent(r *wire.FollowRequest) linkload.Percent {
	if r.GetRole() != RoleRouter {
		return 0
	}
	return min(linkload.Percent(r.GetLinkPercent()), maxLinkPercent)
}

// recordLink replaces the use of a node's link in the sums of its hall. The caller holds mu.
func (f *followers) recordLink(old, x follower) {
	if old.hall == x.hall && old.link == x.link {
		return
	}
	for _, c := range []struct {
		follower
		sign int
	}{{old, -1}, {x, 1}} {
		if c.link == 0 {
			continue
		}
		h := f.links[c.hall]
		h.add(c.link, c.sign)
		f.links[c.hall] = h
		if h.routers == 0 {
			delete(f.links, c.hall)
		}
	}
}

// hallLink returns the use of the links of the other routers of a router's hall; nil if none is known
// or the router does not report its own.
func (f *followers) hallLink(node sumachead.NodeID) *wire.HallLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.nodes[node]
	if x.link == 0 {
		return nil
	}
	h := f.links[x.hall]
	h.add(x.link, -1)
	if h.routers == 0 {
		return nil
	}
	return &wire.HallLink{
		Routers: uint32(h.routers), MeanPercent: uint32(h.used / linkload.Percent(h.routers)), RoomPercent: uint32(h.room),
	}
}
