package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// engines returns the records of servers, each in another data hall.
func engines(ids ...string) []*wire.ServerRecord {
	var out []*wire.ServerRecord
	for i, id := range ids {
		out = append(out, &wire.ServerRecord{Id: id, Address: id + ":1", Hall: fmt.Sprint("hall-", i+1)})
	}
	return out
}

// limits are those of engines that fetch 100,000 tokens per second.
var limits = &wire.EngineLimits{Slots: 64, FetchTokensPerSecond: 100_000}

// review returns a request with two shared parts and one of its own.
func review(now time.Time, own sumachead.Tokens) *Request {
	return &Request{
		Route: "review", PromptTokens: 13_000 + own, MaxOutputTokens: 300, FirstEventDeadline: now.Add(800 * time.Millisecond), MaxEventGap: 500 * time.Millisecond,
		Parts: []sumachead.PromptPart{{ID: "doc", Tokens: 10_000}, {ID: "more", Tokens: 3000}, {ID: "own", Tokens: own}}, Engine: limits,
	}
}

// chat returns a request with a short prompt and a long response.
func chat(now time.Time) *Request {
	return &Request{
		Route: "chat", PromptTokens: 800, MaxOutputTokens: 900, FirstEventDeadline: now.Add(500 * time.Millisecond), MaxEventGap: 500 * time.Millisecond,
		Engine: limits,
	}
}

// trained returns a scheduler whose prefill model has learned 60 tokens per millisecond and a
// base of 25 ms.
func trained(hall sumachead.HallID) *Scheduler {
	c := NewScheduler(hall)
	for i := range 300 {
		n := sumachead.Tokens(200 + 100*(i%200))
		c.prefill.Observe(n, n, 0, 25*time.Millisecond+time.Duration(n)*time.Millisecond/60)
	}
	return c
}

func TestRequestsWithSharedPartsMeet(t *testing.T) {
	now := time.Now()
	servers := engines("a", "b", "c")
	one, other := trained("hall-1"), trained("hall-3")
	l := one.Place(servers, nil, review(now, 2000), now)
	if m := other.Place(servers, nil, review(now, 2000), now); m.Record.GetId() != l.Record.GetId() || !l.Preferred {
		t.Fatalf("one router chose %s, the other %s", l.Record.GetId(), m.Record.GetId())
	}
	if m := one.Place(servers, []sumachead.ServerID{"a", "b", "c"}, review(now, 2000), now); m != nil {
		t.Fatal("placed at a server that was tried")
	}
	l.Done(false, now)
	if m := one.Place(servers, nil, review(now, 2000), now); m.Record.GetId() == l.Record.GetId() {
		t.Fatal("placed at a server that has just failed")
	}
}

// Shared parts are fetched from the server that most likely has them cached, if that saves their
// prefill.
func TestSharedPartsAreFetched(t *testing.T) {
	now := time.Now()
	w := review(now, 2000)
	const silent = wire.ServerState_SERVER_STATE_SILENT
	tests := []struct {
		name string
		// cached holds the parts that servers are known to have.
		kept map[string][]string
		// chosen is the only server that was not tried.
		chosen string
		// silent is a server from which nothing may be fetched.
		silent string
		// software are the versions of servers that differ from the others.
		software map[string]string
		rate     int64
		want     string
	}{
		{"no server has them", nil, "b", "", nil, 100_000, ""},
		{"another has them", map[string][]string{"a": {"doc", "more"}}, "b", "", nil, 100_000, "a:1"},
		{"engines cannot fetch", map[string][]string{"a": {"doc", "more"}}, "b", "", nil, 0, ""},
		{"the chosen one has them too", map[string][]string{"a": {"doc", "more"}, "b": {"doc", "more"}}, "b", "", nil, 100_000, ""},
		{"another has more", map[string][]string{"a": {"doc", "more"}, "b": {"doc"}}, "b", "", nil, 100_000, "a:1"},
		{"the other is silent", map[string][]string{"a": {"doc", "more"}}, "b", "a", nil, 100_000, ""},
		{"the one with most is silent", map[string][]string{"a": {"doc", "more"}, "c": {"doc"}}, "b", "a", nil, 100_000, "c:1"},
		{"another version has them", map[string][]string{"a": {"doc", "more"}}, "b", "", map[string]string{"a": "v2"}, 100_000, ""},
		{"another version has more", map[string][]string{"a": {"doc", "more"}, "c": {"doc"}}, "b", "", map[string]string{"a": "v2"}, 100_000, "c:1"},
		{"a part without its predecessors is useless", map[string][]string{"c": {"more"}}, "b", "", nil, 100_000, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := trained("hall-1")
			servers := engines("a", "b", "c")
			var tried []sumachead.ServerID
			for _, r := range servers {
				r.Software = tt.software[r.GetId()]
				if r.GetId() == tt.silent {
					r.State = silent
				}
				if r.GetId() != tt.chosen {
					tried = append(tried, sumachead.ServerID(r.GetId()))
				}
				for _, id := range tt.kept[r.GetId()] {
					key := partsOf(&Request{Parts: []sumachead.PromptPart{{ID: id}}})[0].key
					c.server(sumachead.ServerID(r.GetId())).addPart(key, now)
				}
			}
			work := *w
			work.Engine = &wire.EngineLimits{FetchTokensPerSecond: tt.rate}
			l := c.Place(servers, tried, &work, now)
			// A preferred server to which no parts are known to have been sent counts as having
			// them.
			if tt.want == "" && c.locateParts(servers, &work, now).cached == 0 {
				if l.FetchFrom != "" {
					t.Fatalf("fetched from %s, but no server has the parts", l.FetchFrom)
				}
				return
			}
			if diff := cmp.Diff(tt.want, l.FetchFrom); diff != "" {
				t.Fatalf("source (-want +got):\n%s", diff)
			}
		})
	}
}

