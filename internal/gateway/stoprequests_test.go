package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/rpc"
)

// answerAfter returns a server that responds after a delay.
func answerAfter(delay time.Duration, serve func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		time.Sleep(delay)
		serve(c, r)
	}
}

// Guards against requests that a planned stop passes on too late, cuts without an answer or ends too early.
func TestRequestsEndByTheDeadlinesOfAStop(t *testing.T) {
	const (
		single     = wire.RouteKind_ROUTE_KIND_SINGLE
		repeatable = wire.RouteKind_ROUTE_KIND_REPEATABLE
		// accept, send and answer are when the deadlines are, from the beginning of the stop.
		accept, send, answer = 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond
		ok                   = sumachead.Verdict("")
	)
	served, notRun := respondWith(200, "", "ok"), respondWith(503, "X-Not-Run: 1\r\n", "")
	silent := answerAfter(10*time.Second, closeConnection)
	tests := []struct {
		name  string
		kind  wire.RouteKind
		serve func(net.Conn, *http.Request)
		// at is when the request arrives, and timeout how long its caller waits.
		at, timeout time.Duration
		wantVerdict sumachead.Verdict
		wantRuns    int32
		// from and to are within which the request ends.
		from, to time.Duration
	}{
		{"in flight and answered in time", single, answerAfter(300*time.Millisecond, served), 0, time.Second, ok, 1, 300 * time.Millisecond, answer},
		{"in flight at a silent server", single, silent, 0, time.Second, sumachead.MayHaveRun, 1, answer, answer + 100*time.Millisecond},
		{"own deadline first", single, silent, 0, 150 * time.Millisecond, sumachead.MayHaveRun, 1, 150 * time.Millisecond, 250 * time.Millisecond},
		{"sent late with time enough", single, served, 150 * time.Millisecond, time.Second, ok, 1, 150 * time.Millisecond, 250 * time.Millisecond},
		{"too late", single, served, 250 * time.Millisecond, time.Second, sumachead.NotRun, 0, 250 * time.Millisecond, 350 * time.Millisecond},
		{"late, with a deadline before the last answers", single, served, 250 * time.Millisecond, 100 * time.Millisecond, ok, 1, 250 * time.Millisecond, 350 * time.Millisecond},
		{"rejected too late for another server", single, answerAfter(250*time.Millisecond, notRun), 0, time.Second, sumachead.NotRun, 1, 250 * time.Millisecond, 350 * time.Millisecond},
		{"failed too late for another server", repeatable, answerAfter(250*time.Millisecond, closeConnection), 0, time.Second, sumachead.MayHaveRun, 1, 250 * time.Millisecond, 350 * time.Millisecond},
		{"rejected early enough for another server", single, answerAfter(120*time.Millisecond, notRun), 0, time.Second, sumachead.NotRun, 2, 240 * time.Millisecond, 340 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := &backend{id: "a"}, &backend{id: "b"}
			g := newGateway(t, tt.kind, false, map[string]string{"a": a.listen(t, tt.serve), "b": b.listen(t, tt.serve)})
			begun := time.Now()
			go g.Stop(t.Context(), StopDeadlines{begun.Add(accept), begun.Add(send), begun.Add(answer), begun.Add(answer)})
			time.Sleep(tt.at)
			_, _, err := sendRequest(g, "1", func(r *sumachead.CallerRequest) { r.Deadline = time.Now().Add(tt.timeout) })
			took := time.Since(begun)
			got := ok
			if err != nil {
				f := refusalOf(t, err)
				got = f.Verdict
				if f.Verdict == sumachead.NotRun && f.Reason == sumachead.ReasonStopping && f.RetryAt.After(time.Now()) {
					t.Errorf("the caller is told to wait until %v", f.RetryAt)
				}
			}
			if diff := cmp.Diff(tt.wantVerdict, got); diff != "" {
				t.Errorf("verdict of %v (-want +got):\n%s", err, diff)
			}
			if diff := cmp.Diff(tt.wantRuns, a.runs.Load()+b.runs.Load()); diff != "" {
				t.Errorf("arrivals at servers (-want +got):\n%s", diff)
			}
			if took < tt.from || took > tt.to {
				t.Errorf("ended after %v, want between %v and %v", took, tt.from, tt.to)
			}
		})
	}
}

