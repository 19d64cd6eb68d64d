package telemetry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestClockJumpsAreSeenOnce(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	looks := []struct {
		name   string
		wall   time.Duration
		steady time.Duration
		want   time.Duration
	}{
		{"nothing", time.Second, time.Second, 0},
		{"a small slew", 2*time.Second + 100*time.Millisecond, 2 * time.Second, 0},
		{"ahead", 7*time.Second + 100*time.Millisecond, 3 * time.Second, 4 * time.Second},
		{"no further jump", 8*time.Second + 100*time.Millisecond, 4 * time.Second, 0},
		{"back", 5*time.Second + 100*time.Millisecond, 5 * time.Second, -4 * time.Second},
		{"a late look is no jump", 15*time.Second + 100*time.Millisecond, 15 * time.Second, 0},
	}
	w := &clockWatch{offset: time.Duration(start.UnixNano())}
	for _, l := range looks {
		if diff := cmp.Diff(l.want, w.jumped(start.Add(l.wall), l.steady)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", l.name, diff)
		}
	}
}
