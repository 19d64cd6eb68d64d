package blame

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

// court is a docket whose changes are put in force at once, unless they are lost.
type court struct {
	docket Docket
	list   List
	now    time.Time
	lost   bool
}

func (c *court) note(r *wire.EndsReport) {
	changes := c.docket.Note(r, c.list.Standing, c.now)
	if !c.lost {
		c.list.Apply(&wire.Suspects{Suspects: changes})
	}
}

func (c *court) ended(node, server string, f sumachead.Fingerprint) {
	c.note(&wire.EndsReport{Node: node, Ends: []*wire.ServerEnd{{Fingerprint: f[:], Server: server}}})
}

func (c *court) tryAt(node, server string, number uint64, f sumachead.Fingerprint) wire.Trial {
	r := &wire.TrialRequest{Node: node, Fingerprint: f[:], DeadlineMillis: 6000, Number: number, Server: server}
	return c.docket.Try(r, c.list.Standing, c.now)
}

// try asks for a trial at the third server.
func (c *court) try(node string, number uint64, f sumachead.Fingerprint) bool {
	return c.tryAt(node, "s3", number, f) == wire.Trial_TRIAL_GRANTED
}

func newCourt() *court { return &court{now: time.UnixMilli(1_700_000_000_000)} }

var bad = sumachead.Fingerprint{1}

// suspect makes the bad request one that is suspected.
func (c *court) suspect() {
	c.ended("a", "s1", bad)
	c.ended("b", "s2", bad)
}

