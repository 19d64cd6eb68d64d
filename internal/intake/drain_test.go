package intake

import (
	"bufio"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against requests that a stopping server reads and drops, and against unused connections that it leaves open.
func TestStoppingServerAnswersWhatItReads(t *testing.T) {
	const firstHalf, secondHalf = "GET /slow HTTP/1.1\r\n", "Host: h\r\n\r\n"
	tests := []struct {
		name string
		// before and after are sent before and after the server is told to stop.
		before, after string
		// idle is set if a request is sent and answered first.
		idle bool
		// tls is set if the connection uses TLS.
		tls bool
		// wantAnswer is set if the request is to be answered, and otherwise the connection closed at once.
		wantAnswer bool
	}{
		{name: "unused"},
		{name: "idle", idle: true},
		{name: "first request in flight", before: firstHalf + secondHalf, wantAnswer: true},
		{name: "first request half sent", before: firstHalf, after: secondHalf, wantAnswer: true},
		{name: "next request half sent", idle: true, before: firstHalf, after: secondHalf, wantAnswer: true},
		{name: "idle, TLS", idle: true, tls: true},
		{name: "first request half sent, TLS", before: firstHalf, after: secondHalf, tls: true, wantAnswer: true},
		{name: "next request half sent, TLS", idle: true, before: firstHalf, after: secondHalf, tls: true, wantAnswer: true},
		{name: "first byte sent", before: firstHalf[:1], after: firstHalf[1:] + secondHalf, wantAnswer: true},
	}
	h := httptest.NewTLSServer(nil)
	defer h.Close()
	certificates := h.TLS.Certificates
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					<-release
				}
				_, _ = io.WriteString(w, "ok")
			})}
			if tt.tls {
				s.TLS = &tls.Config{Certificates: certificates}
			}
			stop, _ := startServer(t, s)
			// A request in flight keeps the server from ending.
			other, conn := dial(t, s), dial(t, s)
			if _, err := io.WriteString(other, firstHalf+secondHalf); err != nil {
				t.Fatal(err)
			}
			if tt.idle {
				if !sendRequest(conn) {
					t.Fatal("no response before the stop")
				}
				awaitIdle(t, s)
			}
			if _, err := io.WriteString(conn, tt.before); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			stop()
			time.Sleep(20 * time.Millisecond)
			if !tt.wantAnswer {
				_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
				if !isClosed(conn) {
					t.Error("the connection was not closed")
				}
				close(release)
				return
			}
			if _, err := io.WriteString(conn, tt.after); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(20*time.Millisecond, func() { close(release) })
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			_ = resp.Body.Close()
			if tt.after != "" && !resp.Close {
				t.Error("the answer does not say that the connection is closed")
			}
			if !isClosed(conn) {
				t.Error("the connection was not closed after the answer")
			}
		})
	}
}

// Guards against a stop that waits for a connection that is idle again.
func TestStoppingServerEndsOnceItsRequestsAreAnswered(t *testing.T) {
	started := make(chan struct{})
	s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			_ = http.NewResponseController(w).Flush() // the head is sent before the stop
			close(started)
			time.Sleep(50 * time.Millisecond)
		}
	})}
	stop, ended := startServer(t, s)
	conn := dial(t, s)
	if _, err := io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	stop()
	select {
	case <-ended:
	case <-time.After(900 * time.Millisecond):
		t.Error("the server waits until its drain deadline")
	}
}
