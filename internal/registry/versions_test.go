package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/api/wire"
)

// rolloutTo returns a rollout of a service to a version with a revision and phase.
func rolloutTo(revision uint64, target string, p wire.RolloutPhase, replaced ...string) *wire.Rollouts {
	return &wire.Rollouts{Revision: revision, Rollouts: []*wire.Rollout{{
		Service: "pool", Target: target, Phase: p, Revision: revision, Order: 1, Replaced: replaced,
	}}}
}

// withRejected adds versions that earlier rollouts have rejected.
func withRejected(s *wire.Rollouts, versions ...string) *wire.Rollouts {
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
		name    string
		updates []*wire.Rollouts
		// use are the servers for all requests and canaries those for canary requests only;
		// other servers get none.
		use, canaries []string
	}{
		{"without an order", nil, []string{"other", "s1", "s2"}, nil},
		{"trial", []*wire.Rollouts{rolloutTo(1, "v2", trial)}, []string{"other", "s1"}, []string{"s2"}},
		{"moving", []*wire.Rollouts{rolloutTo(2, "v2", moving, "", "v1")}, []string{"s2"}, nil},
		{"complete", []*wire.Rollouts{rolloutTo(3, "v2", complete, "v1")}, []string{"other", "s2"}, nil},
		{"rolled back", []*wire.Rollouts{rolloutTo(3, "v2", rolledBack)}, []string{"other", "s1"}, nil},
		{"rolled back while moving", []*wire.Rollouts{rolloutTo(3, "v2", rolledBack, "v1")}, []string{"other", "s1"}, nil},
		{"back to the previous version", []*wire.Rollouts{rolloutTo(3, "v2", complete, "v1"), rolloutTo(4, "v1", trial)}, []string{"other", "s2"}, []string{"s1"}},
		{"an older revision arrives late", []*wire.Rollouts{rolloutTo(3, "v2", rolledBack), rolloutTo(1, "v2", trial)}, []string{"other", "s1"}, nil},
		{"another version ordered after one was rolled back", []*wire.Rollouts{rolloutTo(3, "v2", rolledBack), withRejected(rolloutTo(4, "v3", trial), "v2")}, []string{"other", "s1"}, nil},
		{"another version rolled back after one was", []*wire.Rollouts{withRejected(rolloutTo(5, "v3", rolledBack), "v2")}, []string{"other", "s1"}, nil},
		{"moved to another version after one was rolled back", []*wire.Rollouts{withRejected(rolloutTo(5, "v1", complete, ""), "v2")}, []string{"s1"}, nil},
		{"a target that no server has", []*wire.Rollouts{rolloutTo(1, "v3", trial)}, []string{"other", "s1", "s2"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			table := &Table{Heartbeat: time.Second}
			versions := map[string]string{"s1": "v1", "s2": "v2", "other": ""}
			for id, v := range versions {
				mustApplyHeartbeat(t, table, &wire.ServerRecord{Id: id, Service: "pool", Hall: "a", Address: id + ":80", Sequence: 1, Software: v}, now)
			}
			ids(table) // a cached list must be invalidated
			for _, s := range tt.updates {
				table.ApplyRollouts(s)
			}
			if d := cmp.Diff(tt.use, ids(table)); d != "" {
				t.Errorf("servers (-want +got):\n%s", d)
			}
			var canaries []string
			for _, r := range table.CanaryServers("pool", nil) {
				canaries = append(canaries, r.GetId())
			}
			if d := cmp.Diff(tt.canaries, canaries); d != "" {
				t.Errorf("canary servers (-want +got):\n%s", d)
			}
			for id := range versions {
				used := slices.Contains(tt.use, id) || slices.Contains(tt.canaries, id)
				if table.IsExcluded(id) == used {
					t.Errorf("%s: excluded %v, used %v", id, table.IsExcluded(id), used)
				}
			}
		})
	}
}
