package waitpolicy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sumachead"
)

// start is the time at which tests start.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// atMillis returns the time some milliseconds after start.
func atMillis(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fixedEstimate always returns the same estimate.
type fixedEstimate struct {
	at   time.Time
	sure bool
}

// Expect implements sumachead.Estimate.
func (f fixedEstimate) Expect(time.Time) (time.Time, bool) { return f.at, f.sure }

func TestShouldWait(t *testing.T) {
	use := Deadlines{Soft: atMillis(500), Hard: atMillis(5000)}
	tests := []struct {
		name      string
		p         sumachead.Estimate
		use       Deadlines
		now       int
		recheckAt int
		wait      bool
	}{
		{"in time", fixedEstimate{atMillis(100), false}, use, 0, 100, true},
		{"late, unsure", fixedEstimate{atMillis(600), false}, use, 0, 0, false},
		{"late, sure", fixedEstimate{atMillis(600), true}, use, 0, 600, true},
		{"after the deadline, sure", fixedEstimate{atMillis(6000), true}, use, 0, 0, false},
		{"never", fixedEstimate{}, use, 0, 0, false},
		{"no objective, unsure", fixedEstimate{atMillis(100), false}, Deadlines{Hard: atMillis(5000)}, 0, 0, false},
		{"elapsed, in time", ElapsedEstimate{start}, use, 100, 200, true},
		{"elapsed, nearly late", ElapsedEstimate{start}, use, 200, 250, true},
		{"elapsed, late", ElapsedEstimate{start}, use, 251, 0, false},
		{"no deadline, sure", fixedEstimate{atMillis(100), true}, Deadlines{}, 0, 2, true},
		{"no deadline, unsure", fixedEstimate{atMillis(100), false}, Deadlines{}, 0, 0, false},
		{"typical, under way", TypicalEstimate{start, atMillis(50)}, use, 10, 50, true},
		{"typical, overdue", TypicalEstimate{start, atMillis(50)}, use, 60, 120, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			recheckAt, wait := ShouldWait(tt.p, tt.use, atMillis(tt.now))
			if diff := cmp.Diff(tt.wait, wait); diff != "" {
				t.Fatalf("wait (-want +got):\n%s", diff)
			}
			if wait && !recheckAt.Equal(atMillis(tt.recheckAt)) {
				t.Errorf("recheck after %v, want %d ms", recheckAt.Sub(start), tt.recheckAt)
			}
		})
	}
}

// A request waits exactly while its own estimate allows it: no request waits longer, and none is
// refused earlier.
func TestNobodyWaitsAgainstTheEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
		use := Deadlines{Soft: atMillis(ms("in time", 1000))}
		use.Hard = use.Soft.Add(time.Duration(ms("more", 10_000)) * time.Millisecond)
		var p sumachead.Estimate = ElapsedEstimate{start}
		if rapid.Bool().Draw(t, "usual") {
			p = TypicalEstimate{start, atMillis(ms("by", 300))}
		}
		now := atMillis(ms("arrival", 500))
		for {
			recheckAt, wait := ShouldWait(p, use, now)
			at, sure := p.Expect(now)
			useful := at.Before(use.Soft) || sure && at.Before(use.Hard)
			if wait != useful {
				t.Fatalf("waits %v after %v; expected after %v, sure %v", wait, now.Sub(start), at.Sub(start), sure)
			}
			if !wait {
				return
			}
			if !recheckAt.After(now) {
				t.Fatalf("the estimate is rechecked at once")
			}
			// Between two checks the estimate stays useful, except within the minimum recheck
			// time.
			for before := now; before.Before(recheckAt.Add(-minRecheck)); before = before.Add(time.Millisecond) {
				at, sure := p.Expect(before)
				if useful := at.Before(use.Soft) || sure && at.Before(use.Hard); !useful {
					t.Fatalf("waited at %v for %v, sure %v", before.Sub(start), at.Sub(start), sure)
				}
			}
			now = recheckAt
		}
	})
}

func TestRetryAt(t *testing.T) {
	use := Deadlines{Soft: atMillis(500), Hard: atMillis(5000)}
	tests := []struct {
		name    string
		at      int
		sure    bool
		use     Deadlines
		urgency uint32
		from    int
		to      int
	}{
		{"most urgent first", 400, true, use, 0, 400, 450},
		{"then less urgent ones", 400, true, use, 1, 450, 500},
		{"least urgent last", 400, true, use, 9, 550, 600},
		{"soon, minimum jitter", 10, true, use, 0, 10, 18},
		{"unsure, delayed", 400, false, use, 0, 800, 900},
		{"unsure, no deadline", 400, false, Deadlines{}, 0, 800, 900},
		{"unsure, delay would miss the deadline", 2500, false, use, 0, 2500, 2813},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 100 {
				retryAt := RetryAt(fixedEstimate{atMillis(tt.at), tt.sure}, tt.use, tt.urgency, start)
				if retryAt.Before(atMillis(tt.from)) || retryAt.After(atMillis(tt.to)) {
					t.Fatalf("retry after %v, want %d to %d ms", retryAt.Sub(start), tt.from, tt.to)
				}
			}
		})
	}
	for name, at := range map[string]time.Time{"never": {}, "after the deadline": atMillis(5000)} {
		for _, sure := range []bool{false, true} {
			if retryAt := RetryAt(fixedEstimate{at, sure}, use, 0, start); !retryAt.IsZero() {
				t.Errorf("%s, sure %v: told to retry after %v", name, sure, retryAt.Sub(start))
			}
		}
	}
}
