package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sumachead/internal/tcp/tcptest"
)

// maxSilence bounds the time until the request of a caller that has lost power is canceled.
const maxSilence = 6 * time.Second

func TestRequestsOfSilentCallersAreCanceled(t *testing.T) {
	tests := []struct {
		name  string
		write func(w http.ResponseWriter, silence func())
	}{
		{"before the response", func(_ http.ResponseWriter, silence func()) { silence() }},
		{"while a stream is idle", func(w http.ResponseWriter, silence func()) {
			_, _ = io.WriteString(w, "event")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			silence()
		}},
		{"while a stream is sent", func(w http.ResponseWriter, silence func()) {
			silence()
			_, _ = io.WriteString(w, "event")
			_ = http.NewResponseController(w).Flush()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			conns := make(chan net.Conn, 1)
			canceled := make(chan time.Duration, 1)
			s := &Server{Limits: func() Limits { return Limits{} }}
			s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/silent" {
					return
				}
				silentAt := time.Now()
				conn := <-conns
				tt.write(w, func() {
					tcptest.Silence(t, conn)
					silentAt = time.Now()
				})
				<-r.Context().Done()
				canceled <- time.Since(silentAt)
			})
			startServer(t, s)
			conn := dial(t, s)
			conns <- conn
			if _, err := io.Copy(conn, bytes.NewBufferString("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			select {
			case took := <-canceled:
				t.Logf("canceled after %v", took)
			case <-time.After(maxSilence):
				t.Error("the request of a silent caller is not canceled")
			}
		})
	}
}
