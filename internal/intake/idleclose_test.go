package intake

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against the close of an idle connection whose next request the server has just read and handles.
func TestRequestsThatCrossTheIdleTimeoutAreNotHandledWithoutAnAnswer(t *testing.T) {
	const (
		idle    = 100 * time.Millisecond
		callers = 1000
		// spread is the range of moments around the timeout at which the second requests are sent.
		spread = 2 * time.Millisecond
	)
	var handled, answered atomic.Int64
	s := &Server{Limits: func() Limits { return Limits{IdleTimeout: idle} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			handled.Add(1)
		}
		_, _ = io.WriteString(w, "ok")
	})}
	startServer(t, s)
	var done sync.WaitGroup
	for i := range callers {
		done.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Microsecond)
			conn := dial(t, s)
			if !sendRequest(conn) {
				t.Error("no response to the first request")
				return
			}
			time.Sleep(idle - spread/2 + spread*time.Duration(i%40)/40)
			if _, err := io.WriteString(conn, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return
			}
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				answered.Add(1)
				_ = resp.Body.Close()
			}
		})
	}
	done.Wait()
	if diff := cmp.Diff(answered.Load(), handled.Load()); diff != "" {
		t.Errorf("requests handled, of those answered (-want +got):\n%s", diff)
	}
	if answered.Load() == 0 {
		t.Error("no second request was answered")
	}
}

// Guards against callers that use connections until the moment at which they are closed.
func TestCallersAreToldAShorterIdleTimeout(t *testing.T) {
	tests := []struct {
		name string
		idle time.Duration
		want string
	}{
		{"whole seconds", 15 * time.Second, "timeout=14"},
		{"fraction of a second left", 2700 * time.Millisecond, "timeout=2"},
		{"too short to be told", 1400 * time.Millisecond, ""},
		{"default", 0, "timeout=74"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Server{Limits: func() Limits { return Limits{IdleTimeout: tt.idle} }}
			startServer(t, s)
			conn := dial(t, s)
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			if diff := cmp.Diff(tt.want, resp.Header.Get("Keep-Alive")); diff != "" {
				t.Errorf("Keep-Alive (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against connections that are closed by an idle timeout which no longer holds.
func TestRaisedIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	const timeout = 100 * time.Millisecond
	var idle atomic.Int64
	idle.Store(int64(timeout))
	s := &Server{Limits: func() Limits { return Limits{IdleTimeout: time.Duration(idle.Load())} }}
	startServer(t, s)
	conn := dial(t, s)
	if !sendRequest(conn) {
		t.Fatal("no response")
	}
	awaitIdle(t, s)
	idle.Store(int64(time.Hour))
	time.Sleep(3 * timeout)
	if !sendRequest(conn) {
		t.Fatal("no response on a connection that the new limit allows")
	}
}

// Guards against counting connections whose request never arrived as requests that were not answered.
func TestOnlyWholeHeadsAreLateRequests(t *testing.T) {
	var closed, late atomic.Int64
	s := &Server{
		Limits:  func() Limits { return Limits{HeaderTimeout: 50 * time.Millisecond} },
		OnClose: func(CloseReason) { closed.Add(1) }, OnLateRequest: func(CloseReason) { late.Add(1) },
	}
	startServer(t, s)
	conn := dial(t, s)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	if !isClosed(conn) {
		t.Fatal("the connection was not closed")
	}
	awaitNoConns(t, s)
	time.Sleep(20 * time.Millisecond)
	if diff := cmp.Diff([]int64{1, 0}, []int64{closed.Load(), late.Load()}); diff != "" {
		t.Errorf("connections closed, late requests (-want +got):\n%s", diff)
	}
}

// Guards against connections that are closed before the time that their callers were told.
func TestLoweredIdleTimeoutKeepsWhatCallersWereTold(t *testing.T) {
	tests := []struct {
		name string
		// during is set if the limit is lowered while a response is under way, and otherwise after it.
		during bool
	}{{"idle", false}, {"in use", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var idle atomic.Int64
			idle.Store(int64(2 * time.Second))
			lower := func() { idle.Store(int64(50 * time.Millisecond)) }
			s := &Server{Limits: func() Limits { return Limits{IdleTimeout: time.Duration(idle.Load())} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/lower" && tt.during {
					lower()
				}
				_, _ = io.WriteString(w, "ok")
			})}
			startServer(t, s)
			conn := dial(t, s)
			if _, err := io.WriteString(conn, "GET /lower HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if diff := cmp.Diff("timeout=1", resp.Header.Get("Keep-Alive")); diff != "" {
				t.Errorf("Keep-Alive (-want +got):\n%s", diff)
			}
			awaitIdle(t, s)
			if !tt.during {
				lower()
			}
			time.Sleep(500 * time.Millisecond)
			if !sendRequest(conn) {
				t.Error("the connection was closed before the time that its caller was told")
			}
		})
	}
}
