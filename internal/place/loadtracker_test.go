package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"sumachead"
	"sumachead/api/wire"
)

// testRouter connects a router's scheduler with the load trackers of engines, without a network.
type testRouter struct {
	*Scheduler
	incarnation string
	trackers    map[string]*LoadTracker
	now         func() time.Time
	// backoffReports counts the query results that contained a backoff.
	backoffReports int
}

// newTestRouter returns a router that queries and updates load trackers.
func newTestRouter(incarnation string, hall sumachead.HallID, trackers map[string]*LoadTracker, now func() time.Time) *testRouter {
	b := &testRouter{Scheduler: trained(hall), incarnation: incarnation, trackers: trackers, now: now}
	b.SendUpdate = func(r *wire.ServerRecord, n *wire.GaugeNote) {
		if g := trackers[r.GetId()]; g != nil {
			g.Update(&wire.GaugeNotes{Router: incarnation, Server: r.GetId(), Notes: []*wire.GaugeNote{n}}, now())
		}
	}
	return b
}

// schedule places a request as a router does: it queries a few candidates that were not tried, and
// then schedules.
func (b *testRouter) schedule(servers []*wire.ServerRecord, tried []sumachead.ServerID, w *Request) *Placement {
	candidates := b.Candidates(servers, tried, w, b.now())
	b.query(candidates, w)
	more := b.MoreCandidates(servers, candidates, tried, w, b.now())
	b.query(more, w)
	return b.Place(append(candidates, more...), tried, w, b.now())
}

// query applies the reports of some servers' load trackers.
func (b *testRouter) query(servers []*wire.ServerRecord, w *Request) {
	for _, r := range servers {
		if g := b.trackers[r.GetId()]; g != nil {
			a := g.Query(&wire.GaugeQuestion{Router: b.incarnation, Server: r.GetId(), Parts: w.PartKeys()}, b.now())
			if a.GetRestMillis() > 0 {
				b.backoffReports++
			}
			b.ApplyReport(sumachead.ServerID(r.GetId()), w, a, b.now())
		}
	}
}

// manyEngines returns engines of one data hall with their load trackers.
func manyEngines(n int) ([]*wire.ServerRecord, map[string]*LoadTracker) {
	var ids []string
	trackers := make(map[string]*LoadTracker)
	for i := range n {
		ids = append(ids, fmt.Sprint("e", i))
		trackers[ids[i]] = &LoadTracker{}
	}
	servers := engines(ids...)
	for _, r := range servers {
		r.Hall = "hall-1"
	}
	return servers, trackers
}

// A prompt whose preferred servers are busy is prefilled elsewhere, and the next router finds
// its parts there through the load tracker of the preferred server.
func TestPreferredServerNamesOtherHolders(t *testing.T) {
	for _, n := range []int{12, 160} {
		t.Run(fmt.Sprint(n, " servers"), func(t *testing.T) {
			now := time.Now()
			servers, trackers := manyEngines(n)
			clock := func() time.Time { return now }
			one, other := newTestRouter("one", "hall-1", trackers, clock), newTestRouter("other", "hall-1", trackers, clock)
			w := review(now, 2000)
			one.Candidates(servers, nil, w, now)
			preferred := w.preferred
			// Both preferred servers are busy for the whole time that the prompt may take.
			busy := &wire.GaugeRun{Number: 1, ReadMicros: 5e6, DeadlineMicros: 10e6}
			for _, id := range []string{preferred.GetId(), second(one, servers, now)} {
				trackers[id].Update(&wire.GaugeNotes{Router: "third", Server: id, Notes: []*wire.GaugeNote{{Note: &wire.GaugeNote_Run{Run: busy}}}}, now)
			}
			first := one.schedule(servers, nil, w)
			if first.Record == preferred {
				t.Fatal("sent to a preferred server that is busy")
			}
			now = now.Add(600 * time.Millisecond) // the prefill has ended
			first.RecordFirstEvent(now)
			next := other.schedule(servers, nil, review(now, 500))
			if diff := cmp.Diff(first.Record.GetId(), next.Record.GetId()); diff != "" || next.recomputed != 0 {
				t.Errorf("the next prompt went to another server and recomputes %d tokens (-want +got):\n%s", next.recomputed, diff)
			}
		})
	}
}

