package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"

	"sumachead/api/wire"
)

const (
	ready   = wire.ServerState_SERVER_STATE_READY
	leaving = wire.ServerState_SERVER_STATE_LEAVING
	silent  = wire.ServerState_SERVER_STATE_SILENT
)

func record(id string, sequence uint64, state wire.ServerState) *wire.ServerRecord {
	return &wire.ServerRecord{Id: id, Service: "pool", Address: "10.0.0.1:80", Sequence: sequence, State: state}
}

func ids(t *Table) []string {
	var out []string
	for _, s := range t.Servers("pool", nil) {
		out = append(out, s.GetId())
	}
	slices.Sort(out)
	return out
}

func TestHeartbeats(t *testing.T) {
	tests := []struct {
		name  string
		beats []*wire.ServerRecord
		want  []string
	}{
		{"new", []*wire.ServerRecord{record("a", 1, ready)}, []string{"a"}},
		{"leaving", []*wire.ServerRecord{record("a", 1, ready), record("a", 2, leaving)}, nil},
		{"late heartbeat after leaving", []*wire.ServerRecord{record("a", 3, leaving), record("a", 2, ready)}, nil},
		{"ready again after leaving", []*wire.ServerRecord{record("a", 3, leaving), record("a", 4, ready)}, nil},
		{"new incarnation at the same address", []*wire.ServerRecord{record("a", 3, leaving), record("b", 1, ready)}, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := &Table{Heartbeat: time.Second}
			for _, b := range tt.beats {
				mustApplyHeartbeat(t, table, b, time.Now())
			}
			if d := cmp.Diff(tt.want, ids(table)); d != "" {
				t.Fatalf("(-want +got):\n%s", d)
			}
		})
	}
}

func TestSweepMarksSilentServers(t *testing.T) {
	table := &Table{Heartbeat: time.Second}
	now := time.Now()
	mustApplyHeartbeat(t, table, record("a", 1, ready), now)
	table.Sweep(now.Add(maxMissedHeartbeats*time.Second + time.Millisecond))
	if s := table.Servers("pool", nil)[0].GetState(); s != silent {
		t.Fatalf("state %s after silence", s)
	}
	mustApplyHeartbeat(t, table, record("a", 2, ready), now.Add(time.Minute))
	if s := table.Servers("pool", nil)[0].GetState(); s != ready {
		t.Fatalf("state %s after a heartbeat", s)
	}
}

func TestFollowersReceiveChangesAndNeverGoBack(t *testing.T) {
	leader, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	now := time.Now()
	leader.StartLeading("one", now)
	sync := func() {
		r, _ := leader.ChangesSince(follower.Position())
		follower.Apply(r, now)
	}
	mustApplyHeartbeat(t, leader, record("a", 1, ready), now)
	mustApplyHeartbeat(t, leader, record("b", 1, ready), now)
	sync()
	if d := cmp.Diff([]string{"a", "b"}, ids(follower)); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
	old, _ := leader.ChangesSince("", 0)
	leader.MarkLeaving("a", now)
	sync()
	follower.Apply(old, now) // a response that was in flight before
	if d := cmp.Diff([]string{"b"}, ids(follower)); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
	// A new leader that has not heard from b yet.
	next := &Table{Heartbeat: time.Second}
	next.StartLeading("two", now)
	mustApplyHeartbeat(t, next, record("c", 1, ready), now)
	r, _ := next.ChangesSince(follower.Position())
	follower.Apply(r, now)
	if d := cmp.Diff([]string{"c"}, ids(follower)); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
}

func TestChangesSinceNotifiesFollowers(t *testing.T) {
	table := &Table{Heartbeat: time.Second}
	table.StartLeading("one", time.Now())
	mustApplyHeartbeat(t, table, record("a", 1, ready), time.Now())
	_, changed := table.ChangesSince("one", 1)
	mustApplyHeartbeat(t, table, record("a", 2, ready), time.Now())
	select {
	case <-changed:
		t.Fatal("notified by a heartbeat that changes nothing")
	default:
	}
	mustApplyHeartbeat(t, table, record("a", 3, leaving), time.Now())
	select {
	case <-changed:
	default:
		t.Fatal("not notified of a change")
	}
}

