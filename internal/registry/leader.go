package registry

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// What a keeper does whose table others follow, and which hears the heartbeats.

// Lead starts a numbering of its own, under a name that no other leader uses.
// The servers' ages start anew: this node may not have heard their heartbeats.
func (t *Table) Lead(history string, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	if t.history == history {
		return
	}
	t.history, t.leads, t.leadsSince = history, true, now
	t.changes, t.trimmed = nil, t.version
	for _, e := range t.entries {
		e.seen = now
	}
}

// HeardOfAll reports whether others have followed this table for so long that all servers have
// told of themselves.
func (t *Table) HeardOfAll(now time.Time) bool {
	t.lock()
	defer t.mu.Unlock()
	return t.leads && now.Sub(t.leadsSince) > heardOfAll*t.Heartbeat
}

// Beat takes in a heartbeat; one that is older than what is known, or of an earlier life,
// changes nothing. It reports whether the record's state is new to the table. An error, a
// [trace.BadParameter], says that it is no server's.
func (t *Table) Beat(r *wire.ServerRecord, now time.Time) (news bool, err error) {
	t.lock()
	defer t.mu.Unlock()
	if err := t.check(r); err != nil {
		return false, err
	}
	return t.sort(r, now) && t.beat(r, now), nil
}

// beat takes in a heartbeat of a life that counts. The caller holds mu.
func (t *Table) beat(r *wire.ServerRecord, now time.Time) (news bool) {
	e := t.entries[r.GetId()]
	if e == nil {
		e = &entry{}
		t.entries[r.GetId()] = e
	}
	if e.record != nil && (e.ended || r.GetSequence() < e.record.GetSequence() || t.isReplaced(e) && r.GetState() == wire.ServerState_SERVER_STATE_READY) {
		return false
	}
	before := e.seen
	e.seen = now
	next := proto.CloneOf(r)
	cold := e.takeCold(r, now)
	next.ColdMillis = 0
	if e.record != nil {
		next.Version = e.record.GetVersion()
		if e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING {
			next.State = wire.ServerState_SERVER_STATE_LEAVING
		}
	}
	news = e.record == nil || cold || !sameForFollowers(e.record, next)
	t.set(e, next)
	if news {
		t.bump(next)
	}
	t.replace(e, before)
	return news
}

// Refresh takes in a heartbeat that tells nothing but that the server still is as
// this table knows it; false leaves the table as it was.
func (t *Table) Refresh(r *wire.ServerRecord, now time.Time) bool {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[r.GetId()]
	if e == nil || r.GetState() != wire.ServerState_SERVER_STATE_READY || !sameForFollowers(e.record, r) || e.coldNews(r, now) {
		return false
	}
	t.alive(e, r.GetSequence(), now)
	return true
}

// Alive takes in that servers are as they were, by id and sequence.
func (t *Table) Alive(r *wire.AliveReport, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for i, id := range r.GetIds() {
		if e := t.entries[id]; e != nil && i < len(r.GetSequences()) {
			t.alive(e, r.GetSequences()[i], now)
		}
	}
}

// alive notes a heartbeat's time and sequence. One that is older than what is
// known changes nothing. The caller holds mu.
func (t *Table) alive(e *entry, sequence uint64, now time.Time) {
	if sequence < e.record.GetSequence() || t.isReplaced(e) {
		return
	}
	before := e.seen
	e.seen = now
	next := proto.CloneOf(e.record)
	next.Sequence = sequence
	t.set(e, next)
	if next.GetState() == wire.ServerState_SERVER_STATE_SILENT {
		t.setState(e, wire.ServerState_SERVER_STATE_READY)
	}
	t.replace(e, before)
}

// Sweep marks servers that have gone silent and forgets lives that ended long
// ago. Only a leader, which hears the heartbeats, calls it.
func (t *Table) Sweep(now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		age := now.Sub(e.seen)
		if age > forgetAfter {
			t.drop(id)
			continue
		}
		if e.record.GetState() == wire.ServerState_SERVER_STATE_READY && age > silentBeats*t.Heartbeat {
			t.setState(e, wire.ServerState_SERVER_STATE_SILENT)
		}
	}
}

// Since returns what a follower lacks that has a version of a history, and a
// channel that is closed at the next change. The records must not be changed.
func (t *Table) Since(history string, version uint64) (r *wire.FollowReply, changed <-chan struct{}) {
	t.lock()
	defer t.mu.Unlock()
	r = &wire.FollowReply{History: t.history, Version: t.version, Whole: history != t.history || version > t.version || version < t.trimmed}
	if r.Whole {
		for _, e := range t.entries {
			r.Servers = append(r.Servers, e.told(time.Now()))
		}
		return r, t.changed
	}
	for _, c := range slices.Backward(t.changes) {
		if c.version <= version {
			break
		}
		if e := t.entries[c.id]; e != nil && e.record.GetVersion() == c.version {
			r.Servers = append(r.Servers, e.told(time.Now()))
		}
	}
	return r, t.changed
}

// sameForFollowers reports whether two records tell followers the same.
func sameForFollowers(a, b *wire.ServerRecord) bool {
	return a.GetState() == b.GetState() && a.GetAddress() == b.GetAddress() &&
		a.GetService() == b.GetService() && a.GetSlots() == b.GetSlots() && a.GetHall() == b.GetHall() && a.GetSoftware() == b.GetSoftware()
}
