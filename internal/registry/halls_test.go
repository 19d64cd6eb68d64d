package registry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/api/wire"
)

// hallStates returns a revision of hall states with the given vacated and open halls.
func hallStates(revision uint64, vacated, open []string) *wire.HallStates {
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
		name       string
		updates    []*wire.HallStates
		want       []string
		allVacated bool
	}{
		{"no order", nil, []string{"s1", "s2"}, false},
		{"one hall", []*wire.HallStates{hallStates(1, []string{"a"}, nil)}, []string{"s2"}, false},
		{"all halls", []*wire.HallStates{hallStates(2, []string{"a", "b"}, nil)}, nil, true},
		{"reopened", []*wire.HallStates{hallStates(1, []string{"a"}, nil), hallStates(2, nil, []string{"a"})}, []string{"s1", "s2"}, false},
		{"older states arrive late", []*wire.HallStates{hallStates(2, nil, []string{"a"}), hallStates(1, []string{"a"}, nil)}, []string{"s1", "s2"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			table := &Table{Heartbeat: time.Second}
			for id, hall := range map[string]string{"s1": "a", "s2": "b"} {
				mustApplyHeartbeat(t, table, &wire.ServerRecord{Id: id, Service: "pool", Hall: hall, Address: id + ":80", Sequence: 1}, now)
			}
			ids(table) // a cached list must be invalidated
			for _, s := range tt.updates {
				table.ApplyHalls(s, now)
			}
			if d := cmp.Diff(tt.want, ids(table)); d != "" {
				t.Errorf("servers (-want +got):\n%s", d)
			}
			if d := cmp.Diff(tt.allVacated, table.AllVacated("pool", nil, now)); d != "" {
				t.Errorf("all servers in vacated halls (-want +got):\n%s", d)
			}
		})
	}
}

// A new leader may not have heard yet from the servers that are not in vacated halls.
func TestNewLeaderMayNotKnowOfServersElsewhere(t *testing.T) {
	now := time.Now()
	table := &Table{Heartbeat: time.Second}
	table.ApplyHalls(hallStates(1, []string{"a"}, nil), now)
	s := &wire.ServerRecord{Id: "s1", Service: "pool", Hall: "a", Address: "s1:80", Sequence: 1}
	table.Apply(&wire.FollowReply{History: "one", Version: 1, Whole: true, Servers: []*wire.ServerRecord{s}}, now)
	if table.AllVacated("pool", nil, now.Add(time.Second)) {
		t.Error("reported one heartbeat after the leader's first response")
	}
	if !table.AllVacated("pool", nil, now.Add(4*time.Second)) {
		t.Error("not reported four heartbeats after it")
	}
}
