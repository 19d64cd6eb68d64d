package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"

	"sumachead/api/wire"
)

// lifeOf returns a record of a life of a server that started at a time; 0 for one that does
// not tell.
func lifeOf(name string, born int64, sequence uint64) *wire.ServerRecord {
	r := &wire.ServerRecord{Id: name, Name: name, Service: "pool", Address: "10.0.0.1:80", Hall: "hall-1", Sequence: sequence, BornUnixMillis: born}
	if born != 0 {
		r.Id = fmt.Sprint(name, "@", born)
	}
	return r
}

// usable lists the lives that requests may be sent to.
func usable(t *Table) (ids []string) {
	for _, r := range t.Servers("pool", nil) {
		if r.GetState() == wire.ServerState_SERVER_STATE_READY {
			ids = append(ids, r.GetId())
		}
	}
	return ids
}

func TestLivesOfOneName(t *testing.T) {
	const beat = time.Second
	start := time.UnixMilli(1_700_000_000_000)
	type heartbeat struct {
		after time.Duration
		r     *wire.ServerRecord
	}
	leaving := lifeOf("a", 100, 51)
	leaving.State = wire.ServerState_SERVER_STATE_LEAVING
	moved := lifeOf("a", 200, 1)
	moved.Address = "10.0.0.2:80"
	tests := []struct {
		name  string
		beats []heartbeat
		want  []string
	}{
		{"a later life with a lower sequence", []heartbeat{{0, lifeOf("a", 100, 50)}, {beat, lifeOf("a", 200, 1)}}, []string{"a@200"}},
		{"a later life of one that was leaving", []heartbeat{{0, lifeOf("a", 100, 50)}, {beat, leaving}, {2 * beat, lifeOf("a", 200, 1)}}, []string{"a@200"}},
		{"a later life at another address", []heartbeat{{0, lifeOf("a", 100, 50)}, {beat, moved}}, []string{"a@200"}},
		{"a heartbeat of the earlier life that comes late", []heartbeat{
			{0, lifeOf("a", 100, 50)}, {beat, lifeOf("a", 200, 1)}, {beat + 1, lifeOf("a", 100, 51)},
		}, []string{"a@200"}},
		{"an earlier life that was not known comes late", []heartbeat{
			{0, lifeOf("a", 200, 1)}, {beat, lifeOf("a", 100, 51)}, {2 * beat, lifeOf("a", 200, 2)}, {3 * beat, lifeOf("a", 100, 52)},
		}, []string{"a@200"}},
		{"a clock that stepped back between two lives", []heartbeat{
			{0, lifeOf("a", 200, 50)}, {beat, lifeOf("a", 100, 1)}, {3 * beat, lifeOf("a", 100, 2)}, {beat + silentBeats*beat, lifeOf("a", 100, 3)},
		}, []string{"a@100"}},
		{"the same, while the other life is heard of", []heartbeat{
			{0, lifeOf("a", 200, 50)}, {beat, lifeOf("a", 100, 1)}, {3 * beat, lifeOf("a", 200, 51)}, {beat + silentBeats*beat, lifeOf("a", 100, 3)},
		}, []string{"a@200"}},
		{"no start is ever told", []heartbeat{{0, lifeOf("a", 0, 1)}, {beat, lifeOf("a", 0, 2)}}, []string{"a"}},
		{"a start is told from some time on", []heartbeat{{0, lifeOf("a", 0, 9)}, {beat, lifeOf("a", 100, 1)}}, []string{"a@100"}},
		{"no start any more", []heartbeat{{0, lifeOf("a", 100, 1)}, {beat, lifeOf("a", 0, 9)}}, []string{"a@100"}},
		{"none, where the service tells starts", []heartbeat{{0, lifeOf("a", 100, 1)}, {beat, lifeOf("b", 0, 9)}}, []string{"a@100"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			leader := &Table{Heartbeat: beat}
			leader.Lead("1", start)
			follower := &Table{Heartbeat: beat}
			next := &Table{Heartbeat: beat} // one that follows, and leads later
			now := start
			for _, b := range tt.beats {
				now = start.Add(b.after)
				if _, err := leader.Beat(b.r, now); err != nil && !trace.IsBadParameter(err) {
					t.Fatal(err)
				}
				for _, f := range []*Table{follower, next} {
					history, version := f.Position()
					answer, _ := leader.Since(history, version)
					f.Take(answer, now)
				}
			}
			next.Lead("2", now)
			// A heartbeat that came to the other keeper before is told once more.
			if _, err := next.Beat(tt.beats[0].r, now); err != nil && !trace.IsBadParameter(err) {
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

func TestFollowersAreToldOnceThatALifeIsOver(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	leader := &Table{Heartbeat: time.Second}
	leader.Lead("1", now)
	var over []string
	follower := &Table{Heartbeat: time.Second, OnOver: func(r *wire.ServerRecord) { over = append(over, r.GetId()) }}
	for i, born := range []int64{100, 200, 200} {
		if _, err := leader.Beat(lifeOf("a", born, uint64(i)+1), now); err != nil {
			t.Fatal(err)
		}
		history, version := follower.Position()
		answer, _ := leader.Since(history, version)
		follower.Take(answer, now)
	}
	if diff := cmp.Diff([]string{"a@100"}, over); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// mustBeat takes in a heartbeat that a server has sent.
func mustBeat(t *testing.T, table *Table, r *wire.ServerRecord, now time.Time) (news bool) {
	t.Helper()
	news, err := table.Beat(r, now)
	if err != nil {
		t.Fatal(err)
	}
	return news
}