// A server whose slots are taken, by whichever router, is not chosen, except for the few
// requests whose wait for a slot costs less than another server.
func TestSlotsBoundWhatIsSent(t *testing.T) {
	now := time.Now()
	servers := engines("a", "b")
	slots := int(limits.GetSlots())
	limit := slots * 11 / 10
	t.Run("own", func(t *testing.T) {
		c := trained("hall-1")
		count := make(map[string]int)
		for range slots * 3 / 2 {
			l := c.Place(servers, nil, chat(now), now)
			l.RecordFirstEvent(now)
			count[l.Record.GetId()]++
		}
		for id, n := range count {
			if n > limit {
				t.Errorf("%d requests at %s, which has %d slots", n, id, slots)
			}
		}
	})
	t.Run("other routers", func(t *testing.T) {
		c := trained("hall-1")
		c.ApplyReport("a", chat(now), &wire.GaugeAnswer{Load: &wire.ServerLoad{Running: int64(slots * 5 / 4)}, FactorThousandths: wireScale}, now)
		if l := c.Place(servers, nil, chat(now), now); l.Record.GetId() != "b" {
			t.Error("sent to a server without a free slot")
		}
	})
}

// Without objectives no request is late, and the server with the shortest backlog is still
// chosen.
func TestWithoutObjectivesTheIdleServerIsChosen(t *testing.T) {
	now := time.Now()
	servers := engines("a", "b", "c")
	for _, r := range servers {
		r.Hall = "hall-1"
	}
	c := trained("hall-1")
	w := &Request{Route: "plain", PromptTokens: 9000, MaxOutputTokens: 300, Engine: limits}
	seen := make(map[string]bool)
	for range servers {
		seen[c.Place(servers, nil, w, now).Record.GetId()] = true
	}
	if len(seen) != len(servers) {
		t.Errorf("three prompts went to %d servers", len(seen))
	}
}

// A long prefill goes to the server where it makes the fewest streams late, and streams go to
// servers with few long prefills.
func TestLongPromptsAreKeptApartFromStreams(t *testing.T) {
	now := time.Now()
	servers := engines("a", "b", "c")
	c := trained("hall-1")
	for range 10 {
		c.Place(servers, []sumachead.ServerID{"c"}, chat(now), now).RecordFirstEvent(now)
	}
	long := &Request{Route: "long", PromptTokens: 27_000, MaxOutputTokens: 300, FirstEventDeadline: now.Add(time.Second), MaxEventGap: 500 * time.Millisecond, Engine: limits}
	if l := c.Place(servers, nil, long, now); l.Record.GetId() != "c" {
		t.Fatalf("a long prompt was sent to %s, which has streams", l.Record.GetId())
	}
	later := now.Add(time.Second) // the prefill has ended
	for i := range 10 {
		if l := c.Place(servers, nil, chat(later), later); l.Record.GetId() == "c" {
			t.Fatalf("stream %d was sent to the server with long prefills", i)
		}
	}
}

