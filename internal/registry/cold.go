package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/moment"
)

// A server that has just started is cold for a while, and may become cold again at any
// moment; its heartbeats tell for how much longer. The table keeps the moment at which
// that ends, so that what passes through several processes grows no older on its way.
// Within a life of a server that moment only moves later: whoever says that a server is
// warm may not have heard of it yet, as a leader that has just started.

// coldSlack is by how much the end of the cold time may differ between heartbeats that
// tell the same: they take some time to come, and differently long.
const coldSlack = 400 * time.Millisecond

// coldEnd returns until when a heartbeat says that its server is cold; zero where it says
// that it is warm.
func coldEnd(r *wire.ServerRecord, now time.Time) time.Time {
	if r.GetColdMillis() <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(r.GetColdMillis()) * time.Millisecond)
}

// coldNews reports whether followers are to learn what a heartbeat tells of being cold: that
// a server is which was taken for warm, or that it is for much longer.
func (e *entry) coldNews(r *wire.ServerRecord, now time.Time) bool {
	told := coldEnd(r, now)
	if e.coldUntil.After(now) {
		return told.Sub(e.coldUntil) > coldSlack
	}
	return told.After(now)
}

// takeCold takes in what a heartbeat tells of being cold, and reports whether it is news.
// One that was taken in before tells nothing: it may have been repeated late.
func (e *entry) takeCold(r *wire.ServerRecord, now time.Time) (news bool) {
	if e.record != nil && r.GetSequence() <= e.record.GetSequence() {
		return false
	}
	news = e.coldNews(r, now)
	e.coldUntil = moment.Later(e.coldUntil, coldEnd(r, now))
	return news
}

// told returns the record as followers are told it. It must not be changed.
func (e *entry) told(now time.Time) *wire.ServerRecord {
	left := e.coldUntil.Sub(now)
	if left <= 0 {
		return e.record
	}
	r := proto.CloneOf(e.record)
	r.ColdMillis = left.Milliseconds() + 1 // no part of a millisecond is lost on the way
	return r
}

// ColdUntil returns until when a server is taken for cold; a time in the past for a warm
// one. The servers of a data hall that was opened again may have become cold shortly
// before: they are taken for cold for coldTime after it, whatever their last heartbeats
// said.
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
	return moment.Later(e.coldUntil, opened.Add(coldTime))
}
