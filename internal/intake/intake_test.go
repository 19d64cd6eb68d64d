package intake

import (
	"bufio"
	"context"
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

// brokenBody breaks off after some bytes.
type brokenBody struct{ left int }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, errors.New("reset")
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

func TestBodies(t *testing.T) {
	limits := Limits{HeaderBytes: 200, BodyBytes: 50_000}
	unknown := func(r *http.Request) { r.ContentLength = -1 }
	tests := []struct {
		name   string
		body   io.Reader
		change func(*http.Request)
		most   int64
		want   sumachead.Reason
		size   int
	}{
		{"none", nil, nil, 100, "", 0},
		{"length told", strings.NewReader(strings.Repeat("x", 50_000)), nil, 60_000, "", 50_000},
		{"length not told", strings.NewReader(strings.Repeat("x", 50_000)), unknown, 100_000, "", 50_000},
		{"told to be too large", strings.NewReader(strings.Repeat("x", 50_001)), nil, 0, sumachead.ReasonTooLarge, 0},
		{"found to be too large", strings.NewReader(strings.Repeat("x", 50_001)), unknown, 0, sumachead.ReasonTooLarge, 0},
		{"shorter than told", strings.NewReader("x"), func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(&brokenBody{1}), 5 }, 0, sumachead.ReasonBadRequest, 0},
		{"no memory", strings.NewReader(strings.Repeat("x", 5000)), nil, 4000, sumachead.ReasonRouterFull, 0},
		{"no memory for a length not told", strings.NewReader(strings.Repeat("x", 50_000)), unknown, 40_000, sumachead.ReasonRouterFull, 0},
		{"headers too large", nil, func(r *http.Request) { r.Header.Set("X", strings.Repeat("y", 200)) }, 0, sumachead.ReasonHeadersTooLarge, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "http://h.example/a", tt.body)
			if tt.change != nil {
				tt.change(r)
			}
			m := &Memory{Most: tt.most}
			b, err := m.Read(r, limits)
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
			if left := m.held.Load(); left != 0 {
				t.Errorf("%d bytes are held after the end", left)
			}
		})
	}
}

// serve starts a server that answers all requests at once.
func serve(t *testing.T, s *Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Address = l.Addr().String()
	_ = l.Close()
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	s.Finish = time.Second
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for range 100 {
		conn, err := net.Dial("tcp", s.Address)
		if err == nil {
			if !ask(conn) { // the server counts it by now
				t.Fatal("no answer")
			}
			_ = conn.Close()
			forgotten(t, s)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the server does not listen")
}

// forgotten waits until the server counts no connection any more.
func forgotten(t *testing.T, s *Server) {
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
	t.Fatal("the first connection is not forgotten")
}

// dial opens a connection; its reads end after two seconds.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	return conn
}

// ask sends a request on a connection; false when it has no answer.
func ask(conn net.Conn) bool {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	return answered(conn)
}

// answered reads an answer and reports whether it is whole and good.
func answered(conn net.Conn) bool {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close()) == nil && resp.StatusCode == http.StatusOK
}

// closes reports whether the server closes a connection before its reads end.
func closes(conn net.Conn) bool {
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func TestConnectionsAreClosedInTime(t *testing.T) {
	const short = 100 * time.Millisecond
	tests := []struct {
		name    string
		limits  Limits
		request bool
		want    bool
	}{
		{"no request in time", Limits{Header: short}, false, true},
		{"no further request in time", Limits{Idle: short}, true, true},
		{"header time does not count after an answer", Limits{Header: short}, true, false},
		{"idle time does not count before a request", Limits{Idle: short}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Server{Limits: func() Limits { return tt.limits }}
			serve(t, s)
			conn := dial(t, s)
			if tt.request && !ask(conn) {
				t.Fatal("no answer")
			}
			_ = conn.SetReadDeadline(time.Now().Add(8 * short))
			if diff := cmp.Diff(tt.want, closes(conn)); diff != "" {
				t.Fatalf("closed (-want +got):\n%s", diff)
			}
		})
	}
}

// Limits that change are in force for connections that are open.
func TestChangedLimitsAreInForce(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Hour))
	s := &Server{Limits: func() Limits { return Limits{Idle: time.Duration(idle.Load())} }}
	serve(t, s)
	conn := dial(t, s)
	if !ask(conn) {
		t.Fatal("no answer")
	}
	idle.Store(int64(100 * time.Millisecond))
	if !ask(conn) {
		t.Fatal("no answer under the new limit")
	}
	if !closes(conn) {
		t.Fatal("the connection rests longer than the new limit allows")
	}
}

// awaitResting waits until the server knows that a connection rests: it learns that
// after its caller has read the answer.
func awaitResting(t *testing.T, s *Server) {
	t.Helper()
	rests := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			if !c.restingSince.IsZero() {
				return true
			}
		}
		return false
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if !loop.Until(ctx, time.Millisecond, rests) {
		t.Fatal("no connection rests after its answer")
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	s := &Server{MaxConns: 2, Limits: func() Limits { return Limits{} }}
	serve(t, s)
	resting, busy := dial(t, s), dial(t, s)
	if !ask(resting) {
		t.Fatal("no answer")
	}
	if _, err := io.WriteString(busy, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitResting(t, s)
	newest := dial(t, s)
	if !ask(newest) {
		t.Error("a new connection has no answer, though another one rests")
	}
	if !closes(resting) {
		t.Error("the resting connection stays")
	}
	if _, err := io.WriteString(busy, "Host: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if !answered(busy) {
		t.Error("the busy connection was not served")
	}
}
