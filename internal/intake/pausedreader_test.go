package intake

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"
)

// readerPause is longer than the user timeout of connections between processes.
const readerPause = 4 * time.Second

// Guards against a reset of connections whose callers pause reading for a few seconds.
func TestCallerThatPausesGetsTheWholeResponse(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 512<<10)
	tests := []struct {
		name  string
		write func(http.ResponseWriter)
	}{
		{"the response fits into the socket's buffer", func(w http.ResponseWriter) { _, _ = w.Write(body[:512<<10]) }},
		{"the response does not fit", func(w http.ResponseWriter) { _, _ = w.Write(body) }},
		{"a stream", func(w http.ResponseWriter) {
			const event = 4 << 10
			for rest := body; len(rest) > 0; rest = rest[event:] {
				_, _ = w.Write(rest[:event])
				_ = http.NewResponseController(w).Flush()
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &Server{Limits: func() Limits { return Limits{} }}
			s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/long" {
					tt.write(w)
				}
			})
			startServer(t, s)
			conn := dial(t, s)
			_ = conn.SetReadDeadline(time.Now().Add(10 * readerPause))
			if _, err := io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			time.Sleep(readerPause)
			got, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatalf("read %d bytes: %v", len(got), err)
			}
			if !bytes.Equal(got, body[:len(got)]) {
				t.Error("the response differs from what was sent")
			}
			if !sendRequest(conn) {
				t.Error("the connection serves no further request")
			}
		})
	}
}

// Guards against writes that block for ever on callers who read nothing.
func TestWriteWithoutDeadlineToStalledCallerFails(t *testing.T) {
	const idleTimeout = 500 * time.Millisecond
	failed := make(chan error, 1)
	s := &Server{Limits: func() Limits { return Limits{IdleTimeout: idleTimeout} }}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, err := w.Write(make([]byte, 64<<20))
			failed <- err
		}
	})
	startServer(t, s)
	if _, err := io.WriteString(dial(t, s), "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-failed:
		if err == nil {
			t.Error("the response was written without a reader")
		}
	case <-time.After(10 * idleTimeout):
		t.Error("the write still blocks")
	}
}
