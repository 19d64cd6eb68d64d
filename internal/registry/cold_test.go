package registry

import (
	"testing"
	"time"

	"sumachead/api/wire"
)

// coldHeartbeat is a heartbeat at a time after the start of a test.
type coldHeartbeat struct {
	at       time.Duration
	sequence uint64
	// remaining is the cold time that the server reports.
	remaining time.Duration
}

func (b coldHeartbeat) record() *wire.ServerRecord {
	r := record("a", b.sequence, ready)
	r.Hall, r.ColdMillis = "h", b.remaining.Milliseconds()
	return r
}

// TestCold checks that followers receive the end of the cold time, and that overtaken and
// repeated heartbeats do not change it.
func TestCold(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name  string
		beats []coldHeartbeat
		// cold and warm are times after the start at which the server must be considered cold
		// or warm.
		cold, warm []time.Duration
	}{
		{"never cold", []coldHeartbeat{{0, 1, 0}}, nil, []time.Duration{0, second}},
		{"cold after its start", []coldHeartbeat{{0, 1, 3 * second}}, []time.Duration{0, 2900 * time.Millisecond}, []time.Duration{3100 * time.Millisecond}},
		{"heartbeats that report the same end", []coldHeartbeat{{0, 1, 3 * second}, {second, 2, 2 * second}}, []time.Duration{2900 * time.Millisecond}, []time.Duration{3100 * time.Millisecond}},
		{"a little longer than first reported", []coldHeartbeat{{0, 1, 2900 * time.Millisecond}, {second, 2, 2 * second}}, []time.Duration{2950 * time.Millisecond}, []time.Duration{3100 * time.Millisecond}},
		{"reported only shortly before the end", []coldHeartbeat{{0, 1, 0}, {second, 2, 200 * time.Millisecond}}, []time.Duration{1100 * time.Millisecond}, []time.Duration{1300 * time.Millisecond}},
		{"cold again", []coldHeartbeat{{0, 1, 0}, {5 * second, 2, 2 * second}}, []time.Duration{6 * second}, []time.Duration{7100 * time.Millisecond}},
		{"an overtaken heartbeat does not make it cold", []coldHeartbeat{{0, 2, 0}, {second, 1, 3 * second}}, nil, []time.Duration{1100 * time.Millisecond}},
		{"an overtaken heartbeat does not make it warm", []coldHeartbeat{{0, 2, 3 * second}, {second, 1, 0}}, []time.Duration{2 * second}, nil},
		{"a repeated heartbeat does not extend it", []coldHeartbeat{{0, 1, 3 * second}, {2 * second, 1, 3 * second}}, []time.Duration{2 * second}, []time.Duration{3100 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			leader := &Table{Heartbeat: time.Second}
			leader.StartLeading("one", start)
			for _, b := range tt.beats {
				mustApplyHeartbeat(t, leader, b.record(), start.Add(b.at))
			}
			for _, at := range tt.cold {
				if !leader.ColdUntil("a", 0).After(start.Add(at)) {
					t.Errorf("warm after %v", at)
				}
			}
			for _, at := range tt.warm {
				if leader.ColdUntil("a", 0).After(start.Add(at)) {
					t.Errorf("cold after %v", at)
				}
			}
		})
	}
}

// Followers receive the end of the cold time, independent of the delay, and a keeper that is
// not the leader does not treat a server that has become cold as unchanged.
func TestColdReachesFollowers(t *testing.T) {
	now := time.Now()
	leader, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	leader.StartLeading("one", now)
	mustApplyHeartbeat(t, leader, coldHeartbeat{0, 1, 0}.record(), now)
	apply := func() {
		r, _ := leader.ChangesSince(follower.Position())
		follower.Apply(r, time.Now())
	}
	apply()
	cold := coldHeartbeat{0, 2, 3 * time.Second}.record()
	if follower.Refresh(cold, now) {
		t.Error("a server that has become cold is considered unchanged")
	}
	mustApplyHeartbeat(t, leader, cold, now)
	time.Sleep(20 * time.Millisecond) // delay of the reply
	apply()
	if off := follower.ColdUntil("a", 0).Sub(now.Add(3 * time.Second)).Abs(); off > 10*time.Millisecond {
		t.Errorf("the end of the cold time is off by %v", off)
	}
	for _, s := range follower.Servers("pool", nil) {
		if s.GetColdMillis() != 0 {
			t.Errorf("remaining cold time is kept in the record: %d ms", s.GetColdMillis())
		}
	}
}

// The servers of a data hall that was reopened are considered cold for a while, whatever their
// heartbeats reported.
func TestServersOfAReopenedHallAreConsideredCold(t *testing.T) {
	now := time.Now()
	table := &Table{Heartbeat: time.Second}
	mustApplyHeartbeat(t, table, coldHeartbeat{0, 1, 0}.record(), now)
	table.ApplyHalls(hallStates(1, []string{"h"}, nil), now)
	opened := hallStates(2, nil, []string{"h"})
	opened.Halls[0].AgeMillis = 1000
	table.ApplyHalls(opened, now.Add(5*time.Second))
	if want, got := now.Add(4*time.Second+3*time.Second), table.ColdUntil("a", 3*time.Second); !got.Equal(want) {
		t.Errorf("cold until %v after the start, want %v", got.Sub(now), want.Sub(now))
	}
}

// A leader that has just started and knows nothing but that a server exists, or that has
// restored saved records, must not make a cold server warm at followers that know its cold
// time.
func TestNewLeaderDoesNotMakeColdServersWarm(t *testing.T) {
	now := time.Now()
	first, next, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	first.StartLeading("one", now)
	mustApplyHeartbeat(t, first, coldHeartbeat{0, 1, 3 * time.Second}.record(), now)
	r, _ := first.ChangesSince(follower.Position())
	follower.Apply(r, now)
	next.Restore(first.Records(), now)
	next.StartLeading("two", now)
	r, _ = next.ChangesSince(follower.Position())
	follower.Apply(r, now)
	if !follower.ColdUntil("a", 0).After(now.Add(2900 * time.Millisecond)) {
		t.Error("the server is considered warm")
	}
}
