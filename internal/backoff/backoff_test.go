package backoff

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumachead"
)

// setClock is a clock that a test sets.
type setClock struct{ now sumachead.BootTime }

func (c *setClock) Now() sumachead.BootTime { return c.now }

func TestRests(t *testing.T) {
	c := &setClock{}
	table := &Table{Clock: c}
	steps := []struct {
		name string
		// after is how much time passes first, and ask what the server asks for then.
		after, ask time.Duration
		longer     bool
		left       time.Duration
		count      int
	}{
		{"nothing asked", 0, 0, false, 0, 0},
		{"a rest", 0, 3 * time.Second, true, 3 * time.Second, 1},
		{"a shorter one does not end it", time.Second, time.Second, false, 2 * time.Second, 1},
		{"a longer one goes on", 0, 4 * time.Second, true, 4 * time.Second, 1},
		{"less than none changes nothing", time.Second, -time.Second, false, 3 * time.Second, 1},
		{"it ends, also while the host is suspended", 3 * time.Second, 0, false, 0, 0},
		{"another one", time.Minute, time.Second, true, time.Second, 1},
	}
	for _, tt := range steps {
		c.now = c.now.Add(tt.after)
		if longer := table.Set("a", tt.ask); longer != tt.longer {
			t.Errorf("%s: longer is %v", tt.name, longer)
		}
		if left, other := table.Remaining("a"), table.Remaining("b"); left != tt.left || other != 0 {
			t.Errorf("%s: left %v, want %v; of a server that asked nothing %v", tt.name, left, tt.left, other)
		}
		if n := table.Count(); n != tt.count {
			t.Errorf("%s: %d rest, want %d", tt.name, n, tt.count)
		}
		table.Expire()
	}
	c.now = c.now.Add(time.Hour)
	table.Expire()
	if len(table.until) != 0 {
		t.Errorf("%d are kept of which the rest is over", len(table.until))
	}
}

// A server is let alone until the end of the longest rest that it has asked for, and no
// longer, however its wishes come.
func TestRestIsTheLongestAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &setClock{}
		table := &Table{Clock: c}
		var until sumachead.BootTime
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "after")) * time.Millisecond)
			ask := time.Duration(rapid.IntRange(-1000, 10_000).Draw(t, "ask")) * time.Millisecond
			table.Set("a", ask)
			if ask > 0 {
				until = max(until, c.now.Add(ask))
			}
			if rapid.Bool().Draw(t, "forget") {
				table.Expire()
			}
			if got, want := table.Remaining("a"), max(until.Sub(c.now), 0); got != want {
				t.Fatalf("left %v, want %v", got, want)
			}
		}
	})
}
