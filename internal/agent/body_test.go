package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// A plain response that a crash cuts must not be passed on as complete, although nothing marks its
// end.
func TestResponseCutByACrashIsNotComplete(t *testing.T) {
	tests := []struct {
		name, head string
		crashes    bool
		want       string
	}{
		{"no length, the server runs on", "", false, "booked"},
		{"no length, the server crashes", "", true, ""},
		{"length, the server crashes after it", "Content-Length: 6\r\n", true, "booked"},
		{"length, the server crashes before it", "Content-Length: 7\r\n", true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = lis.Close() })
			go func() {
				c, err := lis.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nbooked", tt.head)
				if tt.crashes {
					_ = lis.Close()
				}
			}()
			r := &wire.RunRequest{Method: http.MethodGet, Path: "/x"}
			b := newBackend("http://"+lis.Addr().String(), &health{})
			resp, err := b.send(t.Context(), r, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			data, err := readBody(resp, io.LimitReader(resp.Body, maxResponseBytes+1))
			if diff := cmp.Diff([]any{tt.want, tt.want != ""}, []any{string(data), err == nil}); diff != "" {
				t.Errorf("body, and whether it is complete (-want +got), error %v:\n%s", err, diff)
			}
		})
	}
}

// Guards against a server's text that makes the response of an agent impossible to encode.
func TestInvalidContentTypeIsReplaced(t *testing.T) {
	r := newRun(runKey{}, nil)
	r.setHead(http.StatusOK, "text/\xff")
	if _, err := proto.Marshal(r.head); err != nil {
		t.Error(err)
	}
}
