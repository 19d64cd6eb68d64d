package registry

import (
	"slices"
	"time"

	"sumachead/api/wire"
)

// A server that crashes and restarts registers as another incarnation at the same address,
// while heartbeats of the earlier one may still be in flight: a network partition can delay
// them by seconds. At most one incarnation at an address is running. The leader assumes that it
// is the one that keeps sending heartbeats: an incarnation that has not been heard from since
// the last but one heartbeat of another becomes silent, and a heartbeat does not make a
// replaced incarnation ready again while the other is ready. A single delayed heartbeat of
// either incarnation is therefore harmless; it costs a request at most one attempt, which the
// next incarnation rejects.

// indexAddress adds an incarnation to the index by address. The caller holds mu.
func (t *Table) indexAddress(e *entry, next *wire.ServerRecord) {
	old := e.record.GetAddress()
	if old == next.GetAddress() && e.record != nil {
		return
	}
	t.unindexAddress(e.record)
	if t.idsByAddress == nil {
		t.idsByAddress = make(map[string][]string)
	}
	t.idsByAddress[next.GetAddress()] = append(t.idsByAddress[next.GetAddress()], next.GetId())
}

// unindexAddress removes an incarnation from the index by address. The caller holds mu.
func (t *Table) unindexAddress(r *wire.ServerRecord) {
	if r == nil {
		return
	}
	left := slices.DeleteFunc(t.idsByAddress[r.GetAddress()], func(id string) bool { return id == r.GetId() })
	if len(left) == 0 {
		delete(t.idsByAddress, r.GetAddress())
		return
	}
	t.idsByAddress[r.GetAddress()] = left
}

// isReplaced reports whether heartbeats of an incarnation are ignored because another one has
// taken its address. The caller holds mu.
func (t *Table) isReplaced(e *entry) bool {
	return e.replaced && slices.ContainsFunc(t.idsByAddress[e.record.GetAddress()], func(id string) bool {
		other := t.entries[id]
		return other != e && other.record.GetState() == wire.ServerState_SERVER_STATE_READY
	})
}

// silenceReplaced marks as silent the incarnations at an entry's address that were not heard
// from since before, the time of the entry's last but one heartbeat; zero if there was none. It
// does so only at the leader, which receives all heartbeats, and not for a service that is not declared: no
// request is sent there. The caller holds mu.
func (t *Table) silenceReplaced(e *entry, before time.Time) {
	e.replaced = false
	address := e.record.GetAddress()
	if !t.leading || before.IsZero() || address == "" || !t.isDeclared(e.record.GetService()) {
		return
	}
	for _, id := range t.idsByAddress[address] {
		other := t.entries[id]
		if other == e || other.record.GetState() != wire.ServerState_SERVER_STATE_READY || !other.lastSeen.Before(before) {
			continue
		}
		other.replaced = true
		t.setState(other, wire.ServerState_SERVER_STATE_SILENT)
	}
}
