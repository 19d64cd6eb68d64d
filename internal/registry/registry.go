// Package registry keeps the backend servers that register by heartbeat: soft
// state that is spread to all nodes, never logged.
//
// A [Table] holds one record for each life of a server. At the leader, records
// get rising versions, by which followers ask for what is new to them; at a
// follower the same table holds the copy. What a follower learns by itself, as that
// a server still beats ([Table.Refresh]) or that its life is over ([Table.Leave]),
// changes its copy without a version. A server that has said it is leaving never
// becomes ready again in that life. A table may begin with the records of an earlier
// one ([Table.Load]), which count as silent until their servers are heard of.
package registry

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

const (
	// silentBeats is how many heartbeats may be missing before a server counts
	// as silent; some come seconds late.
	silentBeats = 5
	// forgetAfter is how long the record of a life that has ended is kept, so
	// that a heartbeat that comes late does not bring it back.
	forgetAfter = 2 * time.Minute
	// forgetOwnAfter is how long a follower keeps what it has found out by itself of a life
	// that the leader may hold for ready: servers were never seen to leave for so long.
	forgetOwnAfter = time.Hour
)

// entry is one life of a server.
type entry struct {
	record *wire.ServerRecord // replaced, never changed
	// seen is when the last heartbeat came, or at a follower the record.
	seen time.Time
	// coldUntil is until when the server is cold, as far as is known.
	coldUntil time.Time
	// replaced: another life at the address goes on, and this one does not.
	replaced bool
	// ended: a later life of the server's name is known.
	ended bool
	// own: this node has found out by itself that the life leaves.
	own bool
}

// Table is a set of server records. It is safe for concurrent use. Set the
// exported fields before the first call.
type Table struct {
	// Heartbeat is the interval at which servers register.
	Heartbeat time.Duration
	// OnOver is told of each life that has ended since a later one of its name is known; nil
	// for nobody. It must not call the table.
	OnOver func(*wire.ServerRecord)

	mu sync.Mutex // guards the fields below
	// entries are by the server's id.
	entries map[string]*entry
	// version is the newest that a record got here, or that the leader told of;
	// history names the leader whose numbering it is.
	version uint64
	history string
	// leads: the numbering is this table's own. A follower that learns something by
	// itself must not number it: it would pass over a change of the leader's.
	leads bool
	// leadsSince is since when, where it leads.
	leadsSince time.Time
	// changed is closed when a record gets a new version, or comes from the leader.
	changed chan struct{}
	// changes are the newest changes, oldest first; those up to trimmed are not
	// kept any more.
	changes []change
	trimmed uint64
	// lists are the records of services as they were last asked for; nil once a record
	// has changed. Requests ask some hundred times between changes.
	lists map[listKey][]*wire.ServerRecord
	// lives are the ids of the lives at each address.
	lives map[string][]string
	// names are the ids of the last lives of servers' names, and rivals lives that seem to
	// have started before these, by their ids.
	names  map[string]string
	rivals map[string]rival
	// halls are the data halls for which there was an order, and hallsRevision is that of
	// the newest order.
	halls         map[string]hallView
	hallsRevision uint64
	// rollouts are the newest of services for which there was an order, and rolloutsRevision
	// is that of the newest change; the messages are replaced, never changed.
	rollouts         map[string]*wire.Rollout
	rolloutsRevision uint64
	// wholeAt is when a leader last told all of its records.
	wholeAt time.Time
}

// change says which record got a version.
type change struct {
	version uint64
	id      string
}

// lock takes the lock and makes the maps where they are missing.
func (t *Table) lock() {
	t.mu.Lock()
	if t.entries == nil {
		t.entries = make(map[string]*entry)
		t.changed = make(chan struct{})
	}
}

// set replaces the record of a life. The caller holds mu.
func (t *Table) set(e *entry, next *wire.ServerRecord) {
	t.index(e, next)
	e.record = next
	t.named(next)
	t.lists = nil
}

// drop forgets a life. The caller holds mu.
func (t *Table) drop(id string) {
	r := t.entries[id].record
	t.unindex(r)
	if t.names[Name(r)] == id {
		delete(t.names, Name(r))
	}
	delete(t.entries, id)
	t.lists = nil
}

// bump gives a record the next version. The caller holds mu.
func (t *Table) bump(r *wire.ServerRecord) {
	t.version++
	r.Version = t.version
	t.changes = append(t.changes, change{t.version, r.GetId()})
	t.trim()
	t.notify()
}

// trim forgets the older half of the changes when there are more than would save
// work over telling all records. The caller holds mu.
func (t *Table) trim() {
	const least = 64
	if len(t.changes) <= 2*len(t.entries)+least {
		return
	}
	half := len(t.changes) / 2
	t.trimmed = t.changes[half-1].version
	t.changes = slices.Clone(t.changes[half:])
}

// Changed returns a channel that is closed when records change.
func (t *Table) Changed() <-chan struct{} {
	t.lock()
	defer t.mu.Unlock()
	return t.changed
}

// notify wakes up those who wait for a change. The caller holds mu.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Leave marks a server's life as leaving.
func (t *Table) Leave(id string, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		e = &entry{record: &wire.ServerRecord{Id: id}}
		t.entries[id] = e
	}
	if e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING {
		return
	}
	e.seen, e.own = now, true
	t.setState(e, wire.ServerState_SERVER_STATE_LEAVING)
}

// Leaving reports whether a server's life is known to leave.
func (t *Table) Leaving(id string) bool {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING
}

// Closed reports whether a server's life is known to get nothing new: it leaves, its data hall
// is vacated, or its version is not used any more.
func (t *Table) Closed(id string) bool {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && (e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING || t.halls[e.record.GetHall()].vacated || t.useOf(e.record) == useNone)
}

// setState replaces a record by one in another state. The caller holds mu.
func (t *Table) setState(e *entry, s wire.ServerState) {
	next := proto.CloneOf(e.record)
	next.State, next.Over = s, e.ended
	t.set(e, next)
	if t.leads {
		t.bump(next)
	}
}

// Servers lists the records of a service to which requests may be sent, in no order: those
// that leave, those in vacated data halls, and those of versions that are on trial or not used
// any more are left out. Where halls are named, by their
// sorted names, only their servers are listed; nil is for all. Neither the list, which is
// the same until something changes, nor the records must be changed.
func (t *Table) Servers(service string, halls []string) []*wire.ServerRecord {
	return t.list(service, halls, useAll)
}

// of reports whether a server is of a service and in one of some halls, nil for all, and
// is not known to leave.
func (e *entry) of(service string, halls []string) bool {
	r := e.record
	return r.GetService() == service && r.GetState() != wire.ServerState_SERVER_STATE_LEAVING &&
		(halls == nil || slices.Contains(halls, r.GetHall()))
}

// Known lists the servers that are not known to leave, in no order; the records must
// not be changed.
func (t *Table) Known() []*wire.ServerRecord {
	t.lock()
	defer t.mu.Unlock()
	var out []*wire.ServerRecord
	for _, e := range t.entries {
		if e.record.GetState() != wire.ServerState_SERVER_STATE_LEAVING {
			out = append(out, e.record)
		}
	}
	return out
}

// Count returns the number of servers that are not leaving.
func (t *Table) Count() int {
	t.lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if e.record.GetState() != wire.ServerState_SERVER_STATE_LEAVING {
			n++
		}
	}
	return n
}
