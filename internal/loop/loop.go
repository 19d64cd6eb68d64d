// Package loop runs functions at intervals and waits with a context.
package loop

import (
	"context"
	"time"
)

// Every calls f at an interval until ctx is done; then it returns nil. It does not pass the
// time of the tick to f, which is outdated if the process was suspended.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	return EveryOrSignaled(ctx, interval, nil, 0, f)
}

// EveryOrSignaled is like Every, but also calls f once gap has passed after a signal, so that
// one call handles all events of that gap.
func EveryOrSignaled(ctx context.Context, interval time.Duration, signal <-chan struct{}, gap time.Duration, f func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-signal:
			time.Sleep(gap)
		}
		f()
	}
}

// Pause waits until changed is closed or until a time, and returns true. It returns false if
// ctx is done first.
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

// Sleep waits for d and returns true. It returns false if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	return Pause(ctx, nil, time.Now().Add(d))
}

// Until polls done at an interval until it returns true or ctx is done, and reports whether it
// returned true.
func Until(ctx context.Context, interval time.Duration, done func() bool) bool {
	for !done() {
		if !Sleep(ctx, interval) {
			return false
		}
	}
	return true
}
