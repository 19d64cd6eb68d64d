package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A response that is aborted after its beginning must not look complete to a caller of any protocol
// version: HTTP/1.0 has no chunks, so that the end of the connection is the end of the response.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	tests := []struct{ name, request string }{
		{"HTTP/1.1", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"HTTP/1.1 that closes", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n"},
		{"HTTP/1.0 that stays open", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			read := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "data: x\n\n")
				_ = http.NewResponseController(w).Flush()
				<-read
				Abort(w, r)
			}))
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			event := make([]byte, len("data: x\n\n"))
			if _, err := io.ReadFull(resp.Body, event); err != nil {
				t.Fatal(err)
			}
			close(read)
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the response looks complete after %q", fmt.Sprintf("%s%s", event, rest))
			}
		})
	}
}
