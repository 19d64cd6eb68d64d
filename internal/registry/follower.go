package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/moment"
)

// What a node does whose table follows a leader's.

// Take puts a leader's answer in force at a follower. A life that is known to
// leave stays so, whatever an answer says that was under way before.
func (t *Table) Take(r *wire.FollowReply, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	if r.GetWhole() {
		t.dropMissing(r.GetServers())
		t.wholeAt = now
	}
	for _, s := range r.GetServers() {
		t.takeOne(s, now)
	}
	t.history, t.version, t.leads = r.GetHistory(), r.GetVersion(), false
	if len(r.GetServers()) > 0 {
		t.notify()
	}
}

// takeOne takes in one record. The caller holds mu.
func (t *Table) takeOne(s *wire.ServerRecord, now time.Time) {
	e := t.entries[s.GetId()]
	if e != nil && (e.ended || e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING && s.GetState() != wire.ServerState_SERVER_STATE_LEAVING) {
		return
	}
	next := &entry{seen: now, coldUntil: coldEnd(s, now), ended: s.GetOver()}
	if e != nil {
		next.coldUntil = moment.Later(e.coldUntil, next.coldUntil)
	}
	if s.GetColdMillis() > 0 {
		s = proto.CloneOf(s)
		s.ColdMillis = 0
	}
	t.entries[s.GetId()] = next
	t.set(next, s)
	if s.GetOver() && t.OnOver != nil && (e == nil || !e.ended) {
		t.OnOver(s)
	}
}

// dropMissing forgets what a whole answer does not hold, but for lives that are
// known to leave. The caller holds mu.
func (t *Table) dropMissing(servers []*wire.ServerRecord) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.GetId()] = true
	}
	for id, e := range t.entries {
		if !listed[id] && e.record.GetState() != wire.ServerState_SERVER_STATE_LEAVING {
			t.drop(id)
		}
	}
}

// Position returns the history and version that the table holds.
func (t *Table) Position() (history string, version uint64) {
	t.lock()
	defer t.mu.Unlock()
	return t.history, t.version
}

// Forget drops lives that left long ago; a follower calls it.
func (t *Table) Forget(now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		most := forgetAfter
		if e.own {
			most = forgetOwnAfter
		}
		if e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING && now.Sub(e.seen) > most {
			t.drop(id)
		}
	}
}

// Confirm takes in that a server which was silent has answered as the life that this
// table knows, and until when it says that it is cold; zero for a warm one. The leader
// says otherwise once it knows more.
func (t *Table) Confirm(id string, coldUntil, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.coldUntil = moment.Later(e.coldUntil, coldUntil)
		t.alive(e, e.record.GetSequence(), now)
		t.notify()
	}
}

// Load takes in records of an earlier life of this table. Until they are heard of
// again the servers count as silent: they are used where there is no other. Call it
// before the first use; a server that is known already, as one that leaves is, stays
// as it is.
func (t *Table) Load(records []*wire.ServerRecord, now time.Time) {
	t.lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if t.entries[r.GetId()] == nil {
			next := proto.CloneOf(r)
			next.Version = 0 // of another numbering
			next.State = wire.ServerState_SERVER_STATE_SILENT
			e := &entry{seen: now}
			t.entries[r.GetId()] = e
			t.set(e, next)
		}
	}
}
