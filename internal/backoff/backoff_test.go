package backoff

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumachead"
)

// fakeClock is a clock whose time the test sets.
type fakeClock struct{ now sumachead.BootTime }

func (c *fakeClock) Now() sumachead.BootTime { return c.now }

func TestBackoffWindows(t *testing.T) {
	c := &fakeClock{}
	table := &Table{Clock: c}
	steps := []struct {
		name string
		// after is how much time passes first; window is what the server requests then.
		after, window time.Duration
		extended      bool
		remaining     time.Duration
		count         int
	}{
		{"nothing requested", 0, 0, false, 0, 0},
		{"a window", 0, 3 * time.Second, true, 3 * time.Second, 1},
		{"a shorter window does not replace it", time.Second, time.Second, false, 2 * time.Second, 1},
		{"a longer window replaces it", 0, 4 * time.Second, true, 4 * time.Second, 1},
		{"a negative window is ignored", time.Second, -time.Second, false, 3 * time.Second, 1},
		{"the window ends, also while the host is suspended", 3 * time.Second, 0, false, 0, 0},
		{"a new window after the end", time.Minute, time.Second, true, time.Second, 1},
	}
	for _, tt := range steps {
		c.now = c.now.Add(tt.after)
		if extended := table.Set("a", tt.window); extended != tt.extended {
			t.Errorf("%s: extended is %v", tt.name, extended)
		}
		if remaining, other := table.Remaining("a"), table.Remaining("b"); remaining != tt.remaining || other != 0 {
			t.Errorf("%s: %v remaining, want %v; %v for a server that requested nothing", tt.name, remaining, tt.remaining, other)
		}
		if n := table.Count(); n != tt.count {
			t.Errorf("%s: %d servers in backoff, want %d", tt.name, n, tt.count)
		}
		table.Expire()
	}
	c.now = c.now.Add(time.Hour)
	table.Expire()
	if len(table.until) != 0 {
		t.Errorf("%d windows remain after they have ended", len(table.until))
	}
}

// Overlapping requests must not shorten a window or extend it past the latest end requested,
// in whatever order they arrive and whether or not expired windows were removed in between.
func TestLatestWindowEndWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &fakeClock{}
		table := &Table{Clock: c}
		var until sumachead.BootTime
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "after")) * time.Millisecond)
			window := time.Duration(rapid.IntRange(-1000, 10_000).Draw(t, "ask")) * time.Millisecond
			table.Set("a", window)
			if window > 0 {
				until = max(until, c.now.Add(window))
			}
			if rapid.Bool().Draw(t, "forget") {
				table.Expire()
			}
			if got, want := table.Remaining("a"), max(until.Sub(c.now), 0); got != want {
				t.Fatalf("%v remaining, want %v", got, want)
			}
		}
	})
}
