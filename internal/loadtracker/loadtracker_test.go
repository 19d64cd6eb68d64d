package loadtracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// limit returns an observation of a limit that was made age ago.
func limit(rate float64, age time.Duration) *wire.LimitObservation {
	return &wire.LimitObservation{Rate: rate, AgeMicros: age.Microseconds()}
}

// The newest observation of a limit is in force, whether a router reports it or asks for a
// permit with it.
func TestServiceKeepsTheNewestLimit(t *testing.T) {
	tests := []struct {
		name string
		// reported are sent in order, and withPermit comes with the request for a permit.
		reported   []*wire.LimitObservation
		withPermit *wire.LimitObservation
		want       float64
	}{
		{"nothing known", nil, nil, 0},
		{"reported", []*wire.LimitObservation{limit(2, time.Second)}, nil, 2},
		{"with the permit request", nil, limit(3, 0), 3},
		{"an older observation arrives late", []*wire.LimitObservation{limit(2, time.Second), limit(5, time.Minute)}, nil, 2},
		{"the limit ends", []*wire.LimitObservation{limit(2, time.Minute), limit(0, time.Second)}, nil, 0},
		{"a router that does not know the limit ended", []*wire.LimitObservation{limit(2, time.Minute), limit(0, time.Second)}, limit(2, time.Minute), 0},
		{"reported again", []*wire.LimitObservation{limit(0, time.Minute)}, limit(1, time.Second), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Service{Since: time.Now().Add(-time.Minute)}
			for _, x := range tt.reported {
				n := &wire.GaugeNotes{Router: "r", Server: "e", Notes: []*wire.GaugeNote{{Note: &wire.GaugeNote_Limit{Limit: x}}}}
				if err := s.Note(n, &wire.Empty{}); err != nil {
					t.Fatal(err)
				}
			}
			var permit wire.AdmitReply
			if err := s.Admit(&wire.AdmitRequest{Server: "e", Incarnation: "e", Limit: tt.withPermit}, &permit); err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(tt.want, permit.GetLimit().GetRate()); d != "" {
				t.Errorf("limit with a permit (-want +got):\n%s", d)
			}
			if !permit.GetGranted() {
				t.Error("the first permit was not granted")
			}
			var answer wire.GaugeAnswer
			if err := s.Ask(&wire.GaugeQuestion{Router: "other", Server: "e"}, &answer); err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(tt.want, answer.GetLimit().GetRate()); d != "" {
				t.Errorf("limit reported to another router (-want +got):\n%s", d)
			}
		})
	}
}

// A server that is cold and limits requests gets the lower of both bounds.
func TestServiceGrantsWhatBothBoundsAllow(t *testing.T) {
	tests := []struct {
		name              string
		cold, limit, want float64
	}{
		{"neither", 0, 0, 1000},
		{"cold", 5, 0, 5},
		{"limited", 0, 7, 7},
		{"the limit is lower", 50, 7, 7},
		{"the cold rate is lower", 5, 70, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &Service{Since: time.Now()}
			r := &wire.AdmitRequest{Server: "e", Incarnation: "e", Rate: tt.cold, Burst: tt.cold / 2}
			if tt.limit > 0 {
				r.Limit = limit(tt.limit, 0)
			}
			granted := 0
			for until := time.Now().Add(time.Second); time.Now().Before(until) && granted < 1000; time.Sleep(time.Millisecond / 2) {
				var reply wire.AdmitReply
				if err := s.Admit(r, &reply); err != nil {
					t.Fatal(err)
				}
				if reply.GetGranted() {
					granted++
				}
			}
			if g := float64(granted); g > tt.want+1 || g < tt.want/2 {
				t.Errorf("%d permits in a second, want %.0f", granted, tt.want)
			}
		})
	}
}

// Observations that no router reports any more are dropped.
func TestServiceForgetsOldLimits(t *testing.T) {
	s := &Service{Since: time.Now()}
	for i := range 3 * maxLimits {
		s.mergeLimit(sumachead.ServerID(fmt.Sprint("e", i)), limit(1, 2*limitTimeout))
	}
	if n := s.limits.Len(); n > maxLimits {
		t.Errorf("%d limits are kept, want %d at most", n, maxLimits)
	}
}
