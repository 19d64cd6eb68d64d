package keeper

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

// nodeRetention is how long the status shows a node after its last sync call.
const nodeRetention = time.Hour

// nodeTable tracks routers and agents by their sync calls. It is soft state: a
// new leader waits for one lease duration before it trusts the table.
type nodeTable struct {
	mu        sync.Mutex // guards the fields below
	nodes     map[string]*nodeEntry
	term      uint64
	termStart time.Time
	changed   chan struct{}
	// lastUnreachable is when each hall's keeper was last found disconnected
	// from this leader.
	lastUnreachable map[sumachead.HallID]time.Time
}

type nodeEntry struct {
	request     *wire.SyncRequest
	lastSeen    time.Time
	leaseExpiry time.Time
}

func newNodeTable() *nodeTable {
	return &nodeTable{
		nodes: make(map[string]*nodeEntry), changed: make(chan struct{}), termStart: time.Now(),
		lastUnreachable: make(map[sumachead.HallID]time.Time),
	}
}

// startTerm records the term that this keeper leads. Leases of the previous
// leader are counted from when the table first sees the term. While the settings
// tree is empty, no node can work, so there are no such leases.
func (t *nodeTable) startTerm(term uint64, emptyTree bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTermLocked(term, now)
	if emptyTree {
		t.termStart = now.Add(-settings.FreshnessLease)
	}
}

func (t *nodeTable) startTermLocked(term uint64, now time.Time) {
	if t.term != term {
		t.term, t.termStart = term, now
	}
}

// observe records the revision of a node. A node sends the revision that it
// applies, so its next call acknowledges the previous reply.
func (t *nodeTable) observe(r *wire.SyncRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.nodes[r.GetNode()]
	if e == nil {
		e = &nodeEntry{}
		t.nodes[r.GetNode()] = e
	}
	e.request, e.lastSeen = r, now
	close(t.changed)
	t.changed = make(chan struct{})
}

// recordLease records that a node is about to get a confirmation that it is current.
func (t *nodeTable) recordLease(r *wire.SyncRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.nodes[r.GetNode()]; e != nil {
		e.leaseExpiry = now.Add(settings.FreshnessLease)
	}
}

// recordConnectedHalls updates lastUnreachable for the halls whose keepers are not
// connected to this leader.
func (t *nodeTable) recordConnectedHalls(halls map[sumachead.HallID]bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for h, ok := range halls {
		if !ok {
			t.lastUnreachable[h] = now
		}
	}
}

// unreachableHalls lists those of the halls that may be serving while cut off:
// their keepers were disconnected at some time within the last lease duration.
func (t *nodeTable) unreachableHalls(halls []sumachead.HallID, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, h := range halls {
		if now.Before(t.lastUnreachable[h].Add(settings.FreshnessLease)) {
			names = append(names, "data hall "+string(h))
		}
	}
	return names
}

// outdatedNodes lists the nodes that may still work with an older revision, and
// returns a channel that is closed at the next sync call. The term is the one
// that this keeper leads.
func (t *nodeTable) outdatedNodes(revision, term uint64, now time.Time) ([]string, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTermLocked(term, now)
	var names []string
	if now.Before(t.termStart.Add(settings.FreshnessLease)) {
		names = append(names, "leases of the leader before")
	}
	for name, e := range t.nodes {
		if e.request.GetRevision() >= revision {
			continue
		}
		if now.Before(e.leaseExpiry) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, t.changed
}

// status lists the nodes seen within nodeRetention.
func (t *nodeTable) status(now time.Time) []*wire.NodeStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.NodeStatus
	for name, e := range t.nodes {
		if now.Sub(e.lastSeen) > nodeRetention {
			delete(t.nodes, name)
			continue
		}
		out = append(out, &wire.NodeStatus{
			Node: name, Role: e.request.GetRole(), Hall: e.request.GetHall(), Revision: e.request.GetRevision(),
			AgeMillis: now.Sub(e.lastSeen).Milliseconds(), Address: e.request.GetAddress(),
		})
	}
	slices.SortFunc(out, func(a, b *wire.NodeStatus) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
	return out
}