func TestHeartbeatsWithoutChanges(t *testing.T) {
	now := time.Now()
	leader, other := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	leader.StartLeading("one", now)
	mustApplyHeartbeat(t, leader, record("a", 1, ready), now)
	r, _ := leader.ChangesSince(other.Position())
	other.Apply(r, now)
	tests := []struct {
		name string
		beat *wire.ServerRecord
		want bool
	}{
		{"the same", record("a", 2, ready), true},
		{"unknown", record("b", 1, ready), false},
		{"leaving", record("a", 3, leaving), false},
	}
	for _, tt := range tests {
		if got := other.Refresh(tt.beat, now); got != tt.want {
			t.Errorf("%s: %t", tt.name, got)
		}
	}
	late := now.Add(maxMissedHeartbeats*time.Second + time.Millisecond)
	leader.ApplyAliveReport(&wire.AliveReport{Ids: []string{"a", "none"}, Sequences: []uint64{2, 1}}, late)
	leader.Sweep(late)
	if s := leader.Servers("pool", nil)[0].GetState(); s != ready {
		t.Fatalf("state %s although it is alive", s)
	}
}

func TestChangesOfAnEarlierTermAreDropped(t *testing.T) {
	now := time.Now()
	table := &Table{Heartbeat: time.Second}
	table.StartLeading("one", now)
	for i := range 9 {
		mustApplyHeartbeat(t, table, record(string(rune('a'+i)), 1, ready), now)
	}
	// Another node leads for a while, with lower version numbers.
	table.Apply(&wire.FollowReply{History: "two", Version: 2, Whole: true, Servers: []*wire.ServerRecord{record("x", 1, ready)}}, now)
	table.StartLeading("three", now)
	mustApplyHeartbeat(t, table, record("y", 1, ready), now)
	r, _ := table.ChangesSince("three", 2)
	if len(r.GetServers()) != 1 || r.GetServers()[0].GetId() != "y" {
		t.Fatalf("got %v", r.GetServers())
	}
}

func TestChangesAreTrimmed(t *testing.T) {
	leader, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	now := time.Now()
	leader.StartLeading("one", now)
	for i := range 3 {
		mustApplyHeartbeat(t, leader, record(string(rune('a'+i)), 1, ready), now)
	}
	sync := func() *wire.FollowReply {
		r, _ := leader.ChangesSince(follower.Position())
		follower.Apply(r, now)
		return r
	}
	sync()
	for i := range 300 {
		b := record("a", uint64(2+i), ready)
		b.Slots = uint32(i + 1)
		mustApplyHeartbeat(t, leader, b, now)
		if i%7 != 0 {
			continue
		}
		if r := sync(); r.GetWhole() || len(r.GetServers()) != 1 {
			t.Fatalf("after change %d: whole %t, %d records", i, r.GetWhole(), len(r.GetServers()))
		}
	}
	if len(leader.changes) > 200 {
		t.Fatalf("%d changes retained for 3 records", len(leader.changes))
	}
	r, _ := leader.ChangesSince("one", 1)
	if !r.GetWhole() || len(r.GetServers()) != 3 {
		t.Fatalf("a follower far behind gets whole %t, %d records", r.GetWhole(), len(r.GetServers()))
	}
}

// A local observation of a follower must not make it miss a change of the leader. A version
// assigned by the follower itself would.
func TestLocalObservationSkipsNoLeaderChange(t *testing.T) {
	now := time.Now()
	leader, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	leader.StartLeading("h", now)
	for _, id := range []string{"a", "b"} {
		mustApplyHeartbeat(t, leader, &wire.ServerRecord{Id: id, Service: "chat", Sequence: 1}, now)
	}
	follow := func() {
		history, version := follower.Position()
		r, _ := leader.ChangesSince(history, version)
		follower.Apply(r, now)
	}
	follow()
	follower.MarkLeaving("a", now)
	mustApplyHeartbeat(t, leader, &wire.ServerRecord{Id: "c", Service: "chat", Sequence: 1}, now)
	follow()
	var got []string
	for _, r := range follower.Servers("chat", nil) {
		got = append(got, r.GetId())
	}
	slices.Sort(got)
	if diff := cmp.Diff([]string{"b", "c"}, got); diff != "" {
		t.Fatalf("servers (-want +got):\n%s", diff)
	}
}

