package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// blockFixture reports crashes of servers under requests with prompt blocks.
type blockFixture struct {
	*fixture
	t       *testing.T
	request byte
	number  uint64
}

// crashAt reports the crash of a server that may just have begun to respond to the blocks of a new
// request, some time after the last report.
func (b *blockFixture) crashAt(node, server string, blocks ...string) {
	b.request++
	b.crashUnder(sumachead.Fingerprint{7, b.request}, node, server, blocks...)
}

// crashUnder is like crashAt for a certain request.
func (b *blockFixture) crashUnder(f sumachead.Fingerprint, node, server string, blocks ...string) {
	b.now = b.now.Add(2 * correlationWindow)
	b.crashNow(f, node, server, blocks...)
}

// crashNow is like crashUnder at the time of the last report.
func (b *blockFixture) crashNow(f sumachead.Fingerprint, node, server string, blocks ...string) {
	e := &wire.ServerEnd{Fingerprint: f[:], Server: server, Service: "pool", Software: "v1"}
	for _, id := range blocks {
		e.Blocks = append(e.Blocks, &wire.CrashBlock{Id: id, Survived: id == "popular"})
	}
	b.handleReport(&wire.EndsReport{Node: node, Ends: []*wire.ServerEnd{e}})
}

// try grants a trial of a request with blocks at a server, or fails the test.
func (b *blockFixture) try(server string, blocks ...string) {
	b.t.Helper()
	b.now = b.now.Add(2 * correlationWindow)
	b.number++
	r := &wire.TrialRequest{Node: "a", DeadlineMillis: 6000, Number: b.number, Server: server}
	for _, id := range blocks {
		f := fingerprintOf(id)
		r.Blocks = append(r.Blocks, f[:])
	}
	if got := b.tracker.DecideTrial(r, b.list.Standing, b.now); got != wire.Trial_TRIAL_GRANTED {
		b.t.Fatalf("trial of %v at %s: %v", blocks, server, got)
	}
}

// wait lets time pass until all reports about crashes have arrived.
func (b *blockFixture) wait() {
	b.now = b.now.Add(reportTime)
	b.list.Apply(&wire.Suspects{Suspects: b.tracker.DecidePending(b.list.Standing, b.now)})
}

// suspect makes the block x suspected.
func (b *blockFixture) suspect() {
	b.crashAt("a", "s1", "x")
	b.crashAt("b", "s2", "x")
}

// report reports blocks that have survived, or are known to have survived before.
func (b *blockFixture) report(survived, recalled string) {
	r := &wire.EndsReport{Node: "c"}
	if survived != "" {
		f := fingerprintOf(survived)
		r.Survived = append(r.Survived, f[:])
	}
	if recalled != "" {
		f := fingerprintOf(recalled)
		r.Recalled = append(r.Recalled, f[:])
	}
	b.handleReport(r)
}

