package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// Roles of followers.
const (
	RoleRouter = "router"
	RoleRelay  = "relay"
	RoleKeeper = "keeper"
)

const (
	// followerLives is how long a follower counts after its last question: some
	// holds of a question.
	followerLives = 3 * time.Second
	// expireEvery is how often it is looked for followers that have gone: a part of how long
	// they live.
	expireEvery = 100 * time.Millisecond
	// relayLives is the same for relays, which ask less often.
	relayLives = 10 * time.Second
	// relaysEach is how many relays a router is told of: enough that some are
	// in halls that a cut has not reached.
	relaysEach = 4
	// relaysInHall is how many relays of a hall are told to routers: enough that
	// the loss of some leaves a way.
	relaysInHall = 8
	// spareRelayPause is how long a relay beyond these waits before it asks again
	// whether it is needed: longer than relayLives, after which one that has gone
	// does not count any more.
	spareRelayPause = 15 * time.Second
)

// follower is one node that follows.
type follower struct {
	role string
	hall sumachead.HallID
	// relay is where it relays connections; empty for none.
	relay string
	// lending is where it lends escrow; empty where it does not.
	lending string
	// seen is when its last question came.
	seen time.Time
}

// followers is who follows this leader; soft state. What followers are told of each other is made
// anew only when somebody comes or goes: each of them asks some times a second.
type followers struct {
	mu    sync.Mutex // guards the fields below
	nodes map[sumachead.NodeID]follower
	// counts are how many nodes there are of each role.
	counts map[string]int
	// relays are those of each node, and lenders those of each hall, as far as they were asked
	// for since somebody came or went.
	relays  map[sumachead.NodeID][]string
	lenders map[sumachead.HallID]lenders
	// expiredAt is when it was last looked for nodes that have gone.
	expiredAt time.Time
}

// lenders is where the routers of a data hall lend escrow, with a digest of the list.
type lenders struct {
	addresses []string
	digest    uint64
}

func newFollowers() *followers {
	f := &followers{nodes: make(map[sumachead.NodeID]follower), counts: make(map[string]int)}
	f.changed()
	return f
}

// changed forgets what was made of those who follow. The caller holds mu.
func (f *followers) changed() {
	f.relays, f.lenders = make(map[sumachead.NodeID][]string), make(map[sumachead.HallID]lenders)
}

// saw notes a question. For a relay that is not needed, which is not noted, it
// returns how long that should wait before it asks again; 0 for all others.
func (f *followers) saw(r *wire.FollowRequest, now time.Time) (pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	if r.GetRole() == RoleRelay && f.relaysBeside(r) >= relaysInHall {
		return spareRelayPause
	}
	f.note(sumachead.NodeID(r.GetNode()), follower{
		role: r.GetRole(), hall: sumachead.HallID(r.GetHall()), relay: r.GetRelayAddress(),
		lending: r.GetLendingAddress(), seen: now,
	})
	return 0
}

// note keeps what a node tells of itself. The caller holds mu.
func (f *followers) note(n sumachead.NodeID, x follower) {
	old, known := f.nodes[n]
	f.nodes[n] = x
	old.seen = x.seen
	if known && old == x {
		return
	}
	if known {
		f.counts[old.role]--
	}
	f.counts[x.role]++
	f.changed()
}

// relaysBeside counts the other relays of a relay's hall; 0 for one that is counted
// already. The caller holds mu.
func (f *followers) relaysBeside(r *wire.FollowRequest) int {
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

// expire forgets who has not asked for long. The caller holds mu.
func (f *followers) expire(now time.Time) {
	if now.Sub(f.expiredAt) < expireEvery {
		return
	}
	f.expiredAt = now
	for n, x := range f.nodes {
		lives := followerLives
		if x.role == RoleRelay {
			lives = relayLives
		}
		if now.Sub(x.seen) > lives {
			delete(f.nodes, n)
			f.counts[x.role]--
			f.changed()
		}
	}
}

// count returns how many followers of a role there are.
func (f *followers) count(role string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[role]
}

// relaysFor picks relays for a node: always the same while none comes or goes,
// different ones for different nodes, and one of each hall first. The list must not be
// changed.
func (f *followers) relaysFor(node string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := sumachead.NodeID(node)
	if _, ok := f.relays[n]; !ok {
		f.relays[n] = f.pickRelays(node)
	}
	return f.relays[n]
}

// pickRelays is relaysFor made anew. The caller holds mu.
func (f *followers) pickRelays(node string) []string {
	byHall := make(map[sumachead.HallID][]string)
	for _, x := range f.nodes {
		if x.role == RoleRelay && x.relay != "" {
			byHall[x.hall] = append(byHall[x.hall], x.relay)
		}
	}
	for _, rs := range byHall {
		slices.SortFunc(rs, func(a, b string) int { return cmp.Compare(Rank(node, a), Rank(node, b)) })
	}
	var out []string
	for i := 0; len(out) < relaysEach; i++ {
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

// lendersOf lists where the routers of a data hall lend escrow, with a digest of the list, which
// must not be changed.
func (f *followers) lendersOf(hall sumachead.HallID) (addresses []string, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.lenders[hall]
	if !ok {
		x = f.pickLenders(hall)
		f.lenders[hall] = x
	}
	return x.addresses, x.digest
}

// pickLenders is lendersOf made anew. The caller holds mu.
func (f *followers) pickLenders(hall sumachead.HallID) (out lenders) {
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

// Rank orders choices differently for each chooser, and alike at all processes: the least is
// chosen (rendezvous hashing).
func Rank(chooser, choice string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(chooser))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(choice))
	return h.Sum64()
}
