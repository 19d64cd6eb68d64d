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

// forgetNodeAfter is how long status shows a node that has gone silent.
const forgetNodeAfter = time.Hour

// nodeTable is what this keeper knows of routers and agents. It is soft state:
// a new leader waits out one lease before it trusts the table.
type nodeTable struct {
	mu      sync.Mutex // guards the fields below
	nodes   map[string]*nodeEntry
	term    uint64
	started time.Time
	changed chan struct{}
	// silent is when each hall's keeper was last seen to be out of contact
	// with this leader.
	silent map[sumachead.HallID]time.Time
}

type nodeEntry struct {
	request  *wire.SyncRequest
	seen     time.Time
	leasedTo time.Time
}

func newNodeTable() *nodeTable {
	return &nodeTable{
		nodes: make(map[string]*nodeEntry), changed: make(chan struct{}), started: time.Now(),
		silent: make(map[sumachead.HallID]time.Time),
	}
}

// lead notes since when this keeper leads: a term that is new to the table has
// only just begun, as far as leases of the leader before are concerned.
// While the tree is still empty no node can do work, so there are no leases
// that matter.
func (t *nodeTable) lead(term uint64, emptyTree bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leadLocked(term, now)
	if emptyTree {
		t.started = now.Add(-settings.CurrencyLease)
	}
}

func (t *nodeTable) leadLocked(term uint64, now time.Time) {
	if t.term != term {
		t.term, t.started = term, now
	}
}

// saw notes a node's position. A node asks with the revision that it has in
// force, so that its next question confirms an answer.
func (t *nodeTable) saw(r *wire.SyncRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.nodes[r.GetNode()]
	if e == nil {
		e = &nodeEntry{}
		t.nodes[r.GetNode()] = e
	}
	e.request, e.seen = r, now
	close(t.changed)
	t.changed = make(chan struct{})
}

// lease notes that a node is about to be told that it is current.
func (t *nodeTable) lease(r *wire.SyncRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.nodes[r.GetNode()]; e != nil {
		e.leasedTo = now.Add(settings.CurrencyLease)
	}
}

// contact notes which halls' keepers are in contact with this leader.
func (t *nodeTable) contact(halls map[sumachead.HallID]bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for h, ok := range halls {
		if !ok {
			t.silent[h] = now
		}
	}
}

// silentHalls lists those of the halls that may be serving cut off: their
// keepers have been out of contact within the time of a lease.
func (t *nodeTable) silentHalls(halls []sumachead.HallID, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, h := range halls {
		if now.Before(t.silent[h].Add(settings.CurrencyLease)) {
			names = append(names, "data hall "+string(h))
		}
	}
	return names
}

// missing lists the nodes that may work without the revision, and a channel
// that closes when a node reports. The term is the one that this keeper leads.
func (t *nodeTable) missing(revision, term uint64, now time.Time) ([]string, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leadLocked(term, now)
	var names []string
	if now.Before(t.started.Add(settings.CurrencyLease)) {
		names = append(names, "leases of the leader before")
	}
	for name, e := range t.nodes {
		if e.request.GetRevision() >= revision {
			continue
		}
		if now.Before(e.leasedTo) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, t.changed
}

// status lists the nodes that were heard of lately.
func (t *nodeTable) status(now time.Time) []*wire.NodeStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.NodeStatus
	for name, e := range t.nodes {
		if now.Sub(e.seen) > forgetNodeAfter {
			delete(t.nodes, name)
			continue
		}
		out = append(out, &wire.NodeStatus{
			Node: name, Role: e.request.GetRole(), Hall: e.request.GetHall(), Revision: e.request.GetRevision(),
			AgeMillis: now.Sub(e.seen).Milliseconds(), Address: e.request.GetAddress(),
		})
	}
	slices.SortFunc(out, func(a, b *wire.NodeStatus) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
	return out
}
