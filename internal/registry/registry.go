// Package registry keeps the backend servers that register by heartbeat: soft state that is
// replicated to all nodes and never written to the log.
//
// A [Table] holds one record for each incarnation of a server. At the leader, records get
// increasing versions, by which followers request the changes since the version they have; at a
// follower the same table holds the copy. What a follower observes locally, such as that a
// server still sends heartbeats ([Table.Refresh]) or is leaving ([Table.MarkLeaving]), changes
// its copy without a new version. A server that has announced that it is leaving never becomes
// ready again in that incarnation. A table may be initialized with the records of an earlier
// one ([Table.Restore]), which count as silent until heartbeats of their servers arrive.
package registry

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

const (
	// maxMissedHeartbeats is how many heartbeats may be missing before a server counts as
	// silent; some arrive seconds late.
	maxMissedHeartbeats = 5
	// recordRetention is how long the record of an incarnation that has ended is kept, so that
	// a late heartbeat does not add it again.
	recordRetention = 2 * time.Minute
	// localRetention is how long a follower keeps the local observation that an incarnation is
	// leaving, which the leader may consider ready. No server was seen to take that long to leave.
	localRetention = time.Hour
)

// entry is one incarnation of a server.
type entry struct {
	record *wire.ServerRecord // replaced, never modified
	// lastSeen is when the last heartbeat arrived, or at a follower the record.
	lastSeen time.Time
	// coldUntil is the latest known end of the server's cold time.
	coldUntil time.Time
	// replaced is set if another incarnation runs at the address instead of this one.
	replaced bool
	// superseded is set if a later incarnation of the server's name is known.
	superseded bool
	// leftLocally is set if this node has observed by itself that the incarnation is leaving.
	leftLocally bool
}

// Table is a set of server records. It is safe for concurrent use. The exported fields must be
// set before the first call.
type Table struct {
	// Heartbeat is the interval at which servers register.
	Heartbeat time.Duration
	// OnSuperseded is called for each incarnation that ended because a later one of its name is
	// known; it may be nil. It must not call the table.
	OnSuperseded func(*wire.ServerRecord)

	mu sync.Mutex // guards the fields below
	// entries maps the ids of incarnations to their entries.
	entries map[string]*entry
	// version is the newest version assigned here or received from the leader, and history
	// names the leader that assigns versions.
	version uint64
	history string
	// leading is set if this table assigns the versions. A follower must not assign a version
	// to what it observes locally, or it would miss the leader's change with that version.
	leading bool
	// leadingSince is when the table last started leading.
	leadingSince time.Time
	// changed is closed when a record gets a new version or arrives from the leader.
	changed chan struct{}
	// changes are the newest changes, oldest first; those up to trimmedVersion have been
	// dropped.
	changes        []change
	trimmedVersion uint64
	// listCache holds the lists of records that were last requested; nil once a record has
	// changed. Requests need them some hundred times between changes.
	listCache map[listKey][]*wire.ServerRecord
	// idsByAddress maps an address to the ids of the incarnations there.
	idsByAddress map[string][]string
	// latestByName maps the names of servers to the ids of their latest incarnations, and
	// contenders holds by id the incarnations that report an earlier start than these.
	latestByName map[string]string
	contenders   map[string]contender
	// halls are the data halls for which an order was given, and hallsRevision is the revision
	// of the newest order.
	halls         map[string]hallStatus
	hallsRevision uint64
	// rollouts are the newest rollouts of services for which an order was given, and
	// rolloutsRevision is the revision of the newest change. The messages are replaced, never
	// modified.
	rollouts         map[string]*wire.Rollout
	rolloutsRevision uint64
	// fullSyncAt is when a leader last sent all of its records.
	fullSyncAt time.Time
	// listing is the list of all records that a leader is sending; nil if it is complete.
	listing *listing
	// services are the declared services, as of the declaration with number servicesNumber; nil before the
	// first one.
	services       map[string]bool
	servicesNumber uint64
}

// change records which incarnation's record got a version.
type change struct {
	version uint64
	id      string
}

// lock acquires mu and initializes the table at the first call.
func (t *Table) lock() {
	t.mu.Lock()
	if t.entries == nil {
		t.entries = make(map[string]*entry)
		t.changed = make(chan struct{})
	}
}

// setRecord replaces the record of an incarnation. The caller holds mu.
func (t *Table) setRecord(e *entry, next *wire.ServerRecord) {
	t.indexAddress(e, next)
	e.record = next
	t.updateLatest(next)
	t.listCache = nil
}

// drop removes an incarnation. The caller holds mu.
func (t *Table) drop(id string) {
	r := t.entries[id].record
	t.unindexAddress(r)
	if t.latestByName[ServerName(r)] == id {
		delete(t.latestByName, ServerName(r))
	}
	delete(t.entries, id)
	t.listCache = nil
}

// assignVersion assigns the next version to a record. The caller holds mu.
func (t *Table) assignVersion(r *wire.ServerRecord) {
	t.version++
	r.Version = t.version
	t.changes = append(t.changes, change{t.version, r.GetId()})
	t.trim()
	t.notify()
}

// trim drops the older half of the changes once there are so many that sending all records is
// cheaper. The caller holds mu.
func (t *Table) trim() {
	const minChanges = 64
	if len(t.changes) <= 2*len(t.entries)+minChanges {
		return
	}
	half := len(t.changes) / 2
	t.trimmedVersion = t.changes[half-1].version
	t.changes = slices.Clone(t.changes[half:])
}

// Changed returns a channel that is closed when records change.
func (t *Table) Changed() <-chan struct{} {
	t.lock()
	defer t.mu.Unlock()
	return t.changed
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// MarkLeaving marks an incarnation of a server as leaving.
func (t *Table) MarkLeaving(id string, now time.Time) {
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
	e.lastSeen, e.leftLocally = now, true
	t.setState(e, wire.ServerState_SERVER_STATE_LEAVING)
}

// IsLeaving reports whether an incarnation of a server is known to be leaving.
func (t *Table) IsLeaving(id string) bool {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING
}

// IsExcluded reports whether an incarnation of a server is known to get no new requests: it is
// leaving, its data hall is vacated, or its version is no longer used.
func (t *Table) IsExcluded(id string) bool {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && (e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING || t.halls[e.record.GetHall()].vacated || t.trafficOf(e.record) == trafficNone)
}

// setState replaces a record by a copy in another state. The caller holds mu.
func (t *Table) setState(e *entry, s wire.ServerState) {
	next := proto.CloneOf(e.record)
	next.State, next.Over = s, e.superseded
	t.setRecord(e, next)
	if t.leading {
		t.assignVersion(next)
	}
}

// Servers lists the records of a service to which requests may be sent, in no order. It omits
// servers that are leaving, those in vacated data halls, and those of canary versions and of
// versions that are no longer used. If halls, a sorted list of names, is not nil, only their
// servers are listed. Neither the list, which is cached until something changes, nor the
// records may be modified.
func (t *Table) Servers(service string, halls []string) []*wire.ServerRecord {
	return t.list(service, halls, trafficAll)
}

// serves reports whether a server belongs to a service and to one of the given halls, nil for
// all, and is not known to be leaving.
func (e *entry) serves(service string, halls []string) bool {
	r := e.record
	return r.GetService() == service && r.GetState() != wire.ServerState_SERVER_STATE_LEAVING &&
		(halls == nil || slices.Contains(halls, r.GetHall()))
}

// Records lists the records of servers that are not known to be leaving, in no order. The
// records must not be modified.
func (t *Table) Records() []*wire.ServerRecord {
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