func TestDocket(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *testing.T, c *court)
		want wire.Standing
	}{
		{"one end", func(_ *testing.T, c *court) { c.ended("a", "s1", bad) }, cleared},
		{"one end that two routers saw", func(_ *testing.T, c *court) {
			c.ended("a", "s1", bad)
			c.now = c.now.Add(sameEnd / 2)
			c.ended("b", "s1", bad)
		}, cleared},
		{"one end that a router tells of late", func(_ *testing.T, c *court) {
			c.ended("a", "s1", bad)
			c.now = c.now.Add(3 * time.Second)
			c.note(&wire.EndsReport{Node: "b", Ends: []*wire.ServerEnd{{Fingerprint: bad[:], Server: "s1", AgeMillis: 3000}}})
		}, cleared},
		{"two servers", func(_ *testing.T, c *court) { c.suspect() }, suspected},
		{"one server twice, under one id", func(_ *testing.T, c *court) {
			c.ended("a", "s1", bad)
			c.now = c.now.Add(2 * time.Second)
			c.ended("a", "s1", bad)
		}, suspected},
		{"many servers at once bar nothing", func(_ *testing.T, c *court) {
			for i := range 12 {
				c.ended("a", fmt.Sprint("s", i), bad)
			}
		}, suspected},
		{"an end on trial", func(t *testing.T, c *court) {
			c.suspect()
			if !c.try("a", 1, bad) {
				t.Error("no trial")
			}
			c.ended("a", "s3", bad)
			if c.try("a", 2, bad) {
				t.Error("a trial for one that is barred")
			}
		}, barred},
		{"an end at another router than that of the trial", func(_ *testing.T, c *court) {
			c.suspect()
			c.try("a", 1, bad)
			c.ended("b", "s3", bad)
		}, suspected},
		{"one trial at a time, and the same one asked for again", func(t *testing.T, c *court) {
			c.suspect()
			for _, q := range []struct {
				node   string
				number uint64
				want   bool
			}{{"a", 1, true}, {"b", 2, false}, {"a", 3, false}, {"a", 1, true}} {
				if got := c.try(q.node, q.number, bad); got != q.want {
					t.Errorf("trial %d of %s: %t, want %t", q.number, q.node, got, q.want)
				}
			}
		}, suspected},
		{"an end at another server than that of the trial", func(_ *testing.T, c *court) {
			c.suspect()
			c.try("a", 1, bad)
			c.ended("a", "s4", bad)
		}, suspected},
		{"a trial that goes on at another server", func(t *testing.T, c *court) {
			c.suspect()
			c.try("a", 1, bad)
			if got := c.tryAt("a", "s4", 1, bad); got != wire.Trial_TRIAL_GRANTED {
				t.Errorf("at the other server: %v", got)
			}
			c.ended("a", "s4", bad)
		}, barred},
		{"two suspects are tried apart", func(t *testing.T, c *court) {
			c.suspect()
			other := sumachead.Fingerprint{3}
			c.ended("a", "s1", other)
			c.ended("a", "s2", other)
			c.try("b", 1, other)
			for _, q := range []struct {
				server string
				want   wire.Trial
			}{{"s3", wire.Trial_TRIAL_APART}, {"s4", wire.Trial_TRIAL_GRANTED}} {
				if got := c.tryAt("a", q.server, 2, bad); got != q.want {
					t.Errorf("at %s: %v, want %v", q.server, got, q.want)
				}
			}
			c.note(&wire.EndsReport{Node: "b", Untried: [][]byte{other[:]}})
			if got := c.tryAt("a", "s3", 2, bad); got != wire.Trial_TRIAL_GRANTED {
				t.Errorf("once the other one's trial is over: %v", got)
			}
		}, suspected},
		{"a good end between two ends", func(_ *testing.T, c *court) {
			c.ended("a", "s1", bad)
			c.note(&wire.EndsReport{Node: "a", Survived: [][]byte{bad[:]}})
			c.ended("a", "s2", bad)
		}, cleared},
		{"a trial that showed nothing", func(t *testing.T, c *court) {
			c.suspect()
			c.try("a", 1, bad)
			c.note(&wire.EndsReport{Node: "a", Untried: [][]byte{bad[:]}})
			if !c.try("b", 2, bad) {
				t.Error("no trial")
			}
		}, suspected},
		{"a trial whose router is silent", func(t *testing.T, c *court) {
			c.suspect()
			c.try("a", 1, bad)
			c.now = c.now.Add(trialMost)
			if !c.try("b", 2, bad) {
				t.Error("no trial")
			}
		}, suspected},
		{"a good end", func(_ *testing.T, c *court) {
			c.suspect()
			c.try("a", 1, bad)
			c.note(&wire.EndsReport{Node: "a", Survived: [][]byte{bad[:]}})
			c.ended("a", "s3", bad)
		}, cleared},
		{"a change that was not committed is told again", func(_ *testing.T, c *court) {
			c.lost = true
			c.suspect()
			c.lost = false
			c.ended("b", "s2", bad)
		}, suspected},
		{"an end on trial that was not committed is told again", func(_ *testing.T, c *court) {
			c.suspect()
			c.try("a", 1, bad)
			c.lost = true
			c.ended("a", "s3", bad)
			c.lost = false
			c.ended("a", "s3", bad)
		}, barred},
		{"a new leader goes on from the log", func(t *testing.T, c *court) {
			c.suspect()
			c.docket = Docket{}
			if !c.try("a", 1, bad) {
				t.Error("no trial")
			}
			c.ended("a", "s3", bad)
		}, barred},
		{"bytes that are no fingerprint", func(_ *testing.T, c *court) {
			c.suspect()
			short := bad[:3]
			c.note(&wire.EndsReport{Node: "a", Ends: []*wire.ServerEnd{{Fingerprint: short}}, Survived: [][]byte{short}, Untried: [][]byte{nil}})
			c.docket.Try(&wire.TrialRequest{Fingerprint: short}, c.list.Standing, c.now)
		}, suspected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCourt()
			tt.do(t, c)
			if got := c.list.Standing(bad); got != tt.want {
				t.Errorf("stands %v, want %v", got, tt.want)
			}
			if got := c.list.Standing(sumachead.Fingerprint{2}); got != cleared {
				t.Errorf("another request stands %v", got)
			}
		})
	}
}

