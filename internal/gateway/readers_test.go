package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// A stream that a server cuts off is sent on to another one; where the caller holds it up, since it
// does not read, it is the caller's doing: nobody makes the same events again, and the server is
// not held to have failed.
func TestSlowReaders(t *testing.T) {
	tests := []struct {
		name  string
		holds time.Duration
		// runs is how many servers are sent the request, and doubted whether the first one is.
		runs    int32
		doubted bool
	}{
		{"a caller that reads", 0, 2, true},
		{"a caller that does not", heldLong + 50*time.Millisecond, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := &backend{id: "a"}, &backend{id: "b"}
			cut := events(1, 3, false)
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_STREAM, true, map[string]string{"a": a.listen(t, cut), "b": b.listen(t, cut)})
			longer := proto.CloneOf(g.client.View().Catalog)
			longer.Routes[0].TimeoutMillis = 10_000
			g.client.Adopt(&wire.Declaration{Number: 2, Catalog: longer})
			w := &recorder{holds: tt.holds}
			r := &sumachead.CallerRequest{ID: "1", Method: http.MethodPost, Host: "h", Path: "/r/x", Header: http.Header{}, Key: "k"}
			started, err := g.Serve(context.Background(), r, w)
			if err == nil || !started {
				t.Fatalf("a stream that was cut off ended as whole (started %v)", started)
			}
			if n := a.runs.Load() + b.runs.Load(); n != tt.runs {
				t.Errorf("%d servers were sent the request, want %d", n, tt.runs)
			}
			free := g.chooser.AvailableAt(g.servers.Servers("pool", nil), time.Now())
			if doubted := free.After(time.Now()); doubted != tt.doubted {
				t.Errorf("servers are doubted: %v", doubted)
			}
		})
	}
}

// What a caller does not take is given up some seconds after its time, so that it does not keep a
// place, a connection and money for as long as it likes.
func TestAnswersWaitForTheirCallersForAWhile(t *testing.T) {
	a := &backend{id: "a"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_REPEATABLE, false, map[string]string{"a": a.listen(t, answerWith(http.StatusOK, "", "x"))})
	begun := time.Now()
	w, _, err := ask(g, "1", func(r *sumachead.CallerRequest) { r.Deadline = begun.Add(time.Second) })
	if err != nil {
		t.Fatal(err)
	}
	if left := w.until.Sub(begun); left < unreadMost || left > time.Second+unreadMost {
		t.Errorf("it may be taken for %v", left)
	}
}
