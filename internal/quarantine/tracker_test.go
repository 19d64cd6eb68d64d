package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

const (
	cleared   = wire.Standing_STANDING_CLEARED
	suspected = wire.Standing_STANDING_SUSPECTED
	barred    = wire.Standing_STANDING_BARRED
)

// fixture is a tracker whose changes are committed at once, unless commits fail.
type fixture struct {
	tracker     Tracker
	list        List
	now         time.Time
	commitFails bool
}

func (c *fixture) handleReport(r *wire.EndsReport) {
	changes := c.tracker.HandleReport(r, c.list.Standing, c.now)
	if !c.commitFails {
		c.list.Apply(&wire.Suspects{Suspects: changes})
	}
}

func (c *fixture) crash(node, server string, f sumachead.Fingerprint) {
	c.handleReport(&wire.EndsReport{Node: node, Ends: []*wire.ServerEnd{{Fingerprint: f[:], Server: server}}})
}

func (c *fixture) requestTrialAt(node, server string, number uint64, f sumachead.Fingerprint) wire.Trial {
	r := &wire.TrialRequest{Node: node, Fingerprint: f[:], DeadlineMillis: 6000, Number: number, Server: server}
	return c.tracker.DecideTrial(r, c.list.Standing, c.now)
}

// requestTrial requests a trial at the third server.
func (c *fixture) requestTrial(node string, number uint64, f sumachead.Fingerprint) bool {
	return c.requestTrialAt(node, "s3", number, f) == wire.Trial_TRIAL_GRANTED
}

func newFixture() *fixture { return &fixture{now: time.UnixMilli(1_700_000_000_000)} }

var bad = sumachead.Fingerprint{1}

// suspect makes the bad request suspected.
func (c *fixture) suspect() {
	c.crash("a", "s1", bad)
	c.crash("b", "s2", bad)
}

