package registry

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// This file holds the operations of the leading keeper, whose table others follow and which
// receives the heartbeats.

// maxPageBytes bounds the records in one reply to a follower: a small link carries it within a fraction of a
// second, and other state does not wait behind more.
const maxPageBytes = 256 << 10

// StartLeading starts a new version history under a name that no other leader uses. The ages of
// all records start at zero, since this node may not have received the servers' heartbeats.
func (t *Table) StartLeading(history string, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	if t.history == history {
		return
	}
	t.history, t.leading, t.leadingSince, t.listing = history, true, now, nil
	t.changes, t.trimmedVersion = nil, t.version
	for _, e := range t.entries {
		e.lastSeen = now
	}
}

// HasHeardFromAll reports whether this table has been leading long enough for all servers to
// have sent a heartbeat.
func (t *Table) HasHeardFromAll(now time.Time) bool {
	t.lock()
	defer t.mu.Unlock()
	return t.leading && now.Sub(t.leadingSince) > discoveryHeartbeats*t.Heartbeat
}

// ApplyHeartbeat applies a heartbeat; one that is older than the known record, or of an earlier
// incarnation, changes nothing. It reports whether the record has changed in what followers
// use. Its errors are those of Validate.
func (t *Table) ApplyHeartbeat(r *wire.ServerRecord, now time.Time) (changed bool, err error) {
	t.lock()
	defer t.mu.Unlock()
	if err := t.validate(r); err != nil {
		return false, err
	}
	return t.admit(r, now) && t.applyHeartbeat(r, now), nil
}

// applyHeartbeat applies a heartbeat of the latest incarnation. The caller holds mu.
func (t *Table) applyHeartbeat(r *wire.ServerRecord, now time.Time) (changed bool) {
	e := t.entries[r.GetId()]
	if e == nil {
		e = &entry{}
		t.entries[r.GetId()] = e
	}
	if e.record != nil && (e.superseded || r.GetSequence() < e.record.GetSequence() || t.isReplaced(e) && r.GetState() == wire.ServerState_SERVER_STATE_READY) {
		return false
	}
	before := e.lastSeen
	e.lastSeen = now
	next := proto.CloneOf(r)
	cold := e.applyCold(r, now)
	next.ColdMillis = 0
	if e.record != nil {
		next.Version = e.record.GetVersion()
		if e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING {
			next.State = wire.ServerState_SERVER_STATE_LEAVING
		}
	}
	changed = e.record == nil || cold || !equalForFollowers(e.record, next)
	t.setRecord(e, next)
	if changed {
		t.assignVersion(next)
	}
	t.silenceReplaced(e, before)
	return changed
}

// Refresh applies a heartbeat that reports no change but that the server is alive. It returns
// false, and leaves the table as it was, for any other.
func (t *Table) Refresh(r *wire.ServerRecord, now time.Time) bool {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[r.GetId()]
	if e == nil || r.GetState() != wire.ServerState_SERVER_STATE_READY || !equalForFollowers(e.record, r) || e.coldChanged(r, now) {
		return false
	}
	t.recordHeartbeat(e, r.GetSequence(), now)
	return true
}

// ApplyAliveReport records heartbeats without changes, by id and sequence.
func (t *Table) ApplyAliveReport(r *wire.AliveReport, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for i, id := range r.GetIds() {
		if e := t.entries[id]; e != nil && i < len(r.GetSequences()) {
			t.recordHeartbeat(e, r.GetSequences()[i], now)
		}
	}
}

// recordHeartbeat records the time and sequence of a heartbeat. One that is older than the
// known record changes nothing. The caller holds mu.
func (t *Table) recordHeartbeat(e *entry, sequence uint64, now time.Time) {
	if sequence < e.record.GetSequence() || t.isReplaced(e) {
		return
	}
	before := e.lastSeen
	e.lastSeen = now
	next := proto.CloneOf(e.record)
	next.Sequence = sequence
	t.setRecord(e, next)
	if next.GetState() == wire.ServerState_SERVER_STATE_SILENT {
		t.setState(e, wire.ServerState_SERVER_STATE_READY)
	}
	t.silenceReplaced(e, before)
}

// Sweep marks silent servers and drops incarnations from which nothing was heard for long. Only
// the leader, which receives the heartbeats, calls it.
func (t *Table) Sweep(now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		age := now.Sub(e.lastSeen)
		if age > recordRetention {
			t.drop(id)
			continue
		}
		if e.record.GetState() == wire.ServerState_SERVER_STATE_READY && age > maxMissedHeartbeats*t.Heartbeat {
			t.setState(e, wire.ServerState_SERVER_STATE_SILENT)
		}
	}
}

// ChangesSince returns the changes since a version of a history, or all records if the changes
// are not known, and a channel that is closed at the next change. The records must not be
// changed.
func (t *Table) ChangesSince(history string, version uint64) (r *wire.FollowReply, changed <-chan struct{}) {
	t.lock()
	defer t.mu.Unlock()
	r = &wire.FollowReply{History: t.history, Version: t.version, Whole: history != t.history || version > t.version || version < t.trimmedVersion}
	if r.Whole {
		for _, e := range t.entries {
			r.Servers = append(r.Servers, e.forFollowers(time.Now()))
		}
		return r, t.changed
	}
	for _, c := range slices.Backward(t.changes) {
		if c.version <= version {
			break
		}
		if e := t.entries[c.id]; e != nil && e.record.GetVersion() == c.version {
			r.Servers = append(r.Servers, e.forFollowers(time.Now()))
		}
	}
	return r, t.changed
}

// ForFollower returns what a follower lacks. Followers of earlier versions take no pages.
func (t *Table) ForFollower(r *wire.FollowRequest) *wire.FollowReply {
	if r.GetTakesParts() {
		return t.Page(r.GetHistory(), r.GetVersion(), r.GetAfter())
	}
	changes, _ := t.ChangesSince(r.GetHistory(), r.GetVersion())
	return changes
}

// Page returns what a follower lacks as ChangesSince does, but a list of all records in pages: each contains
// records in the order of their IDs, after a given one, and Next is where the following page begins; empty on
// the last one. The follower's version stays that of the first page until then, so that it receives what changes
// in the meantime afterwards.
func (t *Table) Page(history string, version uint64, after string) *wire.FollowReply {
	r, _ := t.ChangesSince(history, version)
	t.lock()
	defer t.mu.Unlock()
	if history != t.history {
		after = ""
	}
	if after == "" && !r.GetWhole() && recordBytes(r.GetServers()) <= maxPageBytes {
		return r
	}
	r.Whole, r.Servers, r.After = true, nil, after
	if after != "" {
		r.Version = version
	}
	size := 0
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if id <= after {
			continue
		}
		s := t.entries[id].forFollowers(time.Now())
		if size += proto.Size(s); size > maxPageBytes && len(r.GetServers()) > 0 {
			r.Next = r.GetServers()[len(r.GetServers())-1].GetId()
			break
		}
		r.Servers = append(r.Servers, s)
	}
	return r
}

// recordBytes returns the encoded size of records.
func recordBytes(records []*wire.ServerRecord) (n int) {
	for _, r := range records {
		n += proto.Size(r)
	}
	return n
}

// equalForFollowers reports whether two records are equal in all that followers use.
func equalForFollowers(a, b *wire.ServerRecord) bool {
	return a.GetState() == b.GetState() && a.GetAddress() == b.GetAddress() &&
		a.GetService() == b.GetService() && a.GetSlots() == b.GetSlots() && a.GetHall() == b.GetHall() && a.GetSoftware() == b.GetSoftware()
}
