package telemetry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestClockJumpsAreDetectedOnce(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	checks := []struct {
		name      string
		wall      time.Duration
		monotonic time.Duration
		want      time.Duration
	}{
		{"no jump", time.Second, time.Second, 0},
		{"a small slew", 2*time.Second + 100*time.Millisecond, 2 * time.Second, 0},
		{"forward", 7*time.Second + 100*time.Millisecond, 3 * time.Second, 4 * time.Second},
		{"no further jump", 8*time.Second + 100*time.Millisecond, 4 * time.Second, 0},
		{"backward", 5*time.Second + 100*time.Millisecond, 5 * time.Second, -4 * time.Second},
		{"a late check is no jump", 15*time.Second + 100*time.Millisecond, 15 * time.Second, 0},
	}
	w := &clockMonitor{offset: time.Duration(start.UnixNano())}
	for _, l := range checks {
		if diff := cmp.Diff(l.want, w.detectJump(start.Add(l.wall), l.monotonic)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", l.name, diff)
		}
	}
}
