package registry

import (
	"slices"
	"time"

	"sumachead/api/wire"
)

// A server that crashes and starts again registers as another life at the same address, and
// heartbeats of the earlier one may still be on their way: a cut can delay them by seconds.
// At most one of the lives of an address runs. The leader takes that for the one which goes
// on to send heartbeats: a life that has not been heard of since the heartbeat before the
// last of another one is silent, and one that was replaced so is not brought back by a
// heartbeat while the other is ready. A single delayed heartbeat so harms nobody, whichever
// life it is of, and costs a request at most an attempt that the next life rejects.

// index notes at which address a life is. The caller holds mu.
func (t *Table) index(e *entry, next *wire.ServerRecord) {
	old := e.record.GetAddress()
	if old == next.GetAddress() && e.record != nil {
		return
	}
	t.unindex(e.record)
	if t.lives == nil {
		t.lives = make(map[string][]string)
	}
	t.lives[next.GetAddress()] = append(t.lives[next.GetAddress()], next.GetId())
}

// unindex takes a life off its address. The caller holds mu.
func (t *Table) unindex(r *wire.ServerRecord) {
	if r == nil {
		return
	}
	left := slices.DeleteFunc(t.lives[r.GetAddress()], func(id string) bool { return id == r.GetId() })
	if len(left) == 0 {
		delete(t.lives, r.GetAddress())
		return
	}
	t.lives[r.GetAddress()] = left
}

// isReplaced reports whether a heartbeat of a life counts for nothing, since another one
// has taken its address. The caller holds mu.
func (t *Table) isReplaced(e *entry) bool {
	return e.replaced && slices.ContainsFunc(t.lives[e.record.GetAddress()], func(id string) bool {
		other := t.entries[id]
		return other != e && other.record.GetState() == wire.ServerState_SERVER_STATE_READY
	})
}

// replace silences the lives at an entry's address that were not heard of since its
// heartbeat before the last, which came at a time; zero for none. Only a leader hears all
// heartbeats. The caller holds mu.
func (t *Table) replace(e *entry, before time.Time) {
	e.replaced = false
	address := e.record.GetAddress()
	if !t.leads || before.IsZero() || address == "" {
		return
	}
	for _, id := range t.lives[address] {
		other := t.entries[id]
		if other == e || other.record.GetState() != wire.ServerState_SERVER_STATE_READY || !other.seen.Before(before) {
			continue
		}
		other.replaced = true
		t.setState(other, wire.ServerState_SERVER_STATE_SILENT)
	}
}
