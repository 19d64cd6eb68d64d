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

// Guards against requests that a stopping server has read behind the previous one, and drops.
func TestStoppingServerAnswersRequestsReadAhead(t *testing.T) {
	h := httptest.NewTLSServer(nil)
	defer h.Close()
	const slow, next = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name string
		tls  bool
		// first is sent at once, and second once the first response has begun.
		first, second string
	}{
		{"sent together", false, slow + next, ""},
		{"sent during the response", false, slow, next},
		{"sent together, TLS", true, slow + next, ""},
		{"sent during the response, TLS", true, slow, next},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					_ = http.NewResponseController(w).Flush() // the head is sent before the stop
					close(started)
					<-release
				}
				_, _ = io.WriteString(w, "ok")
			})}
			if tt.tls {
				s.TLS = &tls.Config{Certificates: h.TLS.Certificates}
			}
			stop, ended := startServer(t, s)
			conn := dial(t, s)
			if _, err := io.WriteString(conn, tt.first); err != nil {
				t.Fatal(err)
			}
			<-started
			if _, err := io.WriteString(conn, tt.second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			stop()
			time.Sleep(20 * time.Millisecond)
			close(release)
			br := bufio.NewReader(conn)
			for _, name := range []string{"first", "next"} {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatalf("no response to the %s request: %v", name, err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if name == "next" && !resp.Close {
					t.Error("the response does not say that the connection is closed")
				}
			}
			select {
			case <-ended:
			case <-time.After(900 * time.Millisecond):
				t.Error("the server waits until its drain deadline")
			}
		})
	}
}
