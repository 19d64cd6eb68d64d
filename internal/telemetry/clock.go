package telemetry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"sumachead/internal/loop"
)

const (
	// clockEvery is how often the time of day is compared with the steady clock.
	clockEvery = 5 * time.Second
	// jumpFrom is the least difference that is told: far more than clocks are
	// slewed by, and less than what confuses a reader of logs.
	jumpFrom = 250 * time.Millisecond
)

// clockWatch compares the time of day with the steady clock.
type clockWatch struct {
	// offset is the time of day minus the steady clock as of the last look.
	offset time.Duration
}

// jumped returns by how much the time of day has jumped since the last look; 0 for
// no jump. The steady time may count from any moment, but always from the same.
func (c *clockWatch) jumped(wall time.Time, steady time.Duration) time.Duration {
	offset := time.Duration(wall.UnixNano()) - steady
	by := offset - c.offset
	c.offset = offset
	if by.Abs() < jumpFrom {
		return 0
	}
	return by
}

// WatchClock logs jumps of the time of day until ctx ends: the times that log lines
// and other hosts' lines carry can't be compared across one.
func WatchClock(ctx context.Context, log hclog.Logger) error {
	begun := time.Now()
	w := &clockWatch{offset: time.Duration(begun.UnixNano())} // the steady clock counts from begun
	return loop.Every(ctx, clockEvery, func() {
		now := time.Now()
		if by := w.jumped(now, now.Sub(begun)); by != 0 {
			log.Warn("The time of day has jumped.", "by", by)
		}
	})
}
