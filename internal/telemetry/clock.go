package telemetry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"sumachead/internal/loop"
)

const (
	// clockCheckInterval is the interval between comparisons of the wall clock with the
	// monotonic clock.
	clockCheckInterval = 5 * time.Second
	// minClockJump is the smallest jump that is logged: far more than clocks are
	// slewed by, and less than what would confuse a reader of logs.
	minClockJump = 250 * time.Millisecond
)

// clockMonitor detects jumps of the wall clock relative to the monotonic clock.
type clockMonitor struct {
	// offset is the wall clock minus the monotonic clock at the last check.
	offset time.Duration
}

// detectJump returns how far the wall clock has jumped since the last check; 0 for
// no jump. The monotonic time may count from any moment, but always from the same.
func (c *clockMonitor) detectJump(wall time.Time, monotonic time.Duration) time.Duration {
	offset := time.Duration(wall.UnixNano()) - monotonic
	jump := offset - c.offset
	c.offset = offset
	if jump.Abs() < minClockJump {
		return 0
	}
	return jump
}

// WatchClock logs jumps of the wall clock until ctx ends: timestamps of log lines, also
// those of other hosts, can't be compared across a jump.
func WatchClock(ctx context.Context, log hclog.Logger) error {
	start := time.Now()
	w := &clockMonitor{offset: time.Duration(start.UnixNano())} // the monotonic time counts from start
	return loop.Every(ctx, clockCheckInterval, func() {
		now := time.Now()
		if jump := w.detectJump(now, now.Sub(start)); jump != 0 {
			log.Warn("Wall clock jumped.", "by", jump)
		}
	})
}
