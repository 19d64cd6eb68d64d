package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

// respond starts a backend server that reads a request on each connection, writes data and closes the
// connection, and returns its URL.
func respond(t *testing.T, data string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, data)
			}()
		}
	}()
	return "http://" + lis.Addr().String()
}

// relayOnce relays a request to a server that responds with data.
func relayOnce(t *testing.T, data string, kind settings.PoolKind) (*run, error) {
	t.Helper()
	r := &wire.RunRequest{Method: http.MethodPost, Path: "/x", Workspace: "w", Key: "k", Body: []byte("{}")}
	pool := &settings.ResolvedPool{}
	pool.Kind, pool.StuckAfter.Duration = kind, time.Minute
	x := newRun(runKey{}, r)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := newBackend(respond(t, data), &health{}).do(ctx, x, r, pool)
	if ctx.Err() != nil {
		t.Error("held until the deadline")
	}
	return x, err
}

// A malformed head must not pass for a response of a plain service or of a model.
func TestMalformedHeadIsABadAnswer(t *testing.T) {
	const body = `{"id":"1","usage":{"prompt_tokens":1,"completion_tokens":1},"choices":[{}]}`
	const length = "Content-Length: 75\r\n"
	tests := []struct{ name, head string }{
		{"status 000", "HTTP/1.1 000 x\r\n" + length + "\r\n"},
		{"status 099", "HTTP/1.1 099 x\r\n" + length + "\r\n"},
		{"status 600", "HTTP/1.1 600 x\r\n" + length + "\r\n"},
		{"status 999", "HTTP/1.1 999 x\r\n" + length + "\r\n"},
		{"status 101", "HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\n" + length + "\r\n"},
		{"blank after the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: z\r\n" + length + "\r\n"},
		{"line feed before a name", "HTTP/1.1 200 OK\r\n\nX: z\r\n" + length + "\r\n"},
		{"folded line", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n" + length + "\r\n"},
		{"length beside chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n4b\r\n" + body + "\r\n0\r\n\r\n"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + length + "\r\n"},
		{"version 2", "HTTP/2.0 200 OK\r\n" + length + "\r\n"},
	}
	for _, tt := range tests {
		for _, kind := range []settings.PoolKind{settings.ServicePool, settings.ModelPool} {
			t.Run(tt.name+", "+string(kind), func(t *testing.T) {
				t.Parallel()
				x, err := relayOnce(t, tt.head+body, kind)
				if err == nil {
					t.Fatalf("the response passed: head %v, data %q", x.head, x.data)
				}
				if f := sumachead.AsRefusal(err); f.Verdict != sumachead.MayHaveRun || f.Reason != sumachead.ReasonBadAnswer || x.head != nil {
					t.Errorf("got %v, head %v", err, x.head)
				}
			})
		}
	}
}

// A response of which a part is missing must not pass, wherever it is cut.
func TestTruncatedResponseIsNoAnswer(t *testing.T) {
	const fields = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	tests := []struct{ name, response string }{
		{"length", fields + "Content-Length: 2\r\n\r\nok"},
		{"chunks", fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n"},
		{"head of one until the end", fields + "\r\n"},
		{"after an interim response", "HTTP/1.1 103 x\r\nLink: x\r\n\r\n" + fields + "Content-Length: 2\r\n\r\nok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(tt.response) {
				if x, err := relayOnce(t, tt.response[:cut], settings.ServicePool); err == nil || x.head != nil {
					t.Errorf("cut after %q: got head %v, data %q, %v", tt.response[:cut], x.head, x.data, err)
				}
			}
			if _, err := relayOnce(t, tt.response, settings.ServicePool); err != nil {
				t.Errorf("whole response: %v", err)
			}
		})
	}
}
