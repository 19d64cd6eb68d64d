package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/timeutil"
)

// This file holds the operations of a node whose table follows a leader's.

// listing is a list of all records that a leader sends in pages.
type listing struct {
	// ids are the incarnations listed so far.
	ids map[string]bool
	// next is the ID after which the next page begins.
	next string
}

// Apply applies a leader's response to a follower's table. An incarnation that is known to be
// leaving stays so, since a response that was in flight before may still report it as ready.
func (t *Table) Apply(r *wire.FollowReply, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	if r.GetAfter() != "" && (t.listing == nil || t.listing.next != r.GetAfter() || t.history != r.GetHistory()) {
		return // a page of a list that has been completed or begun anew
	}
	if r.GetWhole() {
		t.applyPage(r, now)
	} else {
		t.listing = nil
	}
	for _, s := range r.GetServers() {
		t.applyRecord(s, now)
	}
	t.history, t.version, t.leading = r.GetHistory(), r.GetVersion(), false
	if len(r.GetServers()) > 0 {
		t.notify()
	}
}

// applyPage continues the list of all records, and drops those that it lacks at its end. The caller holds mu.
func (t *Table) applyPage(r *wire.FollowReply, now time.Time) {
	if r.GetAfter() == "" {
		t.listing = &listing{ids: make(map[string]bool, len(r.GetServers()))}
	}
	for _, s := range r.GetServers() {
		t.listing.ids[s.GetId()] = true
	}
	t.listing.next = r.GetNext()
	if r.GetNext() == "" {
		t.dropMissing(t.listing.ids)
		t.listing, t.fullSyncAt = nil, now
	}
}

// applyRecord applies one record of a response. The caller holds mu.
func (t *Table) applyRecord(s *wire.ServerRecord, now time.Time) {
	e := t.entries[s.GetId()]
	if e != nil && (e.superseded || e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING && s.GetState() != wire.ServerState_SERVER_STATE_LEAVING) {
		return
	}
	next := &entry{lastSeen: now, coldUntil: coldEnd(s, now), superseded: s.GetOver()}
	if e != nil {
		next.coldUntil = timeutil.Later(e.coldUntil, next.coldUntil)
	}
	if s.GetColdMillis() > 0 {
		s = proto.CloneOf(s)
		s.ColdMillis = 0
	}
	t.entries[s.GetId()] = next
	t.setRecord(next, s)
	if s.GetOver() && t.OnSuperseded != nil && (e == nil || !e.superseded) {
		t.OnSuperseded(s)
	}
}

// dropMissing drops the incarnations that a complete list does not contain, except those known
// to be leaving. The caller holds mu.
func (t *Table) dropMissing(listed map[string]bool) {
	for id, e := range t.entries {
		if !listed[id] && e.record.GetState() != wire.ServerState_SERVER_STATE_LEAVING {
			t.drop(id)
		}
	}
}

// Position returns the history and version of the table.
func (t *Table) Position() (history string, version uint64) {
	t.lock()
	defer t.mu.Unlock()
	return t.history, t.version
}

// FollowPosition returns what a follow request must say of this table: its history and version, and the ID after
// which the next page of a list of all records begins, or an empty one if there is none.
func (t *Table) FollowPosition() (history string, version uint64, after string) {
	t.lock()
	defer t.mu.Unlock()
	if t.listing != nil {
		after = t.listing.next
	}
	return t.history, t.version, after
}

// Prune drops incarnations that left long ago, or have been silent for so long that the leader has dropped
// them. It is called by followers.
func (t *Table) Prune(now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		retention := recordRetention
		if e.leftLocally {
			retention = localRetention
		}
		if e.record.GetState() != wire.ServerState_SERVER_STATE_READY && now.Sub(e.lastSeen) > retention {
			t.drop(id)
		}
	}
}

// ConfirmAlive records that a silent server has responded to a health check as the incarnation
// that this table knows, and the time until which it is cold, zero if it is warm. Newer
// information from the leader overrides it.
func (t *Table) ConfirmAlive(id string, coldUntil, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.coldUntil = timeutil.Later(e.coldUntil, coldUntil)
		t.recordHeartbeat(e, e.record.GetSequence(), now)
		t.notify()
	}
}

// Restore adds saved records of an earlier process. Until heartbeats of their servers arrive,
// the servers count as silent: they are used only where no other server is available. It must
// be called before the first use of the table; a server that is already known, such as one that
// is leaving, is not changed.
func (t *Table) Restore(records []*wire.ServerRecord, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if t.entries[r.GetId()] == nil && checkText(r) == nil && len(t.entries) < maxRecords {
			next := proto.CloneOf(r)
			next.Version = 0 // a version of another history
			next.State = wire.ServerState_SERVER_STATE_SILENT
			e := &entry{lastSeen: now}
			t.entries[r.GetId()] = e
			t.setRecord(e, next)
		}
	}
}
