package boottime

import (
	"testing"
	"time"
)

// The boot-time clock advances like the monotonic clock while the host is not suspended.
func TestClockAdvances(t *testing.T) {
	var c Clock
	wallStart, start := time.Now(), c.Now()
	const minElapsed = 50 * time.Millisecond
	time.Sleep(minElapsed)
	elapsed := c.Now().Sub(start)
	if maxElapsed := time.Since(wallStart); elapsed < minElapsed || elapsed > maxElapsed+minElapsed {
		t.Errorf("clock advanced by %v, want between %v and %v", elapsed, minElapsed, maxElapsed)
	}
}
