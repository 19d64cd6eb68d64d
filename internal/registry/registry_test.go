package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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

func TestBeats(t *testing.T) {
	tests := []struct {
		name  string
		beats []*wire.ServerRecord
		want  []string
	}{
		{"new", []*wire.ServerRecord{record("a", 1, ready)}, []string{"a"}},
		{"leaving", []*wire.ServerRecord{record("a", 1, ready), record("a", 2, leaving)}, nil},
		{"late heartbeat after leaving", []*wire.ServerRecord{record("a", 3, leaving), record("a", 2, ready)}, nil},
		{"ready again after leaving", []*wire.ServerRecord{record("a", 3, leaving), record("a", 4, ready)}, nil},
		{"new life at the same address", []*wire.ServerRecord{record("a", 3, leaving), record("b", 1, ready)}, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := &Table{Heartbeat: time.Second}
			for _, b := range tt.beats {
				mustBeat(t, table, b, time.Now())
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
	mustBeat(t, table, record("a", 1, ready), now)
	table.Sweep(now.Add(silentBeats*time.Second + time.Millisecond))
	if s := table.Servers("pool", nil)[0].GetState(); s != silent {
		t.Fatalf("state %s after silence", s)
	}
	mustBeat(t, table, record("a", 2, ready), now.Add(time.Minute))
	if s := table.Servers("pool", nil)[0].GetState(); s != ready {
		t.Fatalf("state %s after a heartbeat", s)
	}
}

func TestFollowersLearnChangesAndNeverGoBack(t *testing.T) {
	leader, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	now := time.Now()
	leader.Lead("one", now)
	sync := func() {
		r, _ := leader.Since(follower.Position())
		follower.Take(r, now)
	}
	mustBeat(t, leader, record("a", 1, ready), now)
	mustBeat(t, leader, record("b", 1, ready), now)
	sync()
	if d := cmp.Diff([]string{"a", "b"}, ids(follower)); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
	old, _ := leader.Since("", 0)
	leader.Leave("a", now)
	sync()
	follower.Take(old, now) // an answer that was under way before
	if d := cmp.Diff([]string{"b"}, ids(follower)); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
	// A new leader that has not heard of b yet.
	next := &Table{Heartbeat: time.Second}
	next.Lead("two", now)
	mustBeat(t, next, record("c", 1, ready), now)
	r, _ := next.Since(follower.Position())
	follower.Take(r, now)
	if d := cmp.Diff([]string{"c"}, ids(follower)); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
}

func TestSinceWakesFollowers(t *testing.T) {
	table := &Table{Heartbeat: time.Second}
	table.Lead("one", time.Now())
	mustBeat(t, table, record("a", 1, ready), time.Now())
	_, changed := table.Since("one", 1)
	mustBeat(t, table, record("a", 2, ready), time.Now())
	select {
	case <-changed:
		t.Fatal("woken by a heartbeat that changes nothing")
	default:
	}
	mustBeat(t, table, record("a", 3, leaving), time.Now())
	select {
	case <-changed:
	default:
		t.Fatal("not woken by a change")
	}
}

func TestHeartbeatsThatTellNothingNew(t *testing.T) {
	now := time.Now()
	leader, other := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	leader.Lead("one", now)
	mustBeat(t, leader, record("a", 1, ready), now)
	r, _ := leader.Since(other.Position())
	other.Take(r, now)
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
	late := now.Add(silentBeats*time.Second + time.Millisecond)
	leader.Alive(&wire.AliveReport{Ids: []string{"a", "none"}, Sequences: []uint64{2, 1}}, late)
	leader.Sweep(late)
	if s := leader.Servers("pool", nil)[0].GetState(); s != ready {
		t.Fatalf("state %s although it is alive", s)
	}
}

func TestChangesOfAnEarlierReignAreForgotten(t *testing.T) {
	now := time.Now()
	table := &Table{Heartbeat: time.Second}
	table.Lead("one", now)
	for i := range 9 {
		mustBeat(t, table, record(string(rune('a'+i)), 1, ready), now)
	}
	// Another leads for a while, with a numbering that is not as far.
	table.Take(&wire.FollowReply{History: "two", Version: 2, Whole: true, Servers: []*wire.ServerRecord{record("x", 1, ready)}}, now)
	table.Lead("three", now)
	mustBeat(t, table, record("y", 1, ready), now)
	r, _ := table.Since("three", 2)
	if len(r.GetServers()) != 1 || r.GetServers()[0].GetId() != "y" {
		t.Fatalf("told %v", r.GetServers())
	}
}

func TestChangesAreTrimmed(t *testing.T) {
	leader, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	now := time.Now()
	leader.Lead("one", now)
	for i := range 3 {
		mustBeat(t, leader, record(string(rune('a'+i)), 1, ready), now)
	}
	sync := func() *wire.FollowReply {
		r, _ := leader.Since(follower.Position())
		follower.Take(r, now)
		return r
	}
	sync()
	for i := range 300 {
		b := record("a", uint64(2+i), ready)
		b.Slots = uint32(i + 1)
		mustBeat(t, leader, b, now)
		if i%7 != 0 {
			continue
		}
		if r := sync(); r.GetWhole() || len(r.GetServers()) != 1 {
			t.Fatalf("after change %d: whole %t, %d records", i, r.GetWhole(), len(r.GetServers()))
		}
	}
	if len(leader.changes) > 200 {
		t.Fatalf("%d changes are kept for 3 records", len(leader.changes))
	}
	r, _ := leader.Since("one", 1)
	if !r.GetWhole() || len(r.GetServers()) != 3 {
		t.Fatalf("one far behind gets whole %t, %d records", r.GetWhole(), len(r.GetServers()))
	}
}

// What a follower learns by itself must not make it pass over a change of the
// leader's.
func TestFollowersOwnKnowledgeSkipsNothing(t *testing.T) {
	now := time.Now()
	leader, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	leader.Lead("h", now)
	for _, id := range []string{"a", "b"} {
		mustBeat(t, leader, &wire.ServerRecord{Id: id, Service: "chat", Sequence: 1}, now)
	}
	follow := func() {
		history, version := follower.Position()
		r, _ := leader.Since(history, version)
		follower.Take(r, now)
	}
	follow()
	follower.Leave("a", now)
	mustBeat(t, leader, &wire.ServerRecord{Id: "c", Service: "chat", Sequence: 1}, now)
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

// Servers that are loaded count as silent until they are heard of.
func TestLoadedServersAreSilent(t *testing.T) {
	now := time.Now()
	table := &Table{Heartbeat: time.Second}
	table.Leave("gone", now)
	table.Load([]*wire.ServerRecord{{Id: "gone", Service: "chat"}, {Id: "a", Service: "chat", Sequence: 3}, {Id: "b", Service: "chat", Sequence: 3}}, now)
	table.Lead("h", now)
	mustBeat(t, table, &wire.ServerRecord{Id: "a", Service: "chat", Sequence: 4}, now)
	got := make(map[string]wire.ServerState)
	for _, r := range table.Servers("chat", nil) {
		got[r.GetId()] = r.GetState()
	}
	want := map[string]wire.ServerState{"a": wire.ServerState_SERVER_STATE_READY, "b": wire.ServerState_SERVER_STATE_SILENT}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("states (-want +got):\n%s", diff)
	}
}

// A heartbeat that a cut has delayed comes after its sender has crashed and another life has
// registered at the address. It must neither bring the crashed life back nor harm the next.
func TestDelayedHeartbeatOfACrashedLife(t *testing.T) {
	const every = time.Second
	type event struct {
		at   time.Duration
		beat *wire.ServerRecord
		// passed: a keeper in contact has passed the heartbeat on, with others.
		passed bool
	}
	beat := func(at time.Duration, id string, sequence uint64) event {
		return event{at, record(id, sequence, ready), false}
	}
	passed := func(at time.Duration, id string, sequence uint64) event {
		return event{at, record(id, sequence, ready), true}
	}
	tests := []struct {
		name   string
		events []event
		want   map[string]wire.ServerState
	}{
		{
			"a quick restart: the old life is silent after two heartbeats of the new one",
			[]event{beat(0, "old", 7), beat(300, "new", 1), beat(1300, "new", 2)},
			map[string]wire.ServerState{"old": silent, "new": ready},
		},
		{
			"a delayed one does not revive what was replaced",
			[]event{beat(0, "old", 7), beat(300, "new", 1), beat(1300, "new", 2), beat(1800, "old", 8)},
			map[string]wire.ServerState{"old": silent, "new": ready},
		},
		{
			"also where a keeper passes it on",
			[]event{beat(0, "old", 7), beat(300, "new", 1), passed(1300, "new", 2), passed(1800, "old", 8)},
			map[string]wire.ServerState{"old": silent, "new": ready},
		},
		{
			"one of a life that this leader never heard of does no harm to the next",
			[]event{beat(0, "new", 1), beat(500, "old", 8)},
			map[string]wire.ServerState{"old": ready, "new": ready},
		},
		{
			"and is silent after two heartbeats",
			[]event{beat(0, "new", 1), beat(500, "old", 8), beat(1000, "new", 2), beat(2000, "new", 3)},
			map[string]wire.ServerState{"old": silent, "new": ready},
		},
		{
			"it counts again where the other life is over",
			[]event{beat(0, "old", 7), beat(300, "new", 1), beat(1300, "new", 2), {1400, record("new", 3, leaving), false}, beat(1800, "old", 8)},
			map[string]wire.ServerState{"old": ready, "new": leaving},
		},
		{
			"a leader that has just begun has heard nobody, and silences nobody",
			[]event{beat(0, "old", 7), beat(300, "new", 1)},
			map[string]wire.ServerState{"old": ready, "new": ready},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			begun := time.Now()
			table := &Table{Heartbeat: every}
			table.Lead("history", begun)
			for _, e := range tt.events {
				now := begun.Add(e.at * time.Millisecond)
				if e.passed {
					table.Alive(&wire.AliveReport{Ids: []string{e.beat.GetId()}, Sequences: []uint64{e.beat.GetSequence()}}, now)
					continue
				}
				mustBeat(t, table, e.beat, now)
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

// What a follower has found out by itself of a life outlasts what its leader says of it, also
// where the leader holds it for ready.
func TestOwnKnowledgeOfLeavingIsKept(t *testing.T) {
	now := time.Now()
	lists := func(s ...*wire.ServerRecord) *wire.FollowReply {
		return &wire.FollowReply{Whole: true, History: "h", Version: 1, Servers: s}
	}
	steps := []struct {
		name   string
		after  time.Duration
		do     func(t *Table, now time.Time)
		closed bool
	}{
		{"known", 0, func(t *Table, now time.Time) { t.Take(lists(record("a", 1, ready)), now) }, false},
		{"found to leave", 0, func(t *Table, now time.Time) { t.Leave("a", now) }, true},
		{"listed as ready", time.Second, func(t *Table, now time.Time) { t.Take(lists(record("a", 2, ready)), now) }, true},
		{"beats on", time.Second, func(t *Table, now time.Time) { t.Refresh(record("a", 3, ready), now) }, true},
		{"has answered a check", time.Second, func(t *Table, now time.Time) { t.Confirm("a", time.Time{}, now) }, true},
		{"listed as ready later", 2 * forgetAfter, func(t *Table, now time.Time) { t.Forget(now); t.Take(lists(record("a", 9, ready)), now) }, true},
		{"its hall is vacated as well", 0, func(t *Table, now time.Time) {
			t.TakeHalls(&wire.HallStates{Revision: 1, Halls: []*wire.HallState{{Hall: "hall-1", Vacated: true}}}, now)
		}, true},
	}
	table := &Table{Heartbeat: time.Second}
	for _, tt := range steps {
		now = now.Add(tt.after)
		tt.do(table, now)
		if got := table.Closed("a"); got != tt.closed {
			t.Errorf("%s: closed is %v", tt.name, got)
		}
	}
	b := record("b", 1, ready)
	b.Hall = "hall-1"
	table.Take(&wire.FollowReply{History: "h", Version: 2, Servers: []*wire.ServerRecord{b}}, now)
	if !table.Closed("b") || table.Closed("unknown") {
		t.Error("a server of a vacated hall is open, or one that nobody knows is closed")
	}
}
