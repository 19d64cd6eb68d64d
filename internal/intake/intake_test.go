package intake

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/internal/loop"
)

// truncatedBody returns an error after some bytes.
type truncatedBody struct{ left int }

func (b *truncatedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, errors.New("reset")
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

func TestBodies(t *testing.T) {
	limits := Limits{HeaderBytes: 200, BodyBytes: 50_000}
	unknownLength := func(r *http.Request) { r.ContentLength = -1 }
	tests := []struct {
		name     string
		body     io.Reader
		change   func(*http.Request)
		maxBytes int64
		want     sumachead.Reason
		size     int
	}{
		{"none", nil, nil, 100, "", 0},
		{"known length", strings.NewReader(strings.Repeat("x", 50_000)), nil, 60_000, "", 50_000},
		{"unknown length", strings.NewReader(strings.Repeat("x", 50_000)), unknownLength, 100_000, "", 50_000},
		{"too large by its length", strings.NewReader(strings.Repeat("x", 50_001)), nil, 0, sumachead.ReasonTooLarge, 0},
		{"too large, of unknown length", strings.NewReader(strings.Repeat("x", 50_001)), unknownLength, 0, sumachead.ReasonTooLarge, 0},
		{"shorter than its length", strings.NewReader("x"), func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(&truncatedBody{1}), 5 }, 0, sumachead.ReasonBadRequest, 0},
		{"no memory", strings.NewReader(strings.Repeat("x", 5000)), nil, 4000, sumachead.ReasonRouterFull, 0},
		{"no memory for an unknown length", strings.NewReader(strings.Repeat("x", 50_000)), unknownLength, 40_000, sumachead.ReasonRouterFull, 0},
		{"headers too large", nil, func(r *http.Request) { r.Header.Set("X", strings.Repeat("y", 200)) }, 0, sumachead.ReasonHeadersTooLarge, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "http://h.example/a", tt.body)
			if tt.change != nil {
				tt.change(r)
			}
			m := &BodyMemory{MaxBytes: tt.maxBytes}
			b, err := m.Read(httptest.NewRecorder(), r, limits)
			got := sumachead.Reason("")
			if err != nil {
				f := sumachead.AsRefusal(err)
				got = f.Reason
				if f.Verdict != sumachead.NotRun {
					t.Errorf("verdict %s", f.Verdict)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Fatalf("reason (-want +got):\n%s", diff)
			}
			if b != nil {
				if diff := cmp.Diff(tt.size, len(b.Data)); diff != "" {
					t.Errorf("size (-want +got):\n%s", diff)
				}
				b.Release()
			}
			if left := m.reserved.Load(); left != 0 {
				t.Errorf("%d bytes are still reserved after Release", left)
			}
		})
	}
}

