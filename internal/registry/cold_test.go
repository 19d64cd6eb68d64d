package registry

import (
	"testing"
	"time"

	"sumachead/api/wire"
)

// coldBeat is a heartbeat of a test, at a time after the start.
type coldBeat struct {
	at       time.Duration
	sequence uint64
	// left is for how much longer the server says that it is cold.
	left time.Duration
}

func (b coldBeat) record() *wire.ServerRecord {
	r := record("a", b.sequence, ready)
	r.Hall, r.ColdMillis = "h", b.left.Milliseconds()
	return r
}

// What heartbeats tell of being cold reaches followers as a moment, and one that was
// overtaken or repeated changes nothing.
func TestCold(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name  string
		beats []coldBeat
		// cold and warm are times at which the server must be taken for the one or other.
		cold, warm []time.Duration
	}{
		{"never cold", []coldBeat{{0, 1, 0}}, nil, []time.Duration{0, second}},
		{"cold after its start", []coldBeat{{0, 1, 3 * second}}, []time.Duration{0, 2900 * time.Millisecond}, []time.Duration{3100 * time.Millisecond}},
		{"heartbeats that tell the same", []coldBeat{{0, 1, 3 * second}, {second, 2, 2 * second}}, []time.Duration{2900 * time.Millisecond}, []time.Duration{3100 * time.Millisecond}},
		{"a little longer than was told first", []coldBeat{{0, 1, 2900 * time.Millisecond}, {second, 2, 2 * second}}, []time.Duration{2950 * time.Millisecond}, []time.Duration{3100 * time.Millisecond}},
		{"heard of only shortly before the end", []coldBeat{{0, 1, 0}, {second, 2, 200 * time.Millisecond}}, []time.Duration{1100 * time.Millisecond}, []time.Duration{1300 * time.Millisecond}},
		{"cold again", []coldBeat{{0, 1, 0}, {5 * second, 2, 2 * second}}, []time.Duration{6 * second}, []time.Duration{7100 * time.Millisecond}},
		{"an overtaken heartbeat does not make it cold", []coldBeat{{0, 2, 0}, {second, 1, 3 * second}}, nil, []time.Duration{1100 * time.Millisecond}},
		{"nor does it make it warm", []coldBeat{{0, 2, 3 * second}, {second, 1, 0}}, []time.Duration{2 * second}, nil},
		{"a repeated heartbeat does not prolong it", []coldBeat{{0, 1, 3 * second}, {2 * second, 1, 3 * second}}, []time.Duration{2 * second}, []time.Duration{3100 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			leader := &Table{Heartbeat: time.Second}
			leader.Lead("one", start)
			for _, b := range tt.beats {
				mustBeat(t, leader, b.record(), start.Add(b.at))
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

// Followers learn the end of the cold time, also when they are told late; and a keeper
// that does not lead does not take a server for unchanged that has become cold.
func TestColdReachesFollowers(t *testing.T) {
	now := time.Now()
	leader, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	leader.Lead("one", now)
	mustBeat(t, leader, coldBeat{0, 1, 0}.record(), now)
	take := func() {
		r, _ := leader.Since(follower.Position())
		follower.Take(r, time.Now())
	}
	take()
	cold := coldBeat{0, 2, 3 * time.Second}.record()
	if follower.Refresh(cold, now) {
		t.Error("a server that has become cold is taken for unchanged")
	}
	mustBeat(t, leader, cold, now)
	time.Sleep(20 * time.Millisecond) // the way to the follower
	take()
	if off := follower.ColdUntil("a", 0).Sub(now.Add(3 * time.Second)).Abs(); off > 10*time.Millisecond {
		t.Errorf("the end of the cold time is off by %v", off)
	}
	for _, s := range follower.Servers("pool", nil) {
		if s.GetColdMillis() != 0 {
			t.Errorf("a span is kept: %d ms", s.GetColdMillis())
		}
	}
}

// The servers of a hall that was opened again are taken for cold for a while, whatever
// they have said.
func TestServersOfAnOpenedHallAreTakenForCold(t *testing.T) {
	now := time.Now()
	table := &Table{Heartbeat: time.Second}
	mustBeat(t, table, coldBeat{0, 1, 0}.record(), now)
	table.TakeHalls(states(1, []string{"h"}, nil), now)
	opened := states(2, nil, []string{"h"})
	opened.Halls[0].AgeMillis = 1000
	table.TakeHalls(opened, now.Add(5*time.Second))
	if want, got := now.Add(4*time.Second+3*time.Second), table.ColdUntil("a", 3*time.Second); !got.Equal(want) {
		t.Errorf("cold until %v after the start, want %v", got.Sub(now), want.Sub(now))
	}
}

// A leader that has just started and knows no more than that a server is there does not
// make it warm for followers that know better; nor does a file of records.
func TestLeaderThatKnowsNothingMakesNothingWarm(t *testing.T) {
	now := time.Now()
	first, next, follower := &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}, &Table{Heartbeat: time.Second}
	first.Lead("one", now)
	mustBeat(t, first, coldBeat{0, 1, 3 * time.Second}.record(), now)
	r, _ := first.Since(follower.Position())
	follower.Take(r, now)
	next.Load(first.Known(), now)
	next.Lead("two", now)
	r, _ = next.Since(follower.Position())
	follower.Take(r, now)
	if !follower.ColdUntil("a", 0).After(now.Add(2900 * time.Millisecond)) {
		t.Error("the server is taken for warm")
	}
}
