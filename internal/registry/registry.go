// Package registry keeps the backend servers that register by heartbeat: soft
// state that is spread to all nodes, never logged.
//
// A [Table] holds one record for each life of a server. At the leader, records
// get rising versions, by which followers ask for what is new to them; at a
// follower the same table holds the copy. A server that has said it is leaving
// never becomes ready again in that life.
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
)

type entry struct {
	record *wire.ServerRecord // replaced, never changed
	seen   time.Time
}

// Table is a set of server records. It is safe for concurrent use. Set the
// exported field before the first call.
type Table struct {
	// Heartbeat is the interval at which servers register.
	Heartbeat time.Duration

	mu      sync.Mutex // guards the fields below
	entries map[string]*entry
	version uint64
	history string
	changed chan struct{}
}

// lock takes the lock and makes the maps where they are missing.
func (t *Table) lock() {
	t.mu.Lock()
	if t.entries == nil {
		t.entries = make(map[string]*entry)
		t.changed = make(chan struct{})
	}
}

// bump gives a record the next version. The caller holds mu.
func (t *Table) bump(r *wire.ServerRecord) {
	t.version++
	r.Version = t.version
	close(t.changed)
	t.changed = make(chan struct{})
}

// Lead starts a numbering of its own, under a name that no other leader uses.
// The servers' ages start anew: this node may not have heard their heartbeats.
func (t *Table) Lead(history string, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	if t.history == history {
		return
	}
	t.history = history
	for _, e := range t.entries {
		e.seen = now
	}
}

// Beat takes in a heartbeat; one that is older than what is known changes
// nothing. It reports whether the record's state is new to the table.
func (t *Table) Beat(r *wire.ServerRecord, now time.Time) (news bool) {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[r.GetId()]
	if e == nil {
		e = &entry{}
		t.entries[r.GetId()] = e
	}
	if e.record != nil && r.GetSequence() < e.record.GetSequence() {
		return false
	}
	e.seen = now
	next := proto.CloneOf(r)
	if e.record != nil {
		next.Version = e.record.GetVersion()
		if e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING {
			next.State = wire.ServerState_SERVER_STATE_LEAVING
		}
	}
	news = e.record == nil || !sameForFollowers(e.record, next)
	e.record = next
	if news {
		t.bump(next)
	}
	return news
}

func sameForFollowers(a, b *wire.ServerRecord) bool {
	return a.GetState() == b.GetState() && a.GetAddress() == b.GetAddress() &&
		a.GetService() == b.GetService() && a.GetSlots() == b.GetSlots() && a.GetHall() == b.GetHall()
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
	e.seen = now
	t.setState(e, wire.ServerState_SERVER_STATE_LEAVING)
}

func (t *Table) setState(e *entry, s wire.ServerState) {
	next := proto.CloneOf(e.record)
	next.State = s
	e.record = next
	t.bump(next)
}

// Sweep marks servers that have gone silent and forgets lives that ended long
// ago. Only a leader, which hears the heartbeats, calls it.
func (t *Table) Sweep(now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		age := now.Sub(e.seen)
		if age > forgetAfter {
			delete(t.entries, id)
			continue
		}
		if e.record.GetState() == wire.ServerState_SERVER_STATE_READY && age > silentBeats*t.Heartbeat {
			t.setState(e, wire.ServerState_SERVER_STATE_SILENT)
		}
	}
}

// Since returns what a follower lacks that has a version of a history, and a
// channel that is closed at the next change.
func (t *Table) Since(history string, version uint64) (r *wire.FollowReply, changed <-chan struct{}) {
	t.lock()
	defer t.mu.Unlock()
	r = &wire.FollowReply{History: t.history, Version: t.version, Whole: history != t.history || version > t.version}
	for _, e := range t.entries {
		if r.Whole || e.record.GetVersion() > version {
			r.Servers = append(r.Servers, e.record)
		}
	}
	return r, t.changed
}

// Take puts a leader's answer in force at a follower. A life that is known to
// leave stays so, whatever an answer says that was under way before.
func (t *Table) Take(r *wire.FollowReply, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	if r.GetWhole() {
		t.dropMissing(r.GetServers())
	}
	for _, s := range r.GetServers() {
		t.takeOne(s, now)
	}
	t.history, t.version = r.GetHistory(), r.GetVersion()
}

func (t *Table) takeOne(s *wire.ServerRecord, now time.Time) {
	e := t.entries[s.GetId()]
	if e != nil && e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING && s.GetState() != wire.ServerState_SERVER_STATE_LEAVING {
		return
	}
	t.entries[s.GetId()] = &entry{record: s, seen: now}
}

// dropMissing forgets what a whole answer does not hold, but for lives that are
// known to leave.
func (t *Table) dropMissing(servers []*wire.ServerRecord) {
	for id, e := range t.entries {
		listed := slices.ContainsFunc(servers, func(s *wire.ServerRecord) bool { return s.GetId() == id })
		if !listed && e.record.GetState() != wire.ServerState_SERVER_STATE_LEAVING {
			delete(t.entries, id)
		}
	}
}

// Position returns the history and version that the table holds.
func (t *Table) Position() (history string, version uint64) {
	t.lock()
	defer t.mu.Unlock()
	return t.history, t.version
}

// Servers lists the records of a service, in no order; they must not be changed.
func (t *Table) Servers(service string) []*wire.ServerRecord {
	t.lock()
	defer t.mu.Unlock()
	var out []*wire.ServerRecord
	for _, e := range t.entries {
		if e.record.GetService() == service && e.record.GetState() != wire.ServerState_SERVER_STATE_LEAVING {
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
