package load

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A malformed response must not count as an answer.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	tests := []struct{ name, response, want string }{
		{"sound", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", "answer"},
		{"blank after a name", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length : 9\r\n\r\n{}", "malformed answer"},
		{"status 000", "HTTP/1.1 000 x\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", "malformed answer"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = lis.Close() }()
			go func() {
				for {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, tt.response)
					}
					_ = c.Close()
				}
			}()
			report := Run(t.Context(), &Plan{
				URLs: []string{"http://" + lis.Addr().String()}, Service: "s", Callers: 1, Rate: 100,
				Until: time.Now().Add(100 * time.Millisecond), Client: &http.Client{Transport: &http.Transport{}},
			})
			if report.Requests == 0 {
				t.Fatal("no requests")
			}
			if diff := cmp.Diff(map[string]int64{tt.want: report.Requests}, report.Outcomes); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}