// Reported loads of other routers have the same effect.
func TestOthersLoadsCount(t *testing.T) {
	now := time.Now()
	servers := engines("a", "b")
	long := &Request{Route: "long", PromptTokens: 27_000, MaxOutputTokens: 300, FirstEventDeadline: now.Add(time.Second), MaxEventGap: 500 * time.Millisecond, Engine: limits}
	tests := []struct {
		name string
		load *wire.ServerLoad
		work *Request
	}{
		{"streams at risk", &wire.ServerLoad{AtRisk: 50_000, PauseMillis: 500}, long},
		{"prefill backlog", &wire.ServerLoad{ReadMillis: 900}, chat(now)},
		{"recent long prompts", &wire.ServerLoad{LongThousandths: 4000}, chat(now)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, r := range servers {
				c := trained("hall-1")
				id := sumachead.ServerID(r.GetId())
				c.ApplyReport(id, tt.work, &wire.GaugeAnswer{Load: tt.load, FactorThousandths: wireScale}, now)
				if l := c.Place(servers, nil, tt.work, now); l.Record.GetId() == r.GetId() {
					t.Errorf("placed at %s", r.GetId())
				}
				late := now.Add(2 * remoteLoadTTL)
				if diff := cmp.Diff(remoteLoad{}, c.server(id).remoteAt(late), cmp.AllowUnexported(remoteLoad{})); diff != "" {
					t.Errorf("expired loads are believed (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// The prefill model finds an engine's coefficients from noisy samples.
func TestPrefillModelLearns(t *testing.T) {
	tests := []struct {
		name     string
		base     time.Duration
		perToken float64 // nanoseconds
		perPair  float64
	}{
		{"fast", 22 * time.Millisecond, 16_340, 0.4},
		{"slow, expensive attention", 60 * time.Millisecond, 100_000, 2},
		{"free attention", 10 * time.Millisecond, 20_000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := rand.New(rand.NewPCG(1, 2))
			truth := func(unread, prompt sumachead.Tokens) time.Duration {
				f := featuresOf(unread, prompt, 0)
				return time.Duration(f[1]*tokenScale*tt.perToken + f[2]*pairScale*tt.perPair)
			}
			r := newPrefillModel()
			for range 2000 {
				prompt := sumachead.Tokens(200 + g.ExpFloat64()*6000)
				unread := prompt - sumachead.Tokens(g.Float64()*float64(prompt)/2)
				noise := 1 + 0.2*g.NormFloat64()
				r.Observe(unread, prompt, 0, time.Duration(noise*float64(tt.base+truth(unread, prompt))))
			}
			for _, n := range []sumachead.Tokens{2000, 10_000, 30_000} {
				want, got := tt.base+truth(n, n), r.Base()+r.PrefillTime(n, n)
				if ratio := float64(got) / float64(want); ratio < 0.8 || ratio > 1.25 {
					t.Errorf("%d tokens: predicted %v, want %v", n, got, want)
				}
			}
		})
	}
}

// A scheduling decision allocates nothing per server and takes a few microseconds: a look at
// each server in search of the preferred ones, and an estimate of a few. With an estimate of
// every server a decision took 5.3 us among 12, 21 us among 60, and 0.7 ms (extrapolated) among
// 1,900; it takes 5.0, 7.1 and 19 us.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 60, 160, 1900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			var ids []string
			for i := range n {
				ids = append(ids, fmt.Sprint("i-", i))
			}
			servers := engines(ids...)
			c := trained("hall-1")
			place := func(w *Request) *Placement {
				return c.Place(c.Candidates(servers, nil, w, now), nil, w, now)
			}
			for i := range 10 * n {
				w := chat(now)
				if i%5 == 0 {
					w = review(now, 6000)
				}
				place(w).RecordFirstEvent(now)
			}
			w := review(now, 6000)
			b.ReportAllocs()
			for b.Loop() {
				place(w).Cancel(now)
			}
		})
	}
}

// Servers in backoff are excluded, however many there are; if all are, the scheduler tells when
// the first backoff ends.
func TestServersInBackoffAreExcluded(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name  string
		count int
	}{{"few, all queried", 3}, {"some, all ranked", 12}, {"many, some sampled", 200}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var names []string
			for i := range tt.count {
				names = append(names, fmt.Sprint("s", i))
			}
			servers := engines(names...)
			c := trained("hall-1")
			backoffs := make(map[sumachead.ServerID]time.Duration)
			c.Backoff = func(id sumachead.ServerID) time.Duration { return backoffs[id] }
			const shortest = 2 * time.Second
			for i, n := range names[1:] {
				backoffs[sumachead.ServerID(n)] = shortest + time.Duration(i)*time.Second
			}
			choose := func(tried ...sumachead.ServerID) *Placement {
				w := review(now, 2000)
				return c.Place(c.Candidates(servers, tried, w, now), tried, w, now)
			}
			for range 20 {
				if l := choose(); l == nil || l.Record.GetId() != "s0" {
					t.Fatalf("placed at %v", l)
				}
			}
			if at := c.BackoffEnd(servers, nil, now); !at.IsZero() {
				t.Errorf("backoff ends after %v although one server is not in backoff", at.Sub(now))
			}
			if l := choose("s0"); l != nil {
				t.Errorf("placed at %s, which is in backoff", l.Record.GetId())
			}
			if at := c.BackoffEnd(servers, []sumachead.ServerID{"s0"}, now); at.Sub(now) != shortest {
				t.Errorf("the first backoff ends after %v", at.Sub(now))
			}
			if at := c.AvailableAt(servers, now); !at.Equal(now) {
				t.Errorf("the server that is not in backoff is available after %v", at.Sub(now))
			}
			if at := c.AvailableAt(servers[1:], now); at.Sub(now) != shortest {
				t.Errorf("the first server in backoff is available after %v", at.Sub(now))
			}
		})
	}
}