func TestStandingOfBlocks(t *testing.T) {
	tests := []struct {
		name string
		do   func(b *blockFixture)
		want map[string]wire.Standing
	}{
		{"one crash", func(b *blockFixture) { b.crashAt("a", "s1", "x") }, map[string]wire.Standing{"x": cleared}},
		{"two crashes under different requests", func(b *blockFixture) { b.suspect() }, map[string]wire.Standing{"x": suspected}},
		{"two crashes under one request", func(b *blockFixture) {
			b.crashUnder(bad, "a", "s1", "x")
			b.crashUnder(bad, "b", "s2", "x")
		}, map[string]wire.Standing{"x": cleared}},
		{"many servers that crash at the same time", func(b *blockFixture) {
			for i := range byte(8) {
				b.crashNow(sumachead.Fingerprint{7, i}, "a", fmt.Sprint("s", i), "x")
			}
		}, map[string]wire.Standing{"x": cleared}},
		{"a block that had survived", func(b *blockFixture) {
			for i := range recalledCrashes - 1 {
				b.crashAt("a", fmt.Sprint("s", i), "popular")
			}
		}, map[string]wire.Standing{"popular": cleared}},
		{"a block that had survived, after many crashes", func(b *blockFixture) {
			for i := range recalledCrashes {
				b.crashAt("a", fmt.Sprint("s", i), "popular")
			}
		}, map[string]wire.Standing{"popular": suspected}},
		{"another router recalls it", func(b *blockFixture) {
			b.suspect()
			b.report("", "x")
		}, map[string]wire.Standing{"x": cleared}},
		{"another router recalls it after many crashes", func(b *blockFixture) {
			for i := range recalledCrashes {
				b.crashAt("a", fmt.Sprint("s", i), "x", "y")
			}
			b.report("", "x")
		}, map[string]wire.Standing{"x": suspected}},
		{"it survives", func(b *blockFixture) {
			b.suspect()
			b.report("x", "")
		}, map[string]wire.Standing{"x": cleared}},
		{"the server of its trial crashes", func(b *blockFixture) {
			b.suspect()
			b.try("s3", "x")
			b.crashAt("a", "s3", "x")
			b.wait()
		}, map[string]wire.Standing{"x": barred}},
		{"the same, reported by another router first", func(b *blockFixture) {
			b.suspect()
			b.try("s3", "x")
			b.crashAt("b", "s3", "x")
			b.crashNow(sumachead.Fingerprint{6}, "a", "s3", "x")
			b.wait()
		}, map[string]wire.Standing{"x": barred}},
		{"the server of its trial crashes together with another one", func(b *blockFixture) {
			b.suspect()
			b.try("s3", "x")
			b.crashAt("a", "s3", "x")
			b.crashNow(sumachead.Fingerprint{6}, "b", "s4", "y")
			b.wait()
		}, map[string]wire.Standing{"x": suspected}},
		{"servers crash for other reasons, too", func(b *blockFixture) {
			b.suspect()
			b.crashAt("b", "s9")
			b.try("s3", "x")
			b.crashAt("a", "s3", "x")
			b.wait()
		}, map[string]wire.Standing{"x": suspected}},
		{"servers crash for other reasons, a second trial", func(b *blockFixture) {
			b.suspect()
			b.crashAt("b", "s9")
			const trials = 2 // by then it leads
			for i := range trials {
				b.try(fmt.Sprint("t", i), "x")
				b.crashAt("a", fmt.Sprint("t", i), "x")
				b.wait()
			}
		}, map[string]wire.Standing{"x": barred}},
		{"the server of its trial runs a worse suspect", func(b *blockFixture) {
			b.crashAt("a", "s0", "y")
			b.crashAt("a", "s1", "x", "y")
			b.crashAt("b", "s2", "x", "y")
			b.try("s3", "x")
			b.crashAt("a", "s3", "x")
			b.crashNow(sumachead.Fingerprint{6}, "b", "s3", "y")
			b.wait()
		}, map[string]wire.Standing{"x": suspected, "y": suspected}},
		{"two blocks on one trial", func(b *blockFixture) {
			b.crashAt("a", "s1", "x", "y")
			b.crashAt("b", "s2", "x", "y")
			b.try("s3", "x", "y")
			b.crashAt("a", "s3", "x", "y")
			b.wait()
		}, map[string]wire.Standing{"x": suspected, "y": suspected}},
		{"two blocks on one trial, then one of them", func(b *blockFixture) {
			b.crashAt("a", "s1", "x", "y")
			b.crashAt("b", "s2", "x", "y")
			b.try("s3", "x", "y")
			b.crashAt("a", "s3", "x", "y")
			b.wait()
			b.try("s4", "x")
			b.crashAt("a", "s4", "x")
			b.wait()
		}, map[string]wire.Standing{"x": barred, "y": cleared}},
		{"many more crashes than any other block, without a trial", func(b *blockFixture) {
			for i := range leadCrashes + leadMargin {
				b.crashAt("a", fmt.Sprint("s", i), "x", fmt.Sprint("y", i))
			}
		}, map[string]wire.Standing{"x": barred, "y0": cleared}},
		{"blocks that ran beside a barred one", func(b *blockFixture) {
			b.crashAt("a", "s1", "x", "y")
			b.crashAt("b", "s2", "x", "y")
			b.crashAt("b", "s3", "x")
			b.try("s4", "x")
			b.crashAt("a", "s4", "x")
			b.wait()
		}, map[string]wire.Standing{"x": barred, "y": cleared}},
		{"a barred block crashes further servers beside another", func(b *blockFixture) {
			b.suspect()
			b.try("s3", "x")
			b.crashAt("a", "s3", "x")
			b.wait()
			for i := range recalledCrashes {
				b.crashAt("b", fmt.Sprint("t", i), "x", "y")
			}
		}, map[string]wire.Standing{"x": barred, "y": cleared}},
		{"a second block after a barred one", func(b *blockFixture) {
			b.suspect()
			b.try("s3", "x")
			b.crashAt("a", "s3", "x")
			b.wait()
			b.crashAt("a", "s4", "z")
			b.crashAt("b", "s5", "z")
			b.try("s6", "z")
			b.crashAt("a", "s6", "z")
			b.wait()
		}, map[string]wire.Standing{"x": barred, "z": barred}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &blockFixture{fixture: newFixture(), t: t}
			tt.do(b)
			got := make(map[string]wire.Standing)
			for id := range tt.want {
				got[id] = b.list.Standing(fingerprintOf(id))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("standings (-want +got):\n%s", diff)
			}
		})
	}
}

// A block that crashes one software version must not be held back at another one.
func TestBlocksOfOtherVersionsStayCleared(t *testing.T) {
	b := &blockFixture{fixture: newFixture(), t: t}
	b.suspect()
	for _, other := range []*wire.PromptBlock{{Service: "pool", Software: "v2", Id: "x"}, {Service: "desk", Software: "v1", Id: "x"}} {
		if got := b.list.Standing(BlockFingerprint(other)); got != cleared {
			t.Errorf("%v: %v", other, got)
		}
	}
}

