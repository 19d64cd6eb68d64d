package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// addService declares a second service with a route /s/ of its own and two servers at one address.
func addService(t *testing.T, g *Gateway, name, address string) {
	t.Helper()
	old := g.client.View()
	c := proto.Clone(old.Catalog).(*wire.Catalog)
	c.Services = append(c.Services, &wire.Service{Name: name, MaxConns: 100, HealthPath: "/health"})
	c.Routes = append(c.Routes, &wire.Route{
		Name: name, Host: "h", PathPrefix: "/s/", Kind: wire.RouteKind_ROUTE_KIND_REPEATABLE, TimeoutMillis: 1000, MaxAttempts: 2,
		Shares: []*wire.ServiceShare{{Service: name, Weight: 1}},
	})
	g.client.ApplyDeclaration(&wire.Declaration{Number: old.Number + 1, Catalog: c})
	for _, id := range []string{name + "-1", name + "-2"} {
		if _, err := g.servers.ApplyHeartbeat(&wire.ServerRecord{Id: id, Service: name, Address: address, Hall: "hall-1", Slots: 4, Sequence: 1}, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against retries of a failing service that are paid for by the requests for another one.
func TestRetriesOfOneServiceAreNotPaidByAnother(t *testing.T) {
	healthy := &backend{id: "i-1"}
	address := healthy.listen(t, respondWith(200, "X-Seal: i-1\r\n", "whole"))
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_REPEATABLE, false, map[string]string{"i-1": address})
	failing := &backend{}
	addService(t, g, "small", failing.listen(t, respondWith(503, "X-Not-Run: 1\r\n", "")))
	const requests, others = 200, 9
	for i := range requests {
		for j := range others {
			if _, _, err := sendRequest(g, fmt.Sprintf("q%d.%d", i, j), nil); err != nil {
				t.Fatal(err)
			}
		}
		_, _, _ = sendRequest(g, fmt.Sprintf("s%d", i), func(r *sumachead.CallerRequest) { r.Path = "/s/x" })
	}
	allowed := int(requests*g.RetryRatio + g.RetryExtra)
	if got := int(failing.runs.Load()) - requests; got > allowed {
		t.Errorf("%d arrivals beyond the first of %d requests for the service, %d allowed", got, requests, allowed)
	}
}
