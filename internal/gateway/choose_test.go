package gateway

import (
	"errors"
	"net"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loadtracker"
	"sumachead/internal/rpc"
)

// coldGateway returns a gateway that knows two engines, some of them cold, with a load tracker
// beside them.
func coldGateway(t *testing.T, a, b *backend, cold ...string) *Gateway {
	t.Helper()
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{
		"a": a.listen(t, respondAndWait), "b": b.listen(t, respondAndWait),
	})
	s := g.client.View().Catalog.GetServices()[0]
	s.ColdMillis, s.ColdRate = 3000, 6.6
	g.ColdOverage, g.ColdSlack = 1.5, 5
	for _, id := range cold {
		for _, r := range g.servers.Servers("pool", nil) {
			if r.GetId() == id {
				if _, err := g.servers.ApplyHeartbeat(&wire.ServerRecord{
					Id: id, Service: "pool", Address: r.GetAddress(), Hall: r.GetHall(), Slots: 4, Sequence: 2, ColdMillis: 3000,
				}, time.Now()); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	return g
}

// unusedAddress returns an address at which nobody listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// startTracker starts a load tracker that has been counting since a time, and returns its address.
func startTracker(t *testing.T, since time.Time) string {
	t.Helper()
	s := &rpc.Server{Address: unusedAddress(t)}
	if err := errors.Join(s.Register(loadtracker.Name, &loadtracker.Service{Since: since}), s.Listen()); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run() }() // ends with Close
	t.Cleanup(s.Close)
	return s.Address
}

// Under more load than a cold engine can take, no request is refused while there is a warm one, and
// the cold one receives no more than its load tracker grants; nothing at all if the load tracker is
// gone.
func TestColdEngineReceivesNoMoreThanGranted(t *testing.T) {
	const requests = 60
	tests := []struct {
		name    string
		tracker func(t *testing.T) string
		maxRuns int32
	}{
		{"with a load tracker", func(t *testing.T) string { return startTracker(t, time.Now().Add(-time.Minute)) }, 14},
		{"the load tracker is gone", unusedAddress, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := &backend{id: "a"}, &backend{id: "b"}
			g := coldGateway(t, a, b, "a")
			address := tt.tracker(t)
			g.trackers.Address = func(*wire.ServerRecord) string { return address }
			for range requests {
				if _, _, err := sendRequest(g, "1", withPrompt); err != nil {
					t.Fatal(err)
				}
			}
			if n := a.runs.Load(); n > tt.maxRuns {
				t.Errorf("%d of %d requests at the cold engine", n, requests)
			}
		})
	}
}

// If all engines are cold and no grant is available, a request is refused at once when waiting is
// useless, as not run and with a retry time.
func TestAllEnginesColdWithoutGrantsRefusesAtOnce(t *testing.T) {
	a, b := &backend{id: "a"}, &backend{id: "b"}
	g := coldGateway(t, a, b, "a", "b")
	address := startTracker(t, time.Now().Add(time.Minute)) // it grants nothing for a long time
	g.trackers.Address = func(*wire.ServerRecord) string { return address }
	begun := time.Now()
	_, _, err := sendRequest(g, "1", withPrompt)
	f := refusalOf(t, err)
	if f.Verdict != sumachead.NotRun || f.Reason != sumachead.ReasonCold {
		t.Errorf("refused with %v", f)
	}
	if took := time.Since(begun); took > 200*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if n := a.runs.Load() + b.runs.Load(); n > 0 {
		t.Errorf("%d requests reached a cold engine", n)
	}
}

// A request without a grant waits for one that is available shortly.
func TestRequestWaitsForAGrant(t *testing.T) {
	a, b := &backend{id: "a"}, &backend{id: "b"}
	g := coldGateway(t, a, b, "a", "b")
	address := startTracker(t, time.Now()) // has granted nothing yet, and grants the first soon
	g.trackers.Address = func(*wire.ServerRecord) string { return address }
	if _, _, err := sendRequest(g, "1", withPrompt); err != nil {
		t.Fatal(err)
	}
}