// Guards against requests that wait for a server until there is no time left for them.
func TestWaitingRequestsAreRefusedDuringAStop(t *testing.T) {
	const send = 150 * time.Millisecond
	a := &backend{id: "a"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": a.listen(t, refuseWithBackoff(400*time.Millisecond))})
	if _, _, err := sendRequest(g, "1", nil); refusalOf(t, err).Reason != sumachead.ReasonResting {
		t.Fatalf("the first request: %v", err)
	}
	begun := time.Now()
	go g.Stop(t.Context(), StopDeadlines{begun.Add(send / 2), begun.Add(send), begun.Add(2 * send), begun.Add(2 * send)})
	_, _, err := sendRequest(g, "2", func(r *sumachead.CallerRequest) { r.Deadline = begun.Add(10 * time.Second) })
	f := refusalOf(t, err)
	if took := time.Since(begun); f.Reason != sumachead.ReasonStopping || f.Verdict != sumachead.NotRun || took < send || took > send+100*time.Millisecond {
		t.Errorf("after %v: %v", took, f)
	}
	if n := a.runs.Load(); n != 1 {
		t.Errorf("%d requests reached the server", n)
	}
}

// Guards against a started stream that a stop ends before its last deadline or leaves open after it.
func TestStartedStreamsLastUntilTheEndOfAStop(t *testing.T) {
	const answer = 300 * time.Millisecond
	var ended atomic.Bool
	serve := func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Request"))
		for i := 1; ; i++ {
			e := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				ended.Store(true)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	b := &backend{id: "a"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_STREAM, true, map[string]string{"a": b.listen(t, serve)})
	begun := time.Now()
	go g.Stop(t.Context(), StopDeadlines{begun.Add(answer / 3), begun.Add(answer / 2), begun.Add(answer), begun.Add(answer)})
	_, started, err := sendRequest(g, "1", nil)
	took := time.Since(begun)
	if err == nil || !started {
		t.Fatalf("started %v, error %v; want an incomplete stream", started, err)
	}
	if f := refusalOf(t, err); f.Verdict == sumachead.NotRun {
		t.Errorf("verdict %s of a stream that has run", f.Verdict)
	}
	if took < answer || took > answer+100*time.Millisecond {
		t.Errorf("ended after %v, want %v", took, answer)
	}
	for range 100 {
		if ended.Load() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the server still sends the stream")
}

// Guards against a caller that disconnects during a stop and is taken for one that the stop has ended.
func TestCallerThatLeavesDuringAStopIsNotRefused(t *testing.T) {
	b := &backend{id: "a"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": b.listen(t, func(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) })})
	now := time.Now()
	go g.Stop(t.Context(), StopDeadlines{now.Add(time.Second), now.Add(time.Second), now.Add(time.Second), now.Add(time.Second)})
	ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer leave()
	r := &sumachead.CallerRequest{ID: "1", Method: http.MethodPost, Host: "h", Path: "/r/x", Header: http.Header{}, Key: "k"}
	_, err := g.Serve(ctx, r, &recorder{})
	if diff := cmp.Diff(sumachead.ReasonInterrupted, refusalOf(t, err).Reason); diff != "" {
		t.Errorf("reason (-want +got):\n%s", diff)
	}
}

// Guards against a request that is rejected late in a stop and then waits for a server until the end.
func TestRequestsRejectedLateInAStopAreRefusedAtOnce(t *testing.T) {
	const send, answer = 100 * time.Millisecond, 600 * time.Millisecond
	a, b := &backend{id: "a"}, &backend{id: "b"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{
		"a": a.listen(t, answerAfter(2*send, respondWith(503, "X-Not-Run: 1\r\n", ""))), "b": b.listen(t, respondWith(200, "", "ok")),
	})
	g.backoffs.Set("b", 5*send)
	begun := time.Now()
	go g.Stop(t.Context(), StopDeadlines{begun.Add(send / 2), begun.Add(send), begun.Add(answer), begun.Add(answer)})
	_, _, err := sendRequest(g, "1", func(r *sumachead.CallerRequest) { r.Deadline = begun.Add(10 * time.Second) })
	f := refusalOf(t, err)
	if took := time.Since(begun); f.Verdict != sumachead.NotRun || took < 2*send || took > 3*send {
		t.Errorf("after %v: %v", took, f)
	}
	if diff := cmp.Diff([]int32{1, 0}, []int32{a.runs.Load(), b.runs.Load()}); diff != "" {
		t.Errorf("requests at the servers (-want +got):\n%s", diff)
	}
}

// Guards against a stop that waits, or requests without a verdict, while no configuration is known.
func TestStopWithoutAConfiguration(t *testing.T) {
	g := &Gateway{
		Node: "router-1", Hall: "hall-1", Seeds: func() []string { return []string{"127.0.0.1:1"} }, Heartbeat: testHeartbeat,
		Dialect: testDialect{}, Pool: &rpc.Pool{}, Log: hclog.NewNullLogger(),
	}
	g.Init()
	running, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(running) }()
	begun := time.Now()
	const accept = 100 * time.Millisecond
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		g.Stop(running, StopDeadlines{begun.Add(accept), begun.Add(2 * accept), begun.Add(3 * accept), begun.Add(3 * accept)})
	}()
	for i := range 5 {
		_, started, err := sendRequest(g, fmt.Sprint(i), nil)
		if f := refusalOf(t, err); started || f.Verdict != sumachead.NotRun || f.Reason.HTTPStatus() != http.StatusServiceUnavailable {
			t.Errorf("request %d: started %v, %v", i, started, f)
		}
		time.Sleep(accept / 2)
	}
	<-stopped
	if g.Accepting().Err() == nil {
		t.Error("requests are still accepted")
	}
	end()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Error("the gateway does not end")
	}
}
