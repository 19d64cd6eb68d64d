package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/api/wire"
)

// rolledOut are the roll-outs of a service to a version, by revision and phase.
func rolledOut(revision uint64, target string, p wire.RolloutPhase, replaced ...string) *wire.Rollouts {
	return &wire.Rollouts{Revision: revision, Rollouts: []*wire.Rollout{{
		Service: "pool", Target: target, Phase: p, Revision: revision, Order: 1, Replaced: replaced,
	}}}
}

// rejecting adds versions that earlier roll-outs have rejected.
func rejecting(s *wire.Rollouts, versions ...string) *wire.Rollouts {
	s.Rollouts[0].Rejected = versions
	return s
}

func TestVersionsAreUsedByTheirRollout(t *testing.T) {
	const (
		trial      = wire.RolloutPhase_ROLLOUT_PHASE_TRIAL
		moving     = wire.RolloutPhase_ROLLOUT_PHASE_MOVING
		complete   = wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE
		rolledBack = wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
	)
	tests := []struct {
		name string
		told []*wire.Rollouts
		// use are the servers for all requests, samples those for samples; none is for others.
		use, samples []string
	}{
		{"without an order", nil, []string{"other", "s1", "s2"}, nil},
		{"on trial", []*wire.Rollouts{rolledOut(1, "v2", trial)}, []string{"other", "s1"}, []string{"s2"}},
		{"in the move", []*wire.Rollouts{rolledOut(2, "v2", moving, "", "v1")}, []string{"s2"}, nil},
		{"complete", []*wire.Rollouts{rolledOut(3, "v2", complete, "v1")}, []string{"other", "s2"}, nil},
		{"rolled back", []*wire.Rollouts{rolledOut(3, "v2", rolledBack)}, []string{"other", "s1"}, nil},
		{"rolled back in the move", []*wire.Rollouts{rolledOut(3, "v2", rolledBack, "v1")}, []string{"other", "s1"}, nil},
		{"back to the version before", []*wire.Rollouts{rolledOut(3, "v2", complete, "v1"), rolledOut(4, "v1", trial)}, []string{"other", "s2"}, []string{"s1"}},
		{"an older word comes late", []*wire.Rollouts{rolledOut(3, "v2", rolledBack), rolledOut(1, "v2", trial)}, []string{"other", "s1"}, nil},
		{"another version ordered after one was rolled back", []*wire.Rollouts{rolledOut(3, "v2", rolledBack), rejecting(rolledOut(4, "v3", trial), "v2")}, []string{"other", "s1"}, nil},
		{"another version rolled back after one was", []*wire.Rollouts{rejecting(rolledOut(5, "v3", rolledBack), "v2")}, []string{"other", "s1"}, nil},
		{"moved to another version after one was rolled back", []*wire.Rollouts{rejecting(rolledOut(5, "v1", complete, ""), "v2")}, []string{"s1"}, nil},
		{"a target that no server has", []*wire.Rollouts{rolledOut(1, "v3", trial)}, []string{"other", "s1", "s2"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			table := &Table{Heartbeat: time.Second}
			versions := map[string]string{"s1": "v1", "s2": "v2", "other": ""}
			for id, v := range versions {
				mustBeat(t, table, &wire.ServerRecord{Id: id, Service: "pool", Hall: "a", Address: id + ":80", Sequence: 1, Software: v}, now)
			}
			ids(table) // a list that was asked for before must not stay
			for _, s := range tt.told {
				table.TakeRollouts(s)
			}
			if d := cmp.Diff(tt.use, ids(table)); d != "" {
				t.Errorf("servers (-want +got):\n%s", d)
			}
			var samples []string
			for _, r := range table.OnTrial("pool", nil) {
				samples = append(samples, r.GetId())
			}
			if d := cmp.Diff(tt.samples, samples); d != "" {
				t.Errorf("servers for samples (-want +got):\n%s", d)
			}
			for id := range versions {
				used := slices.Contains(tt.use, id) || slices.Contains(tt.samples, id)
				if table.Closed(id) == used {
					t.Errorf("%s: closed %v, used %v", id, table.Closed(id), used)
				}
			}
		})
	}
}
