package registry

import (
	"cmp"
	"time"

	"github.com/gravitational/trace"

	"sumachead/api/wire"
)

// A server may restart under its earlier name. Each start is a new incarnation; the one that
// started last is current, whatever arrives late from the others and whatever its address, and
// earlier ones are superseded at once.
//
// Start times are read from the clocks of hosts, which may step back; the current incarnation
// would then be considered an earlier one forever. Therefore the incarnation that started last
// is also superseded if nothing was heard from it while another incarnation of its name kept
// sending heartbeats for as long as it takes a server to count as silent. Late heartbeats of an
// earlier incarnation do not continue for that long.

// contender is an incarnation that reports an earlier start than the current one, but may have
// replaced it.
type contender struct {
	// firstSeen is when its first heartbeat arrived, and sequence is that of the heartbeat.
	firstSeen time.Time
	sequence  uint64
}

// maxContenders limits the number of contenders.
const maxContenders = 256

// Validate returns a [trace.BadParameter] error for a record that no backend server can have
// sent, and a [trace.LimitExceeded] error if there are too many servers for a new one.
func (t *Table) Validate(r *wire.ServerRecord) error {
	t.lock()
	defer t.mu.Unlock()
	return t.validate(r)
}

// validate implements Validate. The caller holds mu.
func (t *Table) validate(r *wire.ServerRecord) error {
	if err := checkText(r); err != nil {
		return err
	}
	if err := t.checkService(r); err != nil {
		return err
	}
	if err := t.checkRoom(r); err != nil {
		return err
	}
	last := t.entries[t.latestByName[ServerName(r)]]
	switch {
	case r.GetBornUnixMillis() != 0 || r.GetAddress() == "":
		return nil
	case last != nil && last.record.GetBornUnixMillis() != 0:
		return trace.BadParameter("it tells no start, as this server did before")
	case last == nil && t.majorityReportsStart(r.GetService()):
		return trace.BadParameter("it tells no start, as the other servers of its service do")
	}
	return nil
}

// admit reports whether a heartbeat is of the current incarnation of its server, and supersedes
// the previous one if the heartbeat's incarnation is newer. The caller holds mu.
func (t *Table) admit(r *wire.ServerRecord, now time.Time) bool {
	last := t.entries[t.latestByName[ServerName(r)]]
	if last == nil || last.record.GetId() == r.GetId() {
		return true
	}
	if r.GetBornUnixMillis() <= last.record.GetBornUnixMillis() && (t.entries[r.GetId()] != nil || !t.isSuccessor(r, last, now)) {
		return false
	}
	t.markSuperseded(last)
	return true
}

// majorityReportsStart reports whether most ready servers of a service report their start time.
// The caller holds mu.
func (t *Table) majorityReportsStart(service string) bool {
	with, without := 0, 0
	for _, e := range t.entries {
		switch {
		case e.record.GetService() != service || e.record.GetState() != wire.ServerState_SERVER_STATE_READY:
		case e.record.GetBornUnixMillis() != 0:
			with++
		default:
			without++
		}
	}
	return with > without
}

// isSuccessor reports whether an incarnation that reports an earlier start has in fact replaced
// the last one. The caller holds mu.
func (t *Table) isSuccessor(r *wire.ServerRecord, last *entry, now time.Time) bool {
	x, ok := t.contenders[r.GetId()]
	if !ok || last.lastSeen.After(x.firstSeen) {
		if len(t.contenders) >= maxContenders {
			clear(t.contenders) // their next heartbeats add them again
		}
		if t.contenders == nil {
			t.contenders = make(map[string]contender)
		}
		t.contenders[r.GetId()] = contender{now, r.GetSequence()}
		return false
	}
	if r.GetSequence() <= x.sequence || now.Sub(x.firstSeen) < maxMissedHeartbeats*t.Heartbeat {
		return false
	}
	delete(t.contenders, r.GetId())
	return true
}

// markSuperseded ends an incarnation permanently because a later one of its name is current.
// The caller holds mu.
func (t *Table) markSuperseded(e *entry) {
	e.superseded = true
	if e.record.GetState() == wire.ServerState_SERVER_STATE_LEAVING && e.record.GetOver() {
		return
	}
	t.setState(e, wire.ServerState_SERVER_STATE_LEAVING)
}

// updateLatest records an incarnation as the latest of its name if it is. The caller holds mu.
func (t *Table) updateLatest(r *wire.ServerRecord) {
	if t.latestByName == nil {
		t.latestByName = make(map[string]string)
	}
	last := t.entries[t.latestByName[ServerName(r)]]
	if last == nil || last.record == nil || last.record.GetBornUnixMillis() <= r.GetBornUnixMillis() || last.superseded {
		t.latestByName[ServerName(r)] = r.GetId()
	}
}

// ServerName returns the name that all incarnations of a record's server share.
func ServerName(r *wire.ServerRecord) string { return cmp.Or(r.GetName(), r.GetId()) }

// LatestIncarnation returns the id of the latest incarnation of a server's name, or the name if
// none is known.
func (t *Table) LatestIncarnation(name string) string {
	t.lock()
	defer t.mu.Unlock()
	if id, ok := t.latestByName[name]; ok {
		return id
	}
	return name
}