// Restored servers count as silent until their heartbeats arrive.
func TestRestoredServersAreSilent(t *testing.T) {
	now := time.Now()
	table := &Table{Heartbeat: time.Second}
	table.MarkLeaving("gone", now)
	table.Restore([]*wire.ServerRecord{{Id: "gone", Service: "chat"}, {Id: "a", Service: "chat", Sequence: 3}, {Id: "b", Service: "chat", Sequence: 3}}, now)
	table.StartLeading("h", now)
	mustApplyHeartbeat(t, table, &wire.ServerRecord{Id: "a", Service: "chat", Sequence: 4}, now)
	got := make(map[string]wire.ServerState)
	for _, r := range table.Servers("chat", nil) {
		got[r.GetId()] = r.GetState()
	}
	want := map[string]wire.ServerState{"a": wire.ServerState_SERVER_STATE_READY, "b": wire.ServerState_SERVER_STATE_SILENT}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("states (-want +got):\n%s", diff)
	}
}

// A heartbeat that a network partition has delayed arrives after its sender has crashed and
// another incarnation has registered at the address. It must neither bring the crashed
// incarnation back nor harm the next one.
func TestDelayedHeartbeatOfACrashedIncarnation(t *testing.T) {
	const interval = time.Second
	type event struct {
		at   time.Duration
		beat *wire.ServerRecord
		// forwarded is set if another keeper has forwarded the heartbeat in an alive report.
		forwarded bool
	}
	beat := func(at time.Duration, id string, sequence uint64) event {
		return event{at, record(id, sequence, ready), false}
	}
	forwarded := func(at time.Duration, id string, sequence uint64) event {
		return event{at, record(id, sequence, ready), true}
	}
	tests := []struct {
		name   string
		events []event
		want   map[string]wire.ServerState
	}{
		{
			"a quick restart: the old incarnation is silent after two heartbeats of the new one",
			[]event{beat(0, "old", 7), beat(300, "new", 1), beat(1300, "new", 2)},
			map[string]wire.ServerState{"old": silent, "new": ready},
		},
		{
			"a delayed heartbeat does not make a replaced incarnation ready",
			[]event{beat(0, "old", 7), beat(300, "new", 1), beat(1300, "new", 2), beat(1800, "old", 8)},
			map[string]wire.ServerState{"old": silent, "new": ready},
		},
		{
			"a delayed heartbeat forwarded by a keeper does not either",
			[]event{beat(0, "old", 7), beat(300, "new", 1), forwarded(1300, "new", 2), forwarded(1800, "old", 8)},
			map[string]wire.ServerState{"old": silent, "new": ready},
		},
		{
			"a delayed heartbeat of an incarnation unknown to this leader does not affect the next one",
			[]event{beat(0, "new", 1), beat(500, "old", 8)},
			map[string]wire.ServerState{"old": ready, "new": ready},
		},
		{
			"an unknown earlier incarnation is silent after two heartbeats of the next one",
			[]event{beat(0, "new", 1), beat(500, "old", 8), beat(1000, "new", 2), beat(2000, "new", 3)},
			map[string]wire.ServerState{"old": silent, "new": ready},
		},
		{
			"a replaced incarnation is ready again once the other one is leaving",
			[]event{beat(0, "old", 7), beat(300, "new", 1), beat(1300, "new", 2), {1400, record("new", 3, leaving), false}, beat(1800, "old", 8)},
			map[string]wire.ServerState{"old": ready, "new": leaving},
		},
		{
			"a single heartbeat of the new incarnation silences nobody",
			[]event{beat(0, "old", 7), beat(300, "new", 1)},
			map[string]wire.ServerState{"old": ready, "new": ready},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			table := &Table{Heartbeat: interval}
			table.StartLeading("history", start)
			for _, e := range tt.events {
				now := start.Add(e.at * time.Millisecond)
				if e.forwarded {
					table.ApplyAliveReport(&wire.AliveReport{Ids: []string{e.beat.GetId()}, Sequences: []uint64{e.beat.GetSequence()}}, now)
					continue
				}
				mustApplyHeartbeat(t, table, e.beat, now)
			}
			got := make(map[string]wire.ServerState)
			for id, e := range table.entries {
				got[id] = e.record.GetState()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("states (-want +got):\n%s", diff)
			}
		})
	}
}

