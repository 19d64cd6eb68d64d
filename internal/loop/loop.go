// Package loop runs work at intervals.
package loop

import (
	"context"
	"time"
)

// Every calls f at an interval until ctx ends; then it returns nil. It passes no
// time on: that of a tick is old in a process that was frozen.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	return EveryOrKicked(ctx, interval, nil, 0, f)
}

// EveryOrKicked is Every with a call beside the interval a gap after each kick, so that what
// comes together is dealt with by one call.
func EveryOrKicked(ctx context.Context, interval time.Duration, kick <-chan struct{}, gap time.Duration, f func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-kick:
			time.Sleep(gap)
		}
		f()
	}
}

// Pause returns true when changed is closed or at a time, and false when ctx ends first.
func Pause(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// Sleep returns true after d, and false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	return Pause(ctx, nil, time.Now().Add(d))
}

// Until polls done at an interval until it holds or ctx ends; it reports whether
// it held.
func Until(ctx context.Context, interval time.Duration, done func() bool) bool {
	for !done() {
		if !Sleep(ctx, interval) {
			return false
		}
	}
	return true
}
