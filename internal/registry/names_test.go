package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"

	"sumachead/api/wire"
)

// incarnationOf returns the record of an incarnation of a server with a start time, or 0 if it
// reports none.
func incarnationOf(name string, born int64, sequence uint64) *wire.ServerRecord {
	r := &wire.ServerRecord{Id: name, Name: name, Service: "pool", Address: "10.0.0.1:80", Hall: "hall-1", Sequence: sequence, BornUnixMillis: born}
	if born != 0 {
		r.Id = fmt.Sprint(name, "@", born)
	}
	return r
}

// usable lists the incarnations to which requests may be sent.
func usable(t *Table) (ids []string) {
	for _, r := range t.Servers("pool", nil) {
		if r.GetState() == wire.ServerState_SERVER_STATE_READY {
			ids = append(ids, r.GetId())
		}
	}
	return ids
}

func TestIncarnationsOfOneName(t *testing.T) {
	const interval = time.Second
	start := time.UnixMilli(1_700_000_000_000)
	type heartbeat struct {
		after time.Duration
		r     *wire.ServerRecord
	}
	leaving := incarnationOf("a", 100, 51)
	leaving.State = wire.ServerState_SERVER_STATE_LEAVING
	moved := incarnationOf("a", 200, 1)
	moved.Address = "10.0.0.2:80"
	tests := []struct {
		name  string
		beats []heartbeat
		want  []string
	}{
		{"a later incarnation with a lower sequence", []heartbeat{{0, incarnationOf("a", 100, 50)}, {interval, incarnationOf("a", 200, 1)}}, []string{"a@200"}},
		{"a later incarnation of a server that was leaving", []heartbeat{{0, incarnationOf("a", 100, 50)}, {interval, leaving}, {2 * interval, incarnationOf("a", 200, 1)}}, []string{"a@200"}},
		{"a later incarnation at another address", []heartbeat{{0, incarnationOf("a", 100, 50)}, {interval, moved}}, []string{"a@200"}},
		{"a late heartbeat of the earlier incarnation", []heartbeat{
			{0, incarnationOf("a", 100, 50)}, {interval, incarnationOf("a", 200, 1)}, {interval + 1, incarnationOf("a", 100, 51)},
		}, []string{"a@200"}},
		{"late heartbeats of an unknown earlier incarnation", []heartbeat{
			{0, incarnationOf("a", 200, 1)}, {interval, incarnationOf("a", 100, 51)}, {2 * interval, incarnationOf("a", 200, 2)}, {3 * interval, incarnationOf("a", 100, 52)},
		}, []string{"a@200"}},
		{"a clock that stepped back between two incarnations", []heartbeat{
			{0, incarnationOf("a", 200, 50)}, {interval, incarnationOf("a", 100, 1)}, {3 * interval, incarnationOf("a", 100, 2)}, {interval + maxMissedHeartbeats*interval, incarnationOf("a", 100, 3)},
		}, []string{"a@100"}},
		{"a clock that stepped back, while the other incarnation sends heartbeats", []heartbeat{
			{0, incarnationOf("a", 200, 50)}, {interval, incarnationOf("a", 100, 1)}, {3 * interval, incarnationOf("a", 200, 51)}, {interval + maxMissedHeartbeats*interval, incarnationOf("a", 100, 3)},
		}, []string{"a@200"}},
		{"no start time is ever reported", []heartbeat{{0, incarnationOf("a", 0, 1)}, {interval, incarnationOf("a", 0, 2)}}, []string{"a"}},
		{"a start time is reported from some heartbeat on", []heartbeat{{0, incarnationOf("a", 0, 9)}, {interval, incarnationOf("a", 100, 1)}}, []string{"a@100"}},
		{"no start time after one was reported", []heartbeat{{0, incarnationOf("a", 100, 1)}, {interval, incarnationOf("a", 0, 9)}}, []string{"a@100"}},
		{"no start time where the service's servers report theirs", []heartbeat{{0, incarnationOf("a", 100, 1)}, {interval, incarnationOf("b", 0, 9)}}, []string{"a@100"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			leader := &Table{Heartbeat: interval}
			leader.StartLeading("1", start)
			follower := &Table{Heartbeat: interval}
			next := &Table{Heartbeat: interval} // follows first, and becomes the leader later
			now := start
			for _, b := range tt.beats {
				now = start.Add(b.after)
				if _, err := leader.ApplyHeartbeat(b.r, now); err != nil && !trace.IsBadParameter(err) {
					t.Fatal(err)
				}
				for _, f := range []*Table{follower, next} {
					history, version := f.Position()
					reply, _ := leader.ChangesSince(history, version)
					f.Apply(reply, now)
				}
			}
			next.StartLeading("2", now)
			// A heartbeat that the previous leader received is repeated.
			if _, err := next.ApplyHeartbeat(tt.beats[0].r, now); err != nil && !trace.IsBadParameter(err) {
				t.Fatal(err)
			}
			for name, table := range map[string]*Table{"leader": leader, "follower": follower, "next leader": next} {
				if diff := cmp.Diff(tt.want, usable(table)); diff != "" {
					t.Errorf("%s (-want +got):\n%s", name, diff)
				}
			}
		})
	}
}

func TestOnSupersededIsCalledOncePerIncarnation(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	leader := &Table{Heartbeat: time.Second}
	leader.StartLeading("1", now)
	var superseded []string
	follower := &Table{Heartbeat: time.Second, OnSuperseded: func(r *wire.ServerRecord) { superseded = append(superseded, r.GetId()) }}
	for i, born := range []int64{100, 200, 200} {
		if _, err := leader.ApplyHeartbeat(incarnationOf("a", born, uint64(i)+1), now); err != nil {
			t.Fatal(err)
		}
		history, version := follower.Position()
		reply, _ := leader.ChangesSince(history, version)
		follower.Apply(reply, now)
	}
	if diff := cmp.Diff([]string{"a@100"}, superseded); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// mustApplyHeartbeat applies a valid heartbeat.
func mustApplyHeartbeat(t *testing.T, table *Table, r *wire.ServerRecord, now time.Time) (changed bool) {
	t.Helper()
	changed, err := table.ApplyHeartbeat(r, now)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}
