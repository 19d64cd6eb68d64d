package patience

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sumachead"
)

// start is when tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns a time of tests, in milliseconds.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fixed is a prospect of a certain time.
type fixed struct {
	at   time.Time
	sure bool
}

// Expect implements sumachead.Prospect.
func (f fixed) Expect(time.Time) (time.Time, bool) { return f.at, f.sure }

func TestWait(t *testing.T) {
	use := Use{InTime: after(500), Deadline: after(5000)}
	tests := []struct {
		name  string
		p     sumachead.Prospect
		use   Use
		now   int
		again int
		wait  bool
	}{
		{"in time", fixed{after(100), false}, use, 0, 100, true},
		{"late, and not sure", fixed{after(600), false}, use, 0, 0, false},
		{"late, but sure", fixed{after(600), true}, use, 0, 600, true},
		{"sure, and after the deadline", fixed{after(6000), true}, use, 0, 0, false},
		{"never", fixed{}, use, 0, 0, false},
		{"no objective, not sure", fixed{after(100), false}, Use{Deadline: after(5000)}, 0, 0, false},
		{"as long again, soon", AsLong{start}, use, 100, 200, true},
		{"as long again, nearly too long", AsLong{start}, use, 200, 250, true},
		{"as long again, too long", AsLong{start}, use, 251, 0, false},
		{"no deadline, sure", fixed{after(100), true}, Use{}, 0, 2, true},
		{"no deadline, not sure", fixed{after(100), false}, Use{}, 0, 0, false},
		{"usual, under way", Usual{start, after(50)}, use, 10, 50, true},
		{"usual, overdue", Usual{start, after(50)}, use, 60, 120, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			again, wait := Wait(tt.p, tt.use, after(tt.now))
			if diff := cmp.Diff(tt.wait, wait); diff != "" {
				t.Fatalf("wait (-want +got):\n%s", diff)
			}
			if wait && !again.Equal(after(tt.again)) {
				t.Errorf("again after %v, want %d ms", again.Sub(start), tt.again)
			}
		})
	}
}

// No request waits past the moment at which its own estimate said no, and one that is
// refused had an estimate that said no.
func TestNobodyWaitsAgainstTheEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		use := Use{InTime: after(ms("in time", 1000))}
		use.Deadline = use.InTime.Add(time.Duration(ms("more", 10_000)) * time.Millisecond)
		var p sumachead.Prospect = AsLong{start}
		if rapid.Bool().Draw(t, "usual") {
			p = Usual{start, after(ms("by", 300))}
		}
		now := after(ms("arrival", 500))
		for {
			again, wait := Wait(p, use, now)
			at, sure := p.Expect(now)
			useful := at.Before(use.InTime) || sure && at.Before(use.Deadline)
			if wait != useful {
				t.Fatalf("waits %v after %v; expected after %v, sure %v", wait, now.Sub(start), at.Sub(start), sure)
			}
			if !wait {
				return
			}
			if !again.After(now) {
				t.Fatalf("looked at again at once")
			}
			// Between two looks the estimate does not turn, but for the shortest wait.
			for before := now; before.Before(again.Add(-leastWait)); before = before.Add(time.Millisecond) {
				at, sure := p.Expect(before)
				if useful := at.Before(use.InTime) || sure && at.Before(use.Deadline); !useful {
					t.Fatalf("waited at %v for %v, sure %v", before.Sub(start), at.Sub(start), sure)
				}
			}
			now = again
		}
	})
}

func TestComeBack(t *testing.T) {
	use := Use{InTime: after(500), Deadline: after(5000)}
	tests := []struct {
		name    string
		at      int
		sure    bool
		use     Use
		urgency uint32
		from    int
		to      int
	}{
		{"most urgent first", 400, true, use, 0, 400, 450},
		{"then the others", 400, true, use, 1, 450, 500},
		{"the least urgent last", 400, true, use, 9, 550, 600},
		{"soon, and still spread", 10, true, use, 0, 10, 18},
		{"not sure: later", 400, false, use, 0, 800, 900},
		{"not sure, no deadline", 400, false, Use{}, 0, 800, 900},
		{"not sure, later would be too late", 2500, false, use, 0, 2500, 2813},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 100 {
				back := ComeBack(fixed{after(tt.at), tt.sure}, tt.use, tt.urgency, start)
				if back.Before(after(tt.from)) || back.After(after(tt.to)) {
					t.Fatalf("back after %v, want %d to %d ms", back.Sub(start), tt.from, tt.to)
				}
			}
		})
	}
	for name, at := range map[string]time.Time{"never": {}, "after the deadline": after(5000)} {
		for _, sure := range []bool{false, true} {
			if back := ComeBack(fixed{at, sure}, use, 0, start); !back.IsZero() {
				t.Errorf("%s, sure %v: told to come back after %v", name, sure, back.Sub(start))
			}
		}
	}
}