// A follower's local observation that an incarnation is leaving is kept, also while its leader
// lists the incarnation as ready.
func TestLocalObservationOfLeavingIsKept(t *testing.T) {
	now := time.Now()
	lists := func(s ...*wire.ServerRecord) *wire.FollowReply {
		return &wire.FollowReply{Whole: true, History: "h", Version: 1, Servers: s}
	}
	steps := []struct {
		name     string
		after    time.Duration
		do       func(t *Table, now time.Time)
		excluded bool
	}{
		{"known as ready", 0, func(t *Table, now time.Time) { t.Apply(lists(record("a", 1, ready)), now) }, false},
		{"observed to be leaving", 0, func(t *Table, now time.Time) { t.MarkLeaving("a", now) }, true},
		{"listed as ready", time.Second, func(t *Table, now time.Time) { t.Apply(lists(record("a", 2, ready)), now) }, true},
		{"sends heartbeats", time.Second, func(t *Table, now time.Time) { t.Refresh(record("a", 3, ready), now) }, true},
		{"has responded to a health check", time.Second, func(t *Table, now time.Time) { t.ConfirmAlive("a", time.Time{}, now) }, true},
		{"listed as ready later", 2 * recordRetention, func(t *Table, now time.Time) { t.Prune(now); t.Apply(lists(record("a", 9, ready)), now) }, true},
		{"its hall is vacated too", 0, func(t *Table, now time.Time) {
			t.ApplyHalls(&wire.HallStates{Revision: 1, Halls: []*wire.HallState{{Hall: "hall-1", Vacated: true}}}, now)
		}, true},
	}
	table := &Table{Heartbeat: time.Second}
	for _, tt := range steps {
		now = now.Add(tt.after)
		tt.do(table, now)
		if got := table.IsExcluded("a"); got != tt.excluded {
			t.Errorf("%s: excluded is %v", tt.name, got)
		}
	}
	b := record("b", 1, ready)
	b.Hall = "hall-1"
	table.Apply(&wire.FollowReply{History: "h", Version: 2, Servers: []*wire.ServerRecord{b}}, now)
	if !table.IsExcluded("b") || table.IsExcluded("unknown") {
		t.Error("a server of a vacated hall is not excluded, or an unknown one is")
	}
}

// Guards against records with text that no message can carry.
func TestRecordsWithInvalidTextAreRejected(t *testing.T) {
	const invalid = "\xff\xfe"
	tests := []struct {
		name string
		set  func(*wire.ServerRecord)
	}{
		{"ID", func(r *wire.ServerRecord) { r.Id = invalid }},
		{"name", func(r *wire.ServerRecord) { r.Name = invalid }},
		{"service", func(r *wire.ServerRecord) { r.Service = invalid }},
		{"address", func(r *wire.ServerRecord) { r.Address = invalid }},
		{"hall", func(r *wire.ServerRecord) { r.Hall = invalid }},
		{"software", func(r *wire.ServerRecord) { r.Software = invalid }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := &Table{Heartbeat: time.Second}
			r := record("a", 1, ready)
			tt.set(r)
			if err := table.Validate(r); !trace.IsBadParameter(err) {
				t.Errorf("validated: %v", err)
			}
			if _, err := table.ApplyHeartbeat(r, time.Now()); !trace.IsBadParameter(err) {
				t.Errorf("applied: %v", err)
			}
			if diff := cmp.Diff([]string(nil), ids(table)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
