package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/timeutil"
)

// A server that has just started is cold for a while, and may become cold again at any moment;
// its heartbeats carry the remaining cold time. The table stores the time at which the server
// becomes warm, so that delays on the way through several processes do not extend it. Within an
// incarnation of a server that time only moves later: a node that reports a server as warm,
// such as a leader that has just started, may not have heard of its cold state yet.

// coldEndTolerance is the difference in the computed end of the cold time that counts as no
// change: heartbeats that report the same end arrive with different delays.
const coldEndTolerance = 400 * time.Millisecond

// coldEnd returns the end of the cold time that a heartbeat reports, or the zero time if the
// server is warm.
func coldEnd(r *wire.ServerRecord, now time.Time) time.Time {
	if r.GetColdMillis() <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(r.GetColdMillis()) * time.Millisecond)
}

// coldChanged reports whether followers must be sent the cold state of a heartbeat: a server
// that was considered warm is cold, or it stays cold for much longer than known.
func (e *entry) coldChanged(r *wire.ServerRecord, now time.Time) bool {
	end := coldEnd(r, now)
	if e.coldUntil.After(now) {
		return end.Sub(e.coldUntil) > coldEndTolerance
	}
	return end.After(now)
}

// applyCold applies the cold state of a heartbeat and reports whether it changed. A heartbeat
// that was applied before changes nothing, since it may be a late duplicate.
func (e *entry) applyCold(r *wire.ServerRecord, now time.Time) (changed bool) {
	if e.record != nil && r.GetSequence() <= e.record.GetSequence() {
		return false
	}
	changed = e.coldChanged(r, now)
	e.coldUntil = timeutil.Later(e.coldUntil, coldEnd(r, now))
	return changed
}

// forFollowers returns the record as it is sent to followers. It must not be changed.
func (e *entry) forFollowers(now time.Time) *wire.ServerRecord {
	left := e.coldUntil.Sub(now)
	if left <= 0 {
		return e.record
	}
	r := proto.CloneOf(e.record)
	r.ColdMillis = left.Milliseconds() + 1 // round up to whole milliseconds
	return r
}

// ColdUntil returns the time until which a server is considered cold, which has passed for a
// warm one. The servers of a data hall that was reopened may have become cold shortly before:
// they are considered cold for coldTime after it was reopened, whatever their last heartbeats
// reported.
func (t *Table) ColdUntil(id string, coldTime time.Duration) time.Time {
	t.lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return time.Time{}
	}
	opened := t.halls[e.record.GetHall()].openedAt
	if opened.IsZero() {
		return e.coldUntil
	}
	return timeutil.Later(e.coldUntil, opened.Add(coldTime))
}
