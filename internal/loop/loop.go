// Package loop runs work at intervals.
package loop

import (
	"context"
	"time"
)

// Every calls f at an interval until ctx ends; then it returns nil. It passes no
// time on: that of a tick is old in a process that was frozen.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f()
		}
	}
}

// Until polls done at an interval until it holds or ctx ends; it reports whether
// it held.
func Until(ctx context.Context, interval time.Duration, done func() bool) bool {
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(interval):
		}
	}
	return true
}
