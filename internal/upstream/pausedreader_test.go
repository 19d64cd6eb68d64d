package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"sumachead"
)

// readerPause is longer than the user timeout of the connections.
const readerPause = 4 * time.Second

// Guards against uploads that end because their server pauses reading for a few seconds.
func TestServerThatPausesGetsTheWholeRequest(t *testing.T) {
	tests := []struct {
		name string
		size int
		// reduces: the server reduces its buffer, so that it drops data that is in flight.
		reduces bool
	}{
		{"the body fits into the socket's buffer", 512 << 10, false},
		{"the body does not fit", 8 << 20, false},
		{"the server reduces its buffer", 256 << 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
				if tt.reduces {
					_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
				}
				for first := true; ; first = false {
					if first {
						time.Sleep(readerPause)
					}
					id, err := readRequest(br)
					if err != nil {
						return
					}
					reply(c, id, id)
				}
			})
			dials := 0
			p := &Pool{Dialect: testDialect{}, OnDial: func() { dials++ }}
			defer p.Close()
			for _, id := range []string{"1", "2"} {
				ctx, cancel := context.WithTimeout(t.Context(), 5*readerPause)
				defer cancel()
				r := request(id)
				r.Body = make([]byte, tt.size)
				a, err := p.Send(ctx, Server{ID: "s", Address: address}, 1, r, &sumachead.Attempt{})
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(a)
				a.Close()
				if err != nil || string(body) != id {
					t.Fatalf("response %q, %v", body, err)
				}
			}
			if dials != 1 {
				t.Errorf("%d connections for 2 requests", dials)
			}
		})
	}
}