func TestTracker(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *testing.T, c *fixture)
		want wire.Standing
	}{
		{"one crash", func(_ *testing.T, c *fixture) { c.crash("a", "s1", bad) }, cleared},
		{"one crash that two routers report", func(_ *testing.T, c *fixture) {
			c.crash("a", "s1", bad)
			c.now = c.now.Add(duplicateWindow / 2)
			c.crash("b", "s1", bad)
		}, cleared},
		{"one crash that a router reports late", func(_ *testing.T, c *fixture) {
			c.crash("a", "s1", bad)
			c.now = c.now.Add(3 * time.Second)
			c.handleReport(&wire.EndsReport{Node: "b", Ends: []*wire.ServerEnd{{Fingerprint: bad[:], Server: "s1", AgeMillis: 3000}}})
		}, cleared},
		{"two servers", func(_ *testing.T, c *fixture) { c.suspect() }, suspected},
		{"one server twice, with the same ID", func(_ *testing.T, c *fixture) {
			c.crash("a", "s1", bad)
			c.now = c.now.Add(2 * time.Second)
			c.crash("a", "s1", bad)
		}, suspected},
		{"many servers at once don't bar a request", func(_ *testing.T, c *fixture) {
			for i := range 12 {
				c.crash("a", fmt.Sprint("s", i), bad)
			}
		}, suspected},
		{"a crash on trial", func(t *testing.T, c *fixture) {
			c.suspect()
			if !c.requestTrial("a", 1, bad) {
				t.Error("no trial was granted")
			}
			c.crash("a", "s3", bad)
			if c.requestTrial("a", 2, bad) {
				t.Error("a trial was granted for a barred request")
			}
		}, barred},
		{"a crash reported by another router than that of the trial", func(_ *testing.T, c *fixture) {
			c.suspect()
			c.requestTrial("a", 1, bad)
			c.crash("b", "s3", bad)
		}, suspected},
		{"one trial at a time, which may be requested again", func(t *testing.T, c *fixture) {
			c.suspect()
			for _, q := range []struct {
				node   string
				number uint64
				want   bool
			}{{"a", 1, true}, {"b", 2, false}, {"a", 3, false}, {"a", 1, true}} {
				if got := c.requestTrial(q.node, q.number, bad); got != q.want {
					t.Errorf("trial %d of %s: %t, want %t", q.number, q.node, got, q.want)
				}
			}
		}, suspected},
		{"a crash of another server than that of the trial", func(_ *testing.T, c *fixture) {
			c.suspect()
			c.requestTrial("a", 1, bad)
			c.crash("a", "s4", bad)
		}, suspected},
		{"a trial that continues at another server", func(t *testing.T, c *fixture) {
			c.suspect()
			c.requestTrial("a", 1, bad)
			if got := c.requestTrialAt("a", "s4", 1, bad); got != wire.Trial_TRIAL_GRANTED {
				t.Errorf("at the other server: %v", got)
			}
			c.crash("a", "s4", bad)
		}, barred},
		{"no trials of two suspects at one server", func(t *testing.T, c *fixture) {
			c.suspect()
			other := sumachead.Fingerprint{3}
			c.crash("a", "s1", other)
			c.crash("a", "s2", other)
			c.requestTrial("b", 1, other)
			for _, q := range []struct {
				server string
				want   wire.Trial
			}{{"s3", wire.Trial_TRIAL_APART}, {"s4", wire.Trial_TRIAL_GRANTED}} {
				if got := c.requestTrialAt("a", q.server, 2, bad); got != q.want {
					t.Errorf("at %s: %v, want %v", q.server, got, q.want)
				}
			}
			c.handleReport(&wire.EndsReport{Node: "b", Untried: [][]byte{other[:]}})
			if got := c.requestTrialAt("a", "s3", 2, bad); got != wire.Trial_TRIAL_GRANTED {
				t.Errorf("after the other trial has ended: %v", got)
			}
		}, suspected},
		{"a success between two crashes", func(_ *testing.T, c *fixture) {
			c.crash("a", "s1", bad)
			c.handleReport(&wire.EndsReport{Node: "a", Survived: [][]byte{bad[:]}})
			c.crash("a", "s2", bad)
		}, cleared},
		{"a trial without a result", func(t *testing.T, c *fixture) {
			c.suspect()
			c.requestTrial("a", 1, bad)
			c.handleReport(&wire.EndsReport{Node: "a", Untried: [][]byte{bad[:]}})
			if !c.requestTrial("b", 2, bad) {
				t.Error("no trial was granted")
			}
		}, suspected},
		{"a trial whose router reports nothing", func(t *testing.T, c *fixture) {
			c.suspect()
			c.requestTrial("a", 1, bad)
			c.now = c.now.Add(maxTrialTime)
			if !c.requestTrial("b", 2, bad) {
				t.Error("no trial was granted")
			}
		}, suspected},
		{"a success", func(_ *testing.T, c *fixture) {
			c.suspect()
			c.requestTrial("a", 1, bad)
			c.handleReport(&wire.EndsReport{Node: "a", Survived: [][]byte{bad[:]}})
			c.crash("a", "s3", bad)
		}, cleared},
		{"a change that was not committed is returned again", func(_ *testing.T, c *fixture) {
			c.commitFails = true
			c.suspect()
			c.commitFails = false
			c.crash("b", "s2", bad)
		}, suspected},
		{"a crash on trial that was not committed is returned again", func(_ *testing.T, c *fixture) {
			c.suspect()
			c.requestTrial("a", 1, bad)
			c.commitFails = true
			c.crash("a", "s3", bad)
			c.commitFails = false
			c.crash("a", "s3", bad)
		}, barred},
		{"a new leader continues from the log", func(t *testing.T, c *fixture) {
			c.suspect()
			c.tracker = Tracker{}
			if !c.requestTrial("a", 1, bad) {
				t.Error("no trial was granted")
			}
			c.crash("a", "s3", bad)
		}, barred},
		{"invalid fingerprints", func(_ *testing.T, c *fixture) {
			c.suspect()
			short := bad[:3]
			c.handleReport(&wire.EndsReport{Node: "a", Ends: []*wire.ServerEnd{{Fingerprint: short}}, Survived: [][]byte{short}, Untried: [][]byte{nil}})
			c.tracker.DecideTrial(&wire.TrialRequest{Fingerprint: short}, c.list.Standing, c.now)
		}, suspected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newFixture()
			tt.do(t, c)
			if got := c.list.Standing(bad); got != tt.want {
				t.Errorf("standing %v, want %v", got, tt.want)
			}
			if got := c.list.Standing(sumachead.Fingerprint{2}); got != cleared {
				t.Errorf("standing of another request: %v", got)
			}
		})
	}
}

// A request that has succeeded recently is barred for a short time only: the actual cause of the
// crash may have run beside its trial.
func TestRecentSuccessShortensBar(t *testing.T) {
	c := newFixture()
	c.suspect()
	c.requestTrial("a", 1, bad)
	c.handleReport(&wire.EndsReport{Node: "a", Ends: []*wire.ServerEnd{{Fingerprint: bad[:], Server: "s3", Served: true}}})
	if got := c.list.Standing(bad); got != barred {
		t.Fatalf("standing %v", got)
	}
	c.now = c.now.Add(retrialDelay + time.Second)
	c.list.Apply(&wire.Suspects{Suspects: c.tracker.Expire(c.list.Since(0).GetSuspects(), c.now)})
	if got := c.list.Standing(bad); got != suspected {
		t.Errorf("standing %v after %v, want %v", got, retrialDelay, suspected)
	}
	if !c.requestTrial("b", 2, bad) {
		t.Error("no trial was granted")
	}
}

