package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/linkload"
)

// Roles of followers.
const (
	RoleRouter = "router"
	RoleRelay  = "relay"
	RoleKeeper = "keeper"
)

const (
	// followerTTL is how long a follower counts after its last follow request: several long polls.
	followerTTL = 3 * time.Second
	// expireInterval is the minimum interval between searches for expired followers: a fraction of
	// their TTL.
	expireInterval = 100 * time.Millisecond
	// relayTTL is the same for relays, which poll less often.
	relayTTL = 10 * time.Second
	// relaysPerRouter is how many relays a router is told of: enough that some are in data halls
	// that a network partition does not affect.
	relaysPerRouter = 4
	// maxRelaysPerHall is how many relays of a data hall are offered to routers: enough that some
	// remain when others are lost.
	maxRelaysPerHall = 8
	// spareRelayRetryInterval is how long a relay beyond that number waits before it asks again
	// whether it is needed. It is longer than relayTTL, so that a relay that has gone has expired
	// by then.
	spareRelayRetryInterval = 15 * time.Second
)

// follower is a node that follows this keeper.
type follower struct {
	role string
	hall sumachead.HallID
	// relay is the address where it relays connections; empty if it does not.
	relay string
	// lending is the address where it lends escrow; empty if it does not.
	lending string
	// link is how much of its link callers use; 0 if unknown.
	link linkload.Percent
	// lastSeen is when its last follow request arrived.
	lastSeen time.Time
}

// followers is the set of nodes that follow this leader; it is soft state. Every follower polls
// several times a second, so the lists that are derived from it are recomputed only when a
// follower comes, goes or changes.
type followers struct {
	mu    sync.Mutex // guards the fields below
	nodes map[sumachead.NodeID]follower
	// counts holds the number of nodes of each role.
	counts map[string]int
	// relays and lenders cache the lists per node and per hall that were requested since the last
	// change of the set.
	relays  map[sumachead.NodeID][]string
	lenders map[sumachead.HallID]lenderList
	// links sums up the use of the routers' links for each hall where some is known.
	links map[sumachead.HallID]hallLinks
	// expiredAt is when the set was last searched for expired nodes.
	expiredAt time.Time
}

// lenderList holds the addresses at which the routers of a data hall lend escrow, and a digest of
// them.
type lenderList struct {
	addresses []string
	digest    uint64
}

func newFollowers() *followers {
	f := &followers{nodes: make(map[sumachead.NodeID]follower), counts: make(map[string]int), links: make(map[sumachead.HallID]hallLinks)}
	f.invalidate()
	return f
}

// invalidate drops the cached lists. The caller holds mu.
func (f *followers) invalidate() {
	f.relays, f.lenders = make(map[sumachead.NodeID][]string), make(map[sumachead.HallID]lenderList)
}

// observe records a follow request. For a spare relay, which is not recorded, it returns how
// long the relay has to wait before it asks again; otherwise it returns 0.
func (f *followers) observe(r *wire.FollowRequest, now time.Time) (pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	if r.GetRole() == RoleRelay && f.otherRelays(r) >= maxRelaysPerHall {
		return spareRelayRetryInterval
	}
	f.upsert(sumachead.NodeID(r.GetNode()), follower{
		role: r.GetRole(), hall: sumachead.HallID(r.GetHall()), relay: r.GetRelayAddress(),
		lending: r.GetLendingAddress(), link: linkPercent(r), lastSeen: now,
	})
	return 0
}

// upsert stores what a node reports of itself. The caller holds mu.
func (f *followers) upsert(n sumachead.NodeID, x follower) {
	old, known := f.nodes[n]
	f.nodes[n] = x
	f.recordLink(old, x)
	old.lastSeen, old.link = x.lastSeen, x.link
	if known && old == x {
		return
	}
	if known {
		f.counts[old.role]--
	}
	f.counts[x.role]++
	f.invalidate()
}

// otherRelays counts the other relays in a relay's hall; it returns 0 for a relay that is already
// in the set. The caller holds mu.
func (f *followers) otherRelays(r *wire.FollowRequest) int {
	if _, ok := f.nodes[sumachead.NodeID(r.GetNode())]; ok {
		return 0
	}
	n := 0
	for _, x := range f.nodes {
		if x.role == RoleRelay && x.hall == sumachead.HallID(r.GetHall()) {
			n++
		}
	}
	return n
}

// expire removes nodes whose TTL has passed. The caller holds mu.
func (f *followers) expire(now time.Time) {
	if now.Sub(f.expiredAt) < expireInterval {
		return
	}
	f.expiredAt = now
	for n, x := range f.nodes {
		ttl := followerTTL
		if x.role == RoleRelay {
			ttl = relayTTL
		}
		if now.Sub(x.lastSeen) > ttl {
			delete(f.nodes, n)
			f.counts[x.role]--
			f.recordLink(x, follower{})
			f.invalidate()
		}
	}
}

// count returns the number of followers with a role.
func (f *followers) count(role string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[role]
}

// relaysFor returns the relays for a node: stable while none comes or goes, different for
// different nodes, and spread over the halls. The caller must not change the list.
func (f *followers) relaysFor(node string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := sumachead.NodeID(node)
	if _, ok := f.relays[n]; !ok {
		f.relays[n] = f.pickRelays(node)
	}
	return f.relays[n]
}

// pickRelays computes the list for relaysFor. The caller holds mu.
func (f *followers) pickRelays(node string) []string {
	byHall := make(map[sumachead.HallID][]string)
	for _, x := range f.nodes {
		if x.role == RoleRelay && x.relay != "" {
			byHall[x.hall] = append(byHall[x.hall], x.relay)
		}
	}
	for _, rs := range byHall {
		slices.SortFunc(rs, func(a, b string) int { return cmp.Compare(RendezvousHash(node, a), RendezvousHash(node, b)) })
	}
	var out []string
	for i := 0; len(out) < relaysPerRouter; i++ {
		before := len(out)
		for _, rs := range byHall {
			if i < len(rs) {
				out = append(out, rs[i])
			}
		}
		if len(out) == before {
			break
		}
	}
	slices.Sort(out)
	return out
}

// lendersIn returns the addresses at which the routers of a data hall lend escrow, and a digest of
// the list, which the caller must not change.
func (f *followers) lendersIn(hall sumachead.HallID) (addresses []string, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.lenders[hall]
	if !ok {
		x = f.pickLenders(hall)
		f.lenders[hall] = x
	}
	return x.addresses, x.digest
}

// pickLenders computes the list for lendersIn. The caller holds mu.
func (f *followers) pickLenders(hall sumachead.HallID) (out lenderList) {
	for _, x := range f.nodes {
		if x.lending != "" && x.hall == hall {
			out.addresses = append(out.addresses, x.lending)
		}
	}
	slices.Sort(out.addresses)
	h := fnv.New64a()
	for _, l := range out.addresses {
		_, _ = h.Write([]byte(l))
		_, _ = h.Write([]byte{0})
	}
	out.digest = h.Sum64()
	return out
}

// RendezvousHash scores a choice for a chooser (rendezvous hashing): each chooser takes the choice
// with the lowest score. Scores differ between choosers and are the same in all processes.
func RendezvousHash(chooser, choice string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(chooser))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(choice))
	return h.Sum64()
}