// second returns the second preferred server of a review.
func second(b *testRouter, servers []*wire.ServerRecord, now time.Time) string {
	w := review(now, 2000)
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &selection{serverIndex: b.indexFor(servers), eligible: func(int) bool { return true }}
	p.addPreferred(affinityKey(partsOf(w)), preferredCandidates)
	return servers[p.picked[1]].GetId()
}

// A router learns from the load tracker what another router has sent to a server.
func TestLoadTrackerInformsOtherRouters(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	servers := engines("a")
	g := map[string]*LoadTracker{"a": {}}
	one, other := newTestRouter("one", "hall-1", g, clock), newTestRouter("other", "hall-1", g, clock)
	l := one.schedule(servers, nil, chat(now))
	m := one.schedule(servers, nil, chat(now))
	m.RecordLate()
	ask := func(router string) *wire.GaugeAnswer {
		return g["a"].Query(&wire.GaugeQuestion{Router: router, Server: "a"}, now)
	}
	load := ask("other").GetLoad()
	want := &wire.ServerLoad{Running: 2, AtRisk: 9800, PauseMillis: 500, ReadMillis: load.GetReadMillis()}
	if diff := cmp.Diff(want, load, protocmp.Transform()); diff != "" || load.GetReadMillis() <= 0 {
		t.Fatalf("load reported to another router (-want +got):\n%s", diff)
	}
	if got := ask("one").GetLoad(); got.GetRunning() != 0 || got.GetReadMillis() != load.GetReadMillis() {
		t.Errorf("the load reported to a router contains its own requests, or not the backlog: %v", got)
	}
	other.schedule(servers, nil, chat(now))
	if got := other.server("a").backlog(now); got < time.Duration(load.GetReadMillis())*time.Millisecond {
		t.Errorf("the other router expects a backlog of %v", got)
	}
	l.RecordFirstEvent(now)
	l.Done(true, now)
	m.Cancel(now)
	if got := ask("third").GetLoad(); got.GetRunning() != 1 {
		t.Errorf("%d requests are still counted", got.GetRunning())
	}
}

