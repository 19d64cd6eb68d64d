package retrybudget

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
)

// unrecordable is a service whose use cannot be recorded.
const unrecordable = "unrecordable"

// manualClock is set by tests.
type manualClock struct{ now sumachead.BootTime }

func (c *manualClock) Now() sumachead.BootTime { return c.now }

// A leading keeper grants the fixed number once in a window, and the rest for credits of the same
// service.
func TestGranter(t *testing.T) {
	type call struct {
		at      time.Duration
		term    string
		service string
		credits float64
		wanted  int
	}
	tests := []struct {
		name  string
		calls []call
		want  []int
	}{
		{"a new leader waits for what was in use", []call{{time.Second, "1", "a", 0, 9}, {2 * time.Second, "2", "a", 0, 9}, {2 * time.Second, "2", "b", 0, 9}, {20 * time.Second, "2", "a", 0, 9}}, []int{9, 0, 9, 9}},
		{"a new leader does not wait once the window has passed", []call{{time.Second, "1", "a", 0, 9}, {20 * time.Second, "1", "b", 0, 1}, {21 * time.Second, "2", "a", 0, 9}}, []int{9, 1, 9}},
		{"not recorded, not granted", []call{{time.Second, "1", unrecordable, 0, 9}, {time.Second, "1", unrecordable, 60, 20}}, []int{0, 10}},
		{"the fixed number within a window", []call{
			{20 * time.Second, "1", "a", 0, 6}, {21 * time.Second, "1", "a", 0, 6}, {30 * time.Second, "1", "a", 0, 6}, {31 * time.Second, "1", "a", 0, 6},
		}, []int{6, 3, 0, 6}},
		{"each service has the fixed number", []call{{20 * time.Second, "1", "a", 0, 20}, {20 * time.Second, "1", "b", 0, 20}}, []int{9, 9}},
		{"credits pay before the fixed number", []call{{time.Second, "1", "a", 60, 20}}, []int{19}},
		{"credits of one service do not pay for another", []call{{time.Second, "1", "a", 60, 0}, {time.Second, "1", "b", 0, 20}, {time.Second, "1", "a", 0, 20}}, []int{0, 9, 19}},
		{"credits expire", []call{{time.Second, "1", "a", 60, 0}, {2 * time.Second, "1", "a", 0, 20}}, []int{0, 9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &manualClock{now: sumachead.BootTime(time.Hour)}
			inUse := make(map[string]bool)
			g := &Granter{Limit: limitWith(10), Clock: c, RecordUse: func(service string, active bool) error {
				if service == unrecordable {
					return errLost
				}
				inUse[service] = active
				return nil
			}}
			var got []int
			for _, x := range tt.calls {
				c.now = sumachead.BootTime(time.Hour + x.at)
				var known []string
				for name, active := range inUse {
					if active {
						known = append(known, name)
					}
				}
				g.StartLeading(x.term, known)
				g.RecordUnused()
				granted, _, _ := g.Grant(x.term, x.service, x.credits, x.wanted)
				got = append(got, granted)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a grant beside the record that nothing is granted any more, which would come last.
func TestGrantWaitsForTheRecordOfItsEnd(t *testing.T) {
	c := &manualClock{now: sumachead.BootTime(time.Hour)}
	var mu sync.Mutex
	var records []bool
	ending, proceed := make(chan struct{}), make(chan struct{})
	g := &Granter{Limit: limitWith(10), Clock: c, RecordUse: func(_ string, active bool) error {
		if !active {
			close(ending)
			<-proceed
		}
		mu.Lock()
		defer mu.Unlock()
		records = append(records, active)
		return nil
	}}
	g.StartLeading("1", nil)
	if n, _, err := g.Grant("1", "a", 0, 1); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	c.now = c.now.Add(time.Minute)
	var all sync.WaitGroup
	all.Go(g.RecordUnused)
	<-ending
	all.Go(func() {
		if n, _, err := g.Grant("1", "a", 0, 1); n != 1 || err != nil {
			t.Error(n, err)
		}
	})
	time.Sleep(10 * time.Millisecond)
	close(proceed)
	all.Wait()
	if diff := cmp.Diff([]bool{true, false, true}, records); diff != "" {
		t.Error(diff)
	}
}
