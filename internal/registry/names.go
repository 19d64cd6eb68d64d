package registry

import (
	"cmp"
	"time"

	"github.com/gravitational/trace"

	"sumachead/api/wire"
)

// A server may start again under the name that it had. Each start is a life of its own; the
// one that started last goes on, whatever comes late of the others and at whichever address,
// and the earlier one is over at once.
//
// Starts are told by the clocks of hosts, which may step back: a life would then be taken for
// an earlier one for good. So the life that started last is over also where nothing was heard
// of it while another life of its name went on to send heartbeats for as long as after which a
// server counts as silent. Heartbeats of an earlier life that come late do not last that long.

// rival is a life that seems to have started before the one that goes on.
type rival struct {
	// since is when it was first heard of, with the sequence it had then.
	since    time.Time
	sequence uint64
}

// mostRivals bounds the lives of which it is not yet known whether they go on.
const mostRivals = 256

// Check returns a [trace.BadParameter] error for a record that is no server's.
func (t *Table) Check(r *wire.ServerRecord) error {
	t.lock()
	defer t.mu.Unlock()
	return t.check(r)
}

// check is Check. The caller holds mu.
func (t *Table) check(r *wire.ServerRecord) error {
	last := t.entries[t.names[Name(r)]]
	switch {
	case r.GetBornUnixMillis() != 0 || r.GetAddress() == "":
		return nil
	case last != nil && last.record.GetBornUnixMillis() != 0:
		return trace.BadParameter("it tells no start, as this server did before")
	case last == nil && t.toldMostly(r.GetService()):
		return trace.BadParameter("it tells no start, as the other servers of its service do")
	}
	return nil
}

// sort reports whether a heartbeat counts, which may be of a server with several lives, and
// ends the lives before it. The caller holds mu.
func (t *Table) sort(r *wire.ServerRecord, now time.Time) bool {
	last := t.entries[t.names[Name(r)]]
	if last == nil || last.record.GetId() == r.GetId() {
		return true
	}
	if r.GetBornUnixMillis() <= last.record.GetBornUnixMillis() && (t.entries[r.GetId()] != nil || !t.outlasts(r, last, now)) {
		return false
	}
	t.over(last)
	return true
}

// toldMostly reports whether most servers of a service tell when they started. The caller
// holds mu.
func (t *Table) toldMostly(service string) bool {
	told, not := 0, 0
	for _, e := range t.entries {
		switch {
		case e.record.GetService() != service || e.record.GetState() != wire.ServerState_SERVER_STATE_READY:
		case e.record.GetBornUnixMillis() != 0:
			told++
		default:
			not++
		}
	}
	return told > not
}

// outlasts reports whether a life that seems to have started earlier goes on, and the last one
// does not. The caller holds mu.
func (t *Table) outlasts(r *wire.ServerRecord, last *entry, now time.Time) bool {
	x, ok := t.rivals[r.GetId()]
	if !ok || last.seen.After(x.since) {
		if len(t.rivals) >= mostRivals {
			clear(t.rivals) // they are found again by their next heartbeats
		}
		if t.rivals == nil {
			t.rivals = make(map[string]rival)
		}
		t.rivals[r.GetId()] = rival{now, r.GetSequence()}
		return false
	}
	if r.GetSequence() <= x.sequence || now.Sub(x.since) < silentBeats*t.Heartbeat {
		return false
	}
	delete(t.rivals, r.GetId())
	return true
}

// over ends a life for good: a later one of its name goes on. The caller holds mu.
func (t *Table) over(e *entry) {
	e.ended = true
	if e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING && e.record.GetOver() {
		return
	}
	t.setState(e, wire.ServerState_SERVER_STATE_LEAVING)
}

// named notes that a life is the last one of its name. The caller holds mu.
func (t *Table) named(r *wire.ServerRecord) {
	if t.names == nil {
		t.names = make(map[string]string)
	}
	last := t.entries[t.names[Name(r)]]
	if last == nil || last.record == nil || last.record.GetBornUnixMillis() <= r.GetBornUnixMillis() || last.ended {
		t.names[Name(r)] = r.GetId()
	}
}

// Name returns what all lives of a record's server have in common.
func Name(r *wire.ServerRecord) string { return cmp.Or(r.GetName(), r.GetId()) }

// Last returns the id of the last life of a server's name; the name where none is known.
func (t *Table) Last(name string) string {
	t.lock()
	defer t.mu.Unlock()
	if id, ok := t.names[name]; ok {
		return id
	}
	return name
}