func TestStandingsExpire(t *testing.T) {
	c := newFixture()
	c.suspect()
	c.requestTrial("a", 1, bad)
	c.crash("a", "s3", bad)
	for _, want := range []wire.Standing{barred, suspected, cleared} {
		if got := c.list.Standing(bad); got != want {
			t.Fatalf("standing %v, want %v", got, want)
		}
		c.now = c.now.Add(standingTTL + time.Second)
		c.list.Apply(&wire.Suspects{Suspects: c.tracker.Expire(c.list.Since(0).GetSuspects(), c.now)})
	}
	if len(c.tracker.records) > 0 {
		t.Errorf("%d requests are on record", len(c.tracker.records))
	}
	// After the bar has expired the request runs on trial, and the first crash bars it again.
	c = newFixture()
	c.suspect()
	c.requestTrial("a", 1, bad)
	c.crash("a", "s3", bad)
	c.now = c.now.Add(standingTTL + time.Second)
	c.list.Apply(&wire.Suspects{Suspects: c.tracker.Expire(c.list.Since(0).GetSuspects(), c.now)})
	if !c.requestTrial("b", 2, bad) {
		t.Fatal("no trial was granted after the bar expired")
	}
	c.crash("b", "s3", bad)
	if got := c.list.Standing(bad); got != barred {
		t.Errorf("standing %v, want %v", got, barred)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	c := newFixture()
	for i := range maxRecords + 100 {
		f := sumachead.Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}
		c.crash("a", "s1", f)
		c.crash("a", "s2", f)
	}
	if n := len(c.tracker.records); n > maxRecords {
		t.Errorf("%d records", n)
	}
	if n := len(c.list.Since(0).GetSuspects()); n > maxSuspects {
		t.Errorf("%d suspects are listed", n)
	}
	table := Table{}
	table.Merge(c.list.Since(0))
	if table.ActiveCount() != maxSuspects || len(table.suspects) != maxSuspects {
		t.Errorf("%d active, %d known", table.ActiveCount(), len(table.suspects))
	}
}

func TestTableFollowsTheList(t *testing.T) {
	var l List
	var table Table
	set := func(s wire.Standing) {
		l.Apply(&wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: bad[:], Standing: s}}})
	}
	tests := []struct {
		name   string
		take   func() *wire.Suspects
		want   wire.Standing
		active int
	}{
		{"suspected", func() *wire.Suspects { set(suspected); return l.Since(table.Revision()) }, suspected, 1},
		{"a reply to a report", func() *wire.Suspects { set(barred); return l.ForReport(&wire.EndsReport{Survived: [][]byte{bad[:]}}) }, barred, 1},
		{"the same from a poll", func() *wire.Suspects { return l.Since(table.Revision()) }, barred, 1},
		{"an older reply", func() *wire.Suspects {
			return &wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: bad[:], Standing: suspected, Revision: 1}}}
		}, barred, 1},
		{"cleared", func() *wire.Suspects { set(cleared); return l.Since(table.Revision()) }, cleared, 0},
		{"no fingerprint", func() *wire.Suspects {
			return &wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: []byte{1}, Standing: barred, Revision: 9}}}
		}, cleared, 0},
	}
	for _, tt := range tests {
		table.Merge(tt.take())
		if got, _ := table.Standing(bad); got != tt.want || table.ActiveCount() != tt.active {
			t.Errorf("%s: %v, %d active; want %v, %d", tt.name, got, table.ActiveCount(), tt.want, tt.active)
		}
	}
	// A restored list holds the same state and continues its revisions.
	var restored List
	restored.Restore(l.Since(0))
	set(barred)
	restored.Apply(&wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: bad[:], Standing: barred}}})
	if diff := cmp.Diff(l.Since(0).String(), restored.Since(0).String()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// Guards against a cleared request that is suspected again because its clearance is not committed yet.
func TestClearedRequestStaysCleared(t *testing.T) {
	tests := []struct {
		name  string
		after func(c *fixture) []*wire.Suspect
	}{
		{"at the next check", func(c *fixture) []*wire.Suspect { return c.tracker.DecidePending(c.list.Standing, c.now) }},
		{"at another server's crash", func(c *fixture) []*wire.Suspect {
			r := &wire.EndsReport{Node: "b", Ends: []*wire.ServerEnd{{Fingerprint: make([]byte, len(bad)), Server: "s9"}}}
			return c.tracker.HandleReport(r, c.list.Standing, c.now)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newFixture()
			c.suspect()
			c.requestTrial("a", 1, bad)
			c.crash("a", "s3", bad)
			if diff := cmp.Diff(barred, c.list.Standing(bad)); diff != "" {
				t.Fatalf("standing (-want +got):\n%s", diff)
			}
			clearance := c.tracker.HandleReport(&wire.EndsReport{Node: "operator", Survived: [][]byte{bad[:]}}, c.list.Standing, c.now)
			later := tt.after(c)
			c.list.Apply(&wire.Suspects{Suspects: clearance})
			c.list.Apply(&wire.Suspects{Suspects: later})
			if diff := cmp.Diff(cleared, c.list.Standing(bad)); diff != "" {
				t.Errorf("standing (-want +got):\n%s", diff)
			}
		})
	}
}
