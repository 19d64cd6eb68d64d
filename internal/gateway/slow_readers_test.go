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

// A stream that a server cuts off is resumed at another one. If the caller blocks it because it
// does not read, the cut is the caller's fault: no server generates the same events again, and the
// server does not count as failed.
func TestSlowReaders(t *testing.T) {
	tests := []struct {
		name       string
		writeDelay time.Duration
		// runs is how many servers receive the request, and ejected whether the first one is
		// ejected.
		runs    int32
		ejected bool
	}{
		{"a caller that reads", 0, 2, true},
		{"a caller that does not read", slowReaderThreshold + 50*time.Millisecond, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := &backend{id: "a"}, &backend{id: "b"}
			cut := events(1, 3, false)
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_STREAM, true, map[string]string{"a": a.listen(t, cut), "b": b.listen(t, cut)})
			longer := proto.CloneOf(g.client.View().Catalog)
			longer.Routes[0].TimeoutMillis = 10_000
			g.client.ApplyDeclaration(&wire.Declaration{Number: 2, Catalog: longer})
			w := &recorder{writeDelay: tt.writeDelay}
			r := &sumachead.CallerRequest{ID: "1", Method: http.MethodPost, Host: "h", Path: "/r/x", Header: http.Header{}, Key: "k"}
			started, err := g.Serve(context.Background(), r, w)
			if err == nil || !started {
				t.Fatalf("a stream that was cut off ended as complete (started %v)", started)
			}
			if n := a.runs.Load() + b.runs.Load(); n != tt.runs {
				t.Errorf("%d servers received the request, want %d", n, tt.runs)
			}
			free := g.scheduler.AvailableAt(g.servers.Servers("pool", nil), time.Now())
			if ejected := free.After(time.Now()); ejected != tt.ejected {
				t.Errorf("servers are ejected: %v", ejected)
			}
		})
	}
}

// A response that the caller does not read is dropped some seconds after its deadline, so that it
// does not hold a slot, a connection and escrow for as long as the caller likes.
func TestUnreadResponsesAreDropped(t *testing.T) {
	a := &backend{id: "a"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_REPEATABLE, false, map[string]string{"a": a.listen(t, respondWith(http.StatusOK, "", "x"))})
	begun := time.Now()
	w, _, err := sendRequest(g, "1", func(r *sumachead.CallerRequest) { r.Deadline = begun.Add(time.Second) })
	if err != nil {
		t.Fatal(err)
	}
	if left := w.writeDeadline.Sub(begun); left < maxReadDelay || left > time.Second+maxReadDelay {
		t.Errorf("the caller may read the response for %v", left)
	}
}