// A barred block is tried again by one trial, soon after it was barred for the first time and rarely
// after that; also by a leader that knows its standing only.
func TestBarsOfBlocksExpire(t *testing.T) {
	b := &blockFixture{fixture: newFixture(), t: t}
	b.suspect()
	for _, ttl := range []time.Duration{firstBarTTL, standingTTL} {
		b.try("s3", "x")
		b.crashAt("a", "s3", "x")
		b.wait()
		for _, tt := range []struct {
			after time.Duration
			want  wire.Standing
		}{{ttl - time.Second, barred}, {2 * time.Second, suspected}} {
			b.now = b.now.Add(tt.after)
			b.list.Apply(&wire.Suspects{Suspects: b.tracker.Expire(b.list.Since(0).GetSuspects(), b.now)})
			if got := b.list.Standing(fingerprintOf("x")); got != tt.want {
				t.Errorf("bar of %v: %v, want %v", ttl, got, tt.want)
			}
		}
	}
	b.tracker = Tracker{} // a new leader
	b.now = b.now.Add(standingTTL)
	b.list.Apply(&wire.Suspects{Suspects: b.tracker.Expire(b.list.Since(0).GetSuspects(), b.now)})
	got := b.list.Since(0).GetSuspects()
	if last := got[len(got)-1]; last.GetStanding() != cleared || last.GetBlock().GetId() != "x" {
		t.Errorf("after all: %v", last)
	}
}

// A barred suspect must not be forgotten because of many new ones.
func TestBarredSuspectsAreEvictedLast(t *testing.T) {
	var l List
	for i := range 2 * maxSuspects {
		f := sumachead.Fingerprint{1, byte(i), byte(i >> 8)}
		s := wire.Standing_STANDING_CLEARED
		if i == 0 {
			s = barred
		}
		l.Apply(&wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: f[:], Standing: s}}})
	}
	if got := l.Standing(sumachead.Fingerprint{1}); got != barred || len(l.suspects) != maxSuspects {
		t.Errorf("standing %v, %d suspects", got, len(l.suspects))
	}
}

// A block that is barred at one software version must be tried at the others before it runs freely, and
// is barred there by the first crash, unless it has survived there.
func TestBarredBlockIsTriedAtOtherVersions(t *testing.T) {
	crashAtV2 := func(b *blockFixture, server string, survived bool, blocks ...string) {
		b.now = b.now.Add(2 * correlationWindow)
		b.request++
		f := sumachead.Fingerprint{7, b.request}
		e := &wire.ServerEnd{Fingerprint: f[:], Server: server, Service: "pool", Software: "v2"}
		for _, id := range blocks {
			e.Blocks = append(e.Blocks, &wire.CrashBlock{Id: id, Survived: survived})
		}
		b.handleReport(&wire.EndsReport{Node: "a", Ends: []*wire.ServerEnd{e}})
	}
	tests := []struct {
		name string
		// known states that a server of the other version has crashed before.
		known bool
		do    func(b *blockFixture)
		want  wire.Standing
	}{
		{"no crash at an unknown version", false, func(*blockFixture) {}, cleared},
		{"no crash at a known version", true, func(*blockFixture) {}, suspected},
		{"a crash at an unknown version", false, func(b *blockFixture) { crashAtV2(b, "t1", false, "x") }, barred},
		{"a crash at a known version", true, func(b *blockFixture) { crashAtV2(b, "t1", false, "x") }, barred},
		{"a crash where it had survived", false, func(b *blockFixture) { crashAtV2(b, "t1", true, "x") }, cleared},
		{"a crash under another block", true, func(b *blockFixture) { crashAtV2(b, "t1", false, "y") }, suspected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &blockFixture{fixture: newFixture(), t: t}
			if tt.known {
				crashAtV2(b, "t0", false, "z")
			}
			b.suspect()
			b.try("s3", "x")
			b.crashAt("a", "s3", "x")
			b.wait()
			tt.do(b)
			f := BlockFingerprint(&wire.PromptBlock{Service: "pool", Software: "v2", Id: "x"})
			if diff := cmp.Diff(tt.want, b.list.Standing(f)); diff != "" {
				t.Errorf("standing at the other version (-want +got):\n%s", diff)
			}
		})
	}
}

// Reports that arrive before a bar is committed must not make the first bar last as long as later ones.
func TestReportsDuringACommitDoNotProlongTheFirstBar(t *testing.T) {
	b := &blockFixture{fixture: newFixture(), t: t}
	b.suspect()
	b.try("s3", "x")
	b.crashAt("a", "s3", "x")
	for range 3 { // not committed
		b.now = b.now.Add(reportTime)
		b.tracker.DecidePending(b.list.Standing, b.now)
	}
	b.wait()
	s := b.list.Since(0).GetSuspects()
	got := time.UnixMilli(s[len(s)-1].GetUntilUnixMillis()).Sub(b.now)
	if diff := cmp.Diff(firstBarTTL, got); diff != "" {
		t.Errorf("time of the first bar (-want +got):\n%s", diff)
	}
}