// A request that has come to a good end lately is barred for a short time only: it may have
// been beside a guilty one on trial.
func TestServedRequestIsTriedAgainSoon(t *testing.T) {
	c := newCourt()
	c.suspect()
	c.try("a", 1, bad)
	c.note(&wire.EndsReport{Node: "a", Ends: []*wire.ServerEnd{{Fingerprint: bad[:], Server: "s3", Served: true}}})
	if got := c.list.Standing(bad); got != barred {
		t.Fatalf("stands %v", got)
	}
	c.now = c.now.Add(reviewAfter + time.Second)
	c.list.Apply(&wire.Suspects{Suspects: c.docket.Expire(c.list.Since(0).GetSuspects(), c.now)})
	if got := c.list.Standing(bad); got != suspected {
		t.Errorf("stands %v after %v, want %v", got, reviewAfter, suspected)
	}
	if !c.try("b", 2, bad) {
		t.Error("no trial")
	}
}

func TestWhatIsHeldPasses(t *testing.T) {
	c := newCourt()
	c.suspect()
	c.try("a", 1, bad)
	c.ended("a", "s3", bad)
	for _, want := range []wire.Standing{barred, suspected, cleared} {
		if got := c.list.Standing(bad); got != want {
			t.Fatalf("stands %v, want %v", got, want)
		}
		c.now = c.now.Add(heldFor + time.Second)
		c.list.Apply(&wire.Suspects{Suspects: c.docket.Expire(c.list.Since(0).GetSuspects(), c.now)})
	}
	if len(c.docket.cases) > 0 {
		t.Errorf("%d requests are remembered", len(c.docket.cases))
	}
	// Between, it runs on trial, and the first end bars it again.
	c = newCourt()
	c.suspect()
	c.try("a", 1, bad)
	c.ended("a", "s3", bad)
	c.now = c.now.Add(heldFor + time.Second)
	c.list.Apply(&wire.Suspects{Suspects: c.docket.Expire(c.list.Since(0).GetSuspects(), c.now)})
	if !c.try("b", 2, bad) {
		t.Fatal("no trial for one that was barred long ago")
	}
	c.ended("b", "s3", bad)
	if got := c.list.Standing(bad); got != barred {
		t.Errorf("stands %v, want %v", got, barred)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	c := newCourt()
	for i := range mostCases + 100 {
		f := sumachead.Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}
		c.ended("a", "s1", f)
		c.ended("a", "s2", f)
	}
	if n := len(c.docket.cases); n > mostCases {
		t.Errorf("%d cases", n)
	}
	if n := len(c.list.Since(0).GetSuspects()); n > mostListed {
		t.Errorf("%d are listed", n)
	}
	table := Table{}
	table.Take(c.list.Since(0))
	if table.Held() != mostListed || len(table.suspects) != mostListed {
		t.Errorf("%d held, %d known", table.Held(), len(table.suspects))
	}
}

func TestTableFollowsTheList(t *testing.T) {
	var l List
	var table Table
	set := func(s wire.Standing) {
		l.Apply(&wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: bad[:], Standing: s}}})
	}
	tests := []struct {
		name string
		take func() *wire.Suspects
		want wire.Standing
		held int
	}{
		{"suspected", func() *wire.Suspects { set(suspected); return l.Since(table.Revision()) }, suspected, 1},
		{"an answer to a report", func() *wire.Suspects { set(barred); return l.Some(&wire.EndsReport{Survived: [][]byte{bad[:]}}) }, barred, 1},
		{"the same by a question", func() *wire.Suspects { return l.Since(table.Revision()) }, barred, 1},
		{"an older answer", func() *wire.Suspects {
			return &wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: bad[:], Standing: suspected, Revision: 1}}}
		}, barred, 1},
		{"cleared", func() *wire.Suspects { set(cleared); return l.Since(table.Revision()) }, cleared, 0},
		{"no fingerprint", func() *wire.Suspects {
			return &wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: []byte{1}, Standing: barred, Revision: 9}}}
		}, cleared, 0},
	}
	for _, tt := range tests {
		table.Take(tt.take())
		if got, _ := table.Known(bad); got != tt.want || table.Held() != tt.held {
			t.Errorf("%s: %v, %d held; want %v, %d", tt.name, got, table.Held(), tt.want, tt.held)
		}
	}
	// A snapshot holds the same, and numbers on from there.
	var restored List
	restored.Restore(l.Since(0))
	set(barred)
	restored.Apply(&wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: bad[:], Standing: barred}}})
	if diff := cmp.Diff(l.Since(0).String(), restored.Since(0).String()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
