package gateway

import (
	"errors"
	"net"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/gauge"
	"sumachead/internal/rpc"
)

// coldGateway returns a gateway that knows two engines, of which some are cold, and a
// gauge beside them.
func coldGateway(t *testing.T, a, b *backend, cold ...string) *Gateway {
	t.Helper()
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{
		"a": a.listen(t, answerAndWait), "b": b.listen(t, answerAndWait),
	})
	s := g.client.View().Catalog.GetServices()[0]
	s.ColdMillis, s.ColdRate = 3000, 6.6
	g.ColdOverage, g.ColdSlack = 1.5, 5
	for _, id := range cold {
		for _, r := range g.servers.Servers("pool", nil) {
			if r.GetId() == id {
				if _, err := g.servers.Beat(&wire.ServerRecord{
					Id: id, Service: "pool", Address: r.GetAddress(), Hall: r.GetHall(), Slots: 4, Sequence: 2, ColdMillis: 3000,
				}, time.Now()); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	return g
}

// freeAddress returns an address at which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// gaugeSince starts a gauge that counts since a time, and returns its address.
func gaugeSince(t *testing.T, since time.Time) string {
	t.Helper()
	s := &rpc.Server{Address: freeAddress(t)}
	if err := errors.Join(s.Register(gauge.Name, &gauge.Service{Since: since}), s.Listen()); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run() }() // ends with Close
	t.Cleanup(s.Close)
	return s.Address
}

// Under more load than a cold engine bears nobody is refused while there is a warm one, and
// the cold one gets no more than the gauge grants; nothing at all where the gauge is gone.
func TestColdEngineGetsWhatItBears(t *testing.T) {
	const requests = 60
	tests := []struct {
		name  string
		gauge func(t *testing.T) string
		most  int32
	}{
		{"with a gauge", func(t *testing.T) string { return gaugeSince(t, time.Now().Add(-time.Minute)) }, 14},
		{"the gauge is gone", freeAddress, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := &backend{id: "a"}, &backend{id: "b"}
			g := coldGateway(t, a, b, "a")
			address := tt.gauge(t)
			g.gauges.Address = func(*wire.ServerRecord) string { return address }
			for range requests {
				if _, _, err := ask(g, "1", withPrompt); err != nil {
					t.Fatal(err)
				}
			}
			if n := a.runs.Load(); n > tt.most {
				t.Errorf("%d of %d requests at the cold engine", n, requests)
			}
		})
	}
}

// Where all engines are cold and no grant is to be had, a request is refused at once when
// waiting is of no use, as not run and with a time to come back.
func TestAllEnginesAreColdAndNoneIsGranted(t *testing.T) {
	a, b := &backend{id: "a"}, &backend{id: "b"}
	g := coldGateway(t, a, b, "a", "b")
	address := gaugeSince(t, time.Now().Add(time.Minute)) // as if it granted nothing for long
	g.gauges.Address = func(*wire.ServerRecord) string { return address }
	begun := time.Now()
	_, _, err := ask(g, "1", withPrompt)
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

// A request that lacks a grant for a moment waits for it.
func TestRequestWaitsForAGrant(t *testing.T) {
	a, b := &backend{id: "a"}, &backend{id: "b"}
	g := coldGateway(t, a, b, "a", "b")
	address := gaugeSince(t, time.Now()) // has granted nothing yet, and grants the first soon
	g.gauges.Address = func(*wire.ServerRecord) string { return address }
	if _, _, err := ask(g, "1", withPrompt); err != nil {
		t.Fatal(err)
	}
}