// Guards against callers that announce long bodies, or headers without an end, and keep memory and
// connections for them.
func TestUnfinishedRequestsTakeLittle(t *testing.T) {
	const timeout = 200 * time.Millisecond
	m := &BodyMemory{MaxBytes: 1 << 20, Timeout: timeout}
	refused := make(chan sumachead.Reason, 100)
	s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := m.Read(w, r, Limits{BodyBytes: 4 << 20})
		if err != nil {
			w.Header().Set("Connection", "close")
			refused <- sumachead.AsRefusal(err).Reason
			return
		}
		b.Release()
	})}
	startServer(t, s)
	const callers = 30
	for range callers {
		if _, err := io.WriteString(dial(t, s), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\nx"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(timeout / 4)
	if n := m.reserved.Load(); n == 0 || n > m.MaxBytes {
		t.Errorf("%d bytes are reserved", n)
	}
	for range callers {
		select {
		case why := <-refused:
			if why != sumachead.ReasonBadRequest {
				t.Errorf("refused with %s", why)
			}
		case <-time.After(10 * timeout):
			t.Fatal("a body that does not arrive is waited for")
		}
	}
	c := dial(t, s)
	n := 0
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n")
	for ; err == nil && n < 64<<20; n++ {
		_, err = io.WriteString(c, "X-Next: v\r\n")
	}
	if err == nil {
		t.Error("headers without an end are read on")
	}
}

// startServer starts a server that responds to all requests immediately, unless it has a handler. It is stopped by stop
// or with the test, and ended is closed when it has ended.
func startServer(t *testing.T, s *Server) (stop func(), ended <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Address = l.Addr().String()
	_ = l.Close()
	if s.Handler == nil {
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	}
	s.DrainDeadline = func() time.Time { return time.Now().Add(time.Second) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for range 100 {
		conn, err := dialServer(s)
		if err == nil {
			if !sendRequest(conn) { // the server has registered the connection by now
				t.Fatal("no response")
			}
			_ = conn.Close()
			awaitNoConns(t, s)
			return cancel, done
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the server is not listening")
	return nil, nil
}

// awaitNoConns waits until the server has no open connections.
func awaitNoConns(t *testing.T, s *Server) {
	t.Helper()
	for range 200 {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the first connection is still registered")
}

// dial opens a connection with a read deadline of two seconds.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := dialServer(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	return conn
}

// dialServer opens a connection.
func dialServer(s *Server) (net.Conn, error) {
	if s.TLS != nil {
		return tls.Dial("tcp", s.Address, &tls.Config{InsecureSkipVerify: true})
	}
	return net.Dial("tcp", s.Address)
}

// sendRequest sends a request on a connection and reports whether it succeeds.
func sendRequest(conn net.Conn) bool {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	return readResponse(conn)
}

// readResponse reads a response and reports whether it is complete and successful.
func readResponse(conn net.Conn) bool {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close()) == nil && resp.StatusCode == http.StatusOK
}

// isClosed reports whether the server closes a connection before its read deadline.
func isClosed(conn net.Conn) bool {
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) // the latter without a close_notify of TLS
}

func TestConnectionsAreClosedInTime(t *testing.T) {
	const timeout = 100 * time.Millisecond
	tests := []struct {
		name    string
		limits  Limits
		request bool
		want    bool
	}{
		{"no request in time", Limits{HeaderTimeout: timeout}, false, true},
		{"no further request in time", Limits{IdleTimeout: timeout}, true, true},
		{"no header timeout after a response", Limits{HeaderTimeout: timeout}, true, false},
		{"no idle timeout before a request", Limits{IdleTimeout: timeout}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Server{Limits: func() Limits { return tt.limits }}
			startServer(t, s)
			conn := dial(t, s)
			if tt.request && !sendRequest(conn) {
				t.Fatal("no response")
			}
			_ = conn.SetReadDeadline(time.Now().Add(8 * timeout))
			if diff := cmp.Diff(tt.want, isClosed(conn)); diff != "" {
				t.Fatalf("closed (-want +got):\n%s", diff)
			}
		})
	}
}

// Changed limits also apply to connections that are already open.
func TestChangedLimitsAreInForce(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Hour))
	s := &Server{Limits: func() Limits { return Limits{IdleTimeout: time.Duration(idle.Load())} }}
	startServer(t, s)
	conn := dial(t, s)
	if !sendRequest(conn) {
		t.Fatal("no response")
	}
	idle.Store(int64(100 * time.Millisecond))
	if !sendRequest(conn) {
		t.Fatal("no response under the new limit")
	}
	if !isClosed(conn) {
		t.Fatal("the connection is idle longer than the new limit allows")
	}
}

// awaitIdle waits until the server has marked a connection as idle, which happens after
// the caller has read the response.
func awaitIdle(t *testing.T, s *Server) {
	t.Helper()
	hasIdle := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if !c.idleSince.IsZero() {
				return true
			}
		}
		return false
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if !loop.Until(ctx, time.Millisecond, hasIdle) {
		t.Fatal("no connection is idle after its response")
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	s := &Server{MaxConns: 2, Limits: func() Limits { return Limits{} }}
	startServer(t, s)
	idle, busy := dial(t, s), dial(t, s)
	if !sendRequest(idle) {
		t.Fatal("no response")
	}
	if _, err := io.WriteString(busy, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitIdle(t, s)
	newest := dial(t, s)
	if !sendRequest(newest) {
		t.Error("a new connection got no response though another one is idle")
	}
	if !isClosed(idle) {
		t.Error("the idle connection was not closed")
	}
	if _, err := io.WriteString(busy, "Host: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if !readResponse(busy) {
		t.Error("the busy connection was not served")
	}
}
