package rollout

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// fixedClock is a clock that stands still.
type fixedClock struct{}

func (fixedClock) Now() sumachead.BootTime { return sumachead.BootTime(time.Hour) }

// Streams that began at a version on trial count against its limit of canary requests when they are
// resumed.
func TestResumedStreamsNeedCanaryGrants(t *testing.T) {
	tests := []struct {
		name    string
		phase   wire.RolloutPhase
		version string
		grants  int64
		want    int
	}{
		{"on trial with grants", wire.RolloutPhase_ROLLOUT_PHASE_TRIAL, "v2", 2, 2},
		{"on trial without a grant", wire.RolloutPhase_ROLLOUT_PHASE_TRIAL, "v2", 0, 0},
		{"the replaced version", wire.RolloutPhase_ROLLOUT_PHASE_TRIAL, "v1", 2, 0},
		{"moving", wire.RolloutPhase_ROLLOUT_PHASE_MOVING, "v2", 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Sampler{Clock: fixedClock{}}
			s.Update(&wire.Rollouts{Revision: 1, Rollouts: []*wire.Rollout{{
				Service: "pool", Target: "v2", Replaced: []string{"v1"}, Order: 1, Phase: tt.phase, DeadlineUnixMillis: 10_000,
			}}})
			r := &wire.RolloutReport{Service: "pool", Order: 1}
			s.HandleReply(r, &wire.RolloutGrants{Requests: tt.grants, ValidMillis: 1000}, fixedClock{}.Now())
			got := 0
			for range 5 {
				if s.SampleResumed("pool", "r", tt.version) {
					got++
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("resumed (-want +got):\n%s", diff)
			}
		})
	}
}
