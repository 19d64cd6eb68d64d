package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/quarantine"
)

// fakeKeeper is the keeper's side of tracking requests that crash servers. Tests connect gateways
// to it.
type fakeKeeper struct {
	tracker quarantine.Tracker
	mu      sync.Mutex // guards list
	list    quarantine.List
}

// connect makes a gateway report to the fake keeper.
func (c *fakeKeeper) connect(g *Gateway) {
	g.suspects.ReportCrashes = func(_ context.Context, r *wire.EndsReport) (*wire.Suspects, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.list.Apply(&wire.Suspects{Suspects: c.tracker.HandleReport(r, c.list.Standing, time.Now())})
		return c.list.Since(0), nil
	}
	g.suspects.RequestTrial = func(_ context.Context, r *wire.TrialRequest) (*wire.TrialReply, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return &wire.TrialReply{Trial: c.tracker.DecideTrial(r, c.list.Standing, time.Now())}, nil
	}
}

// crashReportDelay is a time after which a router has processed a crash: the response to a caller
// does not wait for that.
const crashReportDelay = 50 * time.Millisecond

// crashingServers returns the servers that crash under their first request, and their addresses.
func crashingServers(t *testing.T, ids ...string) (backends []*backend, addresses map[string]string) {
	t.Helper()
	addresses = make(map[string]string)
	for _, id := range ids {
		b, address := crashingBackend(t, id)
		backends, addresses[id] = append(backends, b), address
	}
	return backends, addresses
}

// totalRuns adds up the requests that reached servers.
func totalRuns(backends []*backend) (n int32) {
	for _, b := range backends {
		n += b.runs.Load()
	}
	return n
}

func TestRequestThatCrashesServersIsBarred(t *testing.T) {
	for _, kind := range []wire.RouteKind{wire.RouteKind_ROUTE_KIND_SINGLE, wire.RouteKind_ROUTE_KIND_REPEATABLE, wire.RouteKind_ROUTE_KIND_STREAM} {
		t.Run(kind.String(), func(t *testing.T) {
			backends, addresses := crashingServers(t, "a", "b", "c", "d", "e", "f")
			g := newGateway(t, kind, true, addresses)
			new(fakeKeeper).connect(g)
			var last *sumachead.Refusal
			for i := range 8 {
				_, _, err := sendRequest(g, string(rune('1'+i)), nil)
				last = refusalOf(t, err)
				time.Sleep(crashReportDelay)
			}
			if n := totalRuns(backends); n != 3 {
				t.Errorf("%d servers crashed, want 3", n)
			}
			want := &sumachead.Refusal{Verdict: sumachead.Ran, Reason: sumachead.ReasonEndsServers, Detail: "the servers that run this request end"}
			if diff := cmp.Diff(want, last); diff != "" {
				t.Errorf("the last response (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRouterWithoutKeeperLosesTwoServers(t *testing.T) {
	backends, addresses := crashingServers(t, "a", "b", "c", "d")
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_REPEATABLE, false, addresses)
	var last *sumachead.Refusal
	for i := range 4 {
		_, _, err := sendRequest(g, string(rune('1'+i)), nil)
		last = refusalOf(t, err)
		time.Sleep(crashReportDelay)
	}
	if n := totalRuns(backends); n != 2 {
		t.Errorf("%d servers crashed, want 2", n)
	}
	if last.Reason != sumachead.ReasonSuspected || last.Verdict != sumachead.NotRun || last.RetryAt.IsZero() {
		t.Errorf("the last response is %v", last)
	}
}

func TestSuspectThatCrashesNothingIsCleared(t *testing.T) {
	a := &backend{id: "a"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": a.listen(t, respondWith(200, "", "ok"))})
	c := &fakeKeeper{}
	c.connect(g)
	f := quarantine.Fingerprint(nil, "clerks", &sumachead.CallerRequest{Method: "POST", Host: "h", Path: "/r/x"})
	c.list.Apply(&wire.Suspects{Suspects: []*wire.Suspect{{Fingerprint: f[:], Standing: wire.Standing_STANDING_SUSPECTED}}})
	g.client.ApplySuspects(c.list.Since(0))
	var all sync.WaitGroup
	var mu sync.Mutex // guards outcomes
	outcomes := make(map[sumachead.Reason]int)
	for i := range 2 { // both at the same time; one waits for its turn
		all.Go(func() {
			_, _, err := sendRequest(g, string(rune('1'+i)), nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				outcomes[""]++
				return
			}
			outcomes[sumachead.AsRefusal(err).Reason]++
		})
	}
	all.Wait()
	if outcomes[""] == 0 || outcomes[""]+outcomes[sumachead.ReasonSuspected] != 2 {
		t.Errorf("outcomes %v", outcomes)
	}
	for deadline := time.Now().Add(time.Second); g.suspects.hasAny() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if _, _, err := sendRequest(g, "3", nil); err != nil || g.suspects.hasAny() {
		t.Errorf("after a success: %v, active suspects: %t", err, g.suspects.hasAny())
	}
}
