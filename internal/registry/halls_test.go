package registry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/api/wire"
)

// states are a revision with the halls that are vacated by it, and those that are open.
func states(revision uint64, vacated, open []string) *wire.HallStates {
	s := &wire.HallStates{Revision: revision}
	for _, h := range vacated {
		s.Halls = append(s.Halls, &wire.HallState{Hall: h, Vacated: true})
	}
	for _, h := range open {
		s.Halls = append(s.Halls, &wire.HallState{Hall: h})
	}
	return s
}

func TestVacatedHalls(t *testing.T) {
	tests := []struct {
		name string
		told []*wire.HallStates
		want []string
		only bool
	}{
		{"no order", nil, []string{"s1", "s2"}, false},
		{"one hall", []*wire.HallStates{states(1, []string{"a"}, nil)}, []string{"s2"}, false},
		{"all halls", []*wire.HallStates{states(2, []string{"a", "b"}, nil)}, nil, true},
		{"opened again", []*wire.HallStates{states(1, []string{"a"}, nil), states(2, nil, []string{"a"})}, []string{"s1", "s2"}, false},
		{"older states come late", []*wire.HallStates{states(2, nil, []string{"a"}), states(1, []string{"a"}, nil)}, []string{"s1", "s2"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			table := &Table{Heartbeat: time.Second}
			for id, hall := range map[string]string{"s1": "a", "s2": "b"} {
				mustBeat(t, table, &wire.ServerRecord{Id: id, Service: "pool", Hall: hall, Address: id + ":80", Sequence: 1}, now)
			}
			ids(table) // a list that was asked for before must not stay
			for _, s := range tt.told {
				table.TakeHalls(s, now)
			}
			if d := cmp.Diff(tt.want, ids(table)); d != "" {
				t.Errorf("servers (-want +got):\n%s", d)
			}
			if d := cmp.Diff(tt.only, table.OnlyVacated("pool", nil, now)); d != "" {
				t.Errorf("all are in vacated halls (-want +got):\n%s", d)
			}
		})
	}
}

// While a leader is new it may not have heard of the servers that are not in vacated halls.
func TestNewLeaderMayNotKnowOfServersElsewhere(t *testing.T) {
	now := time.Now()
	table := &Table{Heartbeat: time.Second}
	table.TakeHalls(states(1, []string{"a"}, nil), now)
	s := &wire.ServerRecord{Id: "s1", Service: "pool", Hall: "a", Address: "s1:80", Sequence: 1}
	table.Take(&wire.FollowReply{History: "one", Version: 1, Whole: true, Servers: []*wire.ServerRecord{s}}, now)
	if table.OnlyVacated("pool", nil, now.Add(time.Second)) {
		t.Error("known a heartbeat after the leader's first answer")
	}
	if !table.OnlyVacated("pool", nil, now.Add(4*time.Second)) {
		t.Error("not known some heartbeats after it")
	}
}
