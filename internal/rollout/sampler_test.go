package rollout

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"sumachead/api/wire"
)

// newSampler returns a sampler with an order and a grant.
func newSampler(g *wire.RolloutGrants) (*Sampler, *fakeClock) {
	c := &fakeClock{now: 1}
	s := &Sampler{Clock: c, Node: "r", Boot: "b"}
	s.Update(&wire.Rollouts{Revision: 1, Rollouts: []*wire.Rollout{{
		Service: "s", Target: "v2", Revision: 1, Order: 1, DeadlineUnixMillis: time.Minute.Milliseconds(),
	}}})
	for _, r := range s.DueReports() {
		s.HandleReply(r, g, c.now)
	}
	return s, c
}

// draw calls SampleRequest for requests of routes and returns which of them are sampled.
func draw(s *Sampler, routes ...string) []bool {
	var out []bool
	for _, r := range routes {
		out = append(out, s.SampleRequest("s", r))
	}
	return out
}

func TestSamplesAreDrawn(t *testing.T) {
	const valid = 1000
	tests := []struct {
		name   string
		grants *wire.RolloutGrants
		after  time.Duration
		routes []string
		want   []bool
	}{
		{"without grants", nil, 0, []string{"a"}, []bool{false}},
		{"at most as many as granted", &wire.RolloutGrants{Requests: 1, ValidMillis: valid}, 0, []string{"a", "b"}, []bool{true, false}},
		{"never two consecutive requests of a route", &wire.RolloutGrants{Requests: 3, ValidMillis: valid}, 0, []string{"a", "a", "a"}, []bool{true, false, true}},
		{"scarce routes first", &wire.RolloutGrants{Requests: 2, ValidMillis: valid, Scarce: []string{"b"}}, 0, []string{"a", "b"}, []bool{false, true}},
		{"other routes later", &wire.RolloutGrants{Requests: 2, ValidMillis: valid, Scarce: []string{"b"}}, 600 * time.Millisecond, []string{"a", "b"}, []bool{true, true}},
		{"withheld routes never", &wire.RolloutGrants{Requests: 2, ValidMillis: valid, Withheld: []string{"a"}}, 600 * time.Millisecond, []string{"a"}, []bool{false}},
		{"not after the grant has expired", &wire.RolloutGrants{Requests: 2, ValidMillis: valid}, time.Second, []string{"a"}, []bool{false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, c := newSampler(tt.grants)
			c.now = c.now.Add(tt.after)
			if diff := cmp.Diff(tt.want, draw(s, tt.routes...)); diff != "" {
				t.Errorf("sampled requests (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReportHasTotals(t *testing.T) {
	s, c := newSampler(&wire.RolloutGrants{Requests: 4, ValidMillis: 1000})
	end := s.BeginRequest("s", "v1")
	draw(s, "a", "a")
	s.Record(Outcome{Service: "s", Route: "a", Server: "new", Version: "v2", Counts: true, Failed: true})
	s.Record(Outcome{Service: "s", Route: "a", Server: "old", Version: "v1", Counts: true, FirstEvent: time.Millisecond})
	s.Record(Outcome{Service: "s", Route: "a", Server: "old", Version: "v1"})
	s.Record(Outcome{Service: "s", Route: "a", Server: "gone", Version: "v2", Counts: true, Failed: true, Crashed: true})
	s.CancelSample("s")
	c.now = c.now.Add(time.Second)
	s.Update(&wire.Rollouts{Revision: 2, Rollouts: []*wire.Rollout{{
		Service: "s", Target: "v2", Revision: 2, Order: 1, Phase: wire.RolloutPhase_ROLLOUT_PHASE_MOVING, Replaced: []string{"v1"},
	}}})
	want := []*wire.RolloutReport{{
		Node: "r", Boot: "b", Number: 2, Service: "s", Order: 1, Revision: 2, Reached: 4, Granted: 4, Lapsed: 4, OpenReplaced: 1,
		Arrivals: []*wire.RolloutArrivals{{Route: "a", Requests: 2}},
		Answers: []*wire.RolloutAnswers{
			{Server: "gone", Ended: true},
			{Route: "a", Answers: 1, First: []uint32{1}},
			{Route: "a", Server: "new", Answers: 1, Failed: 1},
		},
	}}
	if diff := cmp.Diff(want, s.DueReports(), protocmp.Transform()); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	end()
	if got := s.DueReports(); got != nil {
		t.Errorf("a second report is due while one is pending: %v", got)
	}
}

// A late message with an older state must not restart an order that has ended.
func TestEndedOrderIsNotRestarted(t *testing.T) {
	s, _ := newSampler(&wire.RolloutGrants{Requests: 4, ValidMillis: 1000})
	s.Update(&wire.Rollouts{Revision: 2, Rollouts: []*wire.Rollout{{
		Service: "s", Target: "v2", Revision: 2, Order: 1, Phase: wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK,
	}}})
	s.Update(&wire.Rollouts{Revision: 1, Rollouts: []*wire.Rollout{{Service: "s", Target: "v2", Revision: 1, Order: 1}}})
	if s.InProgress("s") || s.SampleRequest("s", "a") {
		t.Error("a request is sampled after the order has ended")
	}
}