// A router learns which shared parts a server has cached for another router, and which it has
// not.
func TestLoadTrackerKnowsParts(t *testing.T) {
	now := time.Now()
	g := &LoadTracker{}
	w := review(now, 2000)
	keys := w.PartKeys()
	g.Update(&wire.GaugeNotes{Router: "one", Server: "a", Notes: []*wire.GaugeNote{{
		Note: &wire.GaugeNote_Run{Run: &wire.GaugeRun{Number: 1, Parts: keys[:2], DeadlineMicros: 1e6}},
	}}}, now)
	tests := []struct {
		name string
		keys []uint64
		want uint32
	}{
		{"parts before the own one", keys, 2},
		{"another first part", append([]uint64{7}, keys[1:]...), 0},
		{"no parts in the query", nil, 0},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, g.Query(&wire.GaugeQuestion{Router: "two", Server: "a", Parts: tt.keys}, now).GetParts()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
	if got := g.Query(&wire.GaugeQuestion{Router: "two", Server: "next incarnation", Parts: keys}, now).GetParts(); got != 0 {
		t.Errorf("an engine's next incarnation has %d parts", got)
	}
	c := trained("hall-1")
	c.server("a").addPart(partKey(keys[1]), now)
	c.ApplyReport("a", w, &wire.GaugeAnswer{Parts: 1, FactorThousandths: wireScale}, now)
	if got := c.server("a").cachedTokens(partsOf(w)); got != w.Parts[0].Tokens {
		t.Errorf("%d tokens count as cached although the load tracker knows only the first part", got)
	}
}

// Requests of a router that ended without reporting it are removed at their deadlines, and the
// slowdown of an engine is known to routers that never used it.
func TestLoadTrackerExpiresRequestsAndLearnsSpeed(t *testing.T) {
	now := time.Now()
	g := &LoadTracker{}
	const reads = 100 * time.Millisecond
	for i := range uint64(30) {
		run := &wire.GaugeRun{Number: i, ReadMicros: reads.Microseconds(), DeadlineMicros: 1e6}
		g.Update(&wire.GaugeNotes{Router: "one", Server: "a", Notes: []*wire.GaugeNote{
			{Note: &wire.GaugeNote_Run{Run: run}},
			{Note: &wire.GaugeNote_Read{Read: &wire.GaugeRead{Number: i, TookMicros: 3 * reads.Microseconds()}}},
		}}, now)
	}
	q := &wire.GaugeQuestion{Router: "two", Server: "a"}
	if a := g.Query(q, now); a.GetLoad().GetRunning() != 30 || a.GetFactorThousandths() < 2*wireScale {
		t.Errorf("got %v", a)
	}
	if a := g.Query(q, now.Add(2*time.Second)); a.GetLoad().GetRunning() != 0 {
		t.Errorf("%d requests are counted after their deadlines", a.GetLoad().GetRunning())
	}
}

// If there are more incarnations than are kept, the least recently used one is dropped, never
// the one that is being updated. The incarnations are in a map, so that the order of iteration
// must not matter.
func TestLoadTrackerKeepsRecentIncarnations(t *testing.T) {
	now := time.Now()
	for range 50 { // the order of map iteration varies
		g := &LoadTracker{}
		for i := range maxIncarnations + 1 {
			id := fmt.Sprint("life-", i)
			now = now.Add(time.Second)
			run := &wire.GaugeRun{Number: 1, DeadlineMicros: time.Minute.Microseconds()}
			g.Update(&wire.GaugeNotes{Router: "one", Server: id, Notes: []*wire.GaugeNote{{Note: &wire.GaugeNote_Run{Run: run}}}}, now)
			if n := g.Query(&wire.GaugeQuestion{Router: "two", Server: id}, now).GetLoad().GetRunning(); n != 1 {
				t.Fatalf("%s was dropped while it was being updated", id)
			}
		}
		if g.servers["life-0"] != nil || len(g.servers) != maxIncarnations {
			t.Fatalf("%d incarnations are kept, the oldest: %t", len(g.servers), g.servers["life-0"] != nil)
		}
	}
}

// A prompt that an engine has not run, because it rejected the request or the request was not
// sent after all, has added no parts to the cache: neither its router nor others expect them
// there, except for those that another prompt has added as well.
func TestPromptThatDidNotRunAddsNoParts(t *testing.T) {
	now := time.Now()
	servers, trackers := manyEngines(3)
	clock := func() time.Time { return now }
	one, other := newTestRouter("one", "hall-1", trackers, clock), newTestRouter("other", "hall-1", trackers, clock)
	w := review(now, 2000)
	parts := partsOf(w)
	believed := func(b *testRouter, id string) sumachead.Tokens {
		for _, r := range servers {
			if r.GetId() == id {
				b.query([]*wire.ServerRecord{r}, w)
			}
		}
		return b.server(sumachead.ServerID(id)).cachedTokens(parts)
	}
	l := one.schedule(servers, nil, w)
	id := l.Record.GetId()
	if got := believed(one, id); got != totalTokens(parts) {
		t.Fatalf("%d tokens are expected to be cached while the request is in flight, want %d", got, totalTokens(parts))
	}
	l.CancelNotRun(now)
	for name, b := range map[string]*testRouter{"its router": one, "another router": other} {
		if got := believed(b, id); got != 0 {
			t.Errorf("%s expects %d cached tokens", name, got)
		}
	}
	if n := one.server(sumachead.ServerID(id)).running(now); n != 0 {
		t.Errorf("%d requests are in flight there", n)
	}
	// Another prompt with the same parts starts after it.
	now = now.Add(time.Millisecond)
	l = one.schedule(servers, nil, w)
	now = now.Add(time.Millisecond)
	m := one.Place([]*wire.ServerRecord{l.Record}, nil, review(now, 2000), now)
	l.CancelNotRun(now)
	if got := believed(other, m.Record.GetId()); got != totalTokens(parts) {
		t.Errorf("%d cached tokens are expected of a prompt that runs there, want %d", got, totalTokens(parts))
	}
}
