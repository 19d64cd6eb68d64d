package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// silentGateway returns a gateway that knows one server, which has sent no heartbeat since
// everything restarted.
func silentGateway(t *testing.T, serve func(net.Conn, *http.Request)) (*Gateway, *backend) {
	t.Helper()
	a := &backend{id: "a"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, nil)
	g.Heartbeat = testHeartbeat / 2 // less than the route's timeout
	record := &wire.ServerRecord{Id: "a", Service: "pool", Address: a.listen(t, serve), Hall: "hall-1", Slots: 4}
	g.servers.Restore([]*wire.ServerRecord{record}, time.Now())
	return g, a
}

// healthAs responds to health checks as an incarnation of a server, and to requests with success.
func healthAs(incarnation string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/health" {
			respondWith(200, "X-Server: "+incarnation+"\r\n", "")(c, r)
			return
		}
		respondWith(200, "", "ok")(c, r)
	}
}

func TestSilentServersAreIdentifiedFirst(t *testing.T) {
	t.Run("the same incarnation", func(t *testing.T) {
		g, _ := silentGateway(t, healthAs("a"))
		if _, _, err := sendRequest(g, "1", nil); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("another incarnation, until a server sends a heartbeat", func(t *testing.T) {
		g, a := silentGateway(t, healthAs("b"))
		b := &backend{id: "b"}
		address := b.listen(t, healthAs("b"))
		time.AfterFunc(testHeartbeat/4, func() {
			g.servers.Apply(&wire.FollowReply{Servers: []*wire.ServerRecord{
				{Id: "b", Service: "pool", Address: address, Hall: "hall-1", Slots: 4, Sequence: 1},
			}}, time.Now())
		})
		if _, _, err := sendRequest(g, "1", nil); err != nil {
			t.Fatal(err)
		}
		if a.last.Load() != nil && a.last.Load().URL.Path != "/health" {
			t.Error("a request was sent to a server that has been replaced")
		}
	})
	t.Run("no server responds as known", func(t *testing.T) {
		g, a := silentGateway(t, healthAs("b"))
		long := func(r *sumachead.CallerRequest) { r.Deadline = time.Now().Add(10 * time.Second) }
		begun := time.Now()
		_, _, err := sendRequest(g, "1", long)
		f := refusalOf(t, err)
		if f.Verdict != sumachead.NotRun || a.last.Load().URL.Path != "/health" {
			t.Fatalf("got %v", f)
		}
		if d := time.Since(begun); d > 2*testHeartbeat {
			t.Errorf("waited for %v", d)
		}
		begun = time.Now()
		_, _, err = sendRequest(g, "2", long)
		if f := refusalOf(t, err); f.Reason != sumachead.ReasonNoServer || time.Since(begun) > testHeartbeat/4 {
			t.Errorf("the next request: %v after %v", f, time.Since(begun))
		}
	})
}
