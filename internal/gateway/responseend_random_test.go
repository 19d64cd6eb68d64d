package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sumachead/internal/upstream"
)

// randomStream returns an event stream and where each of its events ends.
func randomStream(r *rand.Rand) (body string, ends map[int]bool) {
	lineEnd := []string{"\n", "\r", "\r\n"}[r.IntN(3)]
	ends = make(map[int]bool)
	for i := range r.IntN(5) {
		body += fmt.Sprintf("id: %d%sdata: %s%s%s", i, lineEnd, strings.Repeat("x", r.IntN(20)), lineEnd, lineEnd)
		ends[len(body)] = true
	}
	return body, ends
}

// frame returns the head of a response and its framed body.
func frame(r *rand.Rand, f upstream.Framing, body string) (head, framed string) {
	head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	switch f {
	case upstream.FramingLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)), body
	case upstream.FramingChunked:
		var b strings.Builder
		for left := body; left != ""; {
			n := 1 + r.IntN(len(left))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, left[:n])
			left = left[n:]
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n", b.String() + "0\r\n\r\n"
	}
	return head + "\r\n", body
}

// readResponse reads a response and returns what is known about its end; the error is that of its
// framing.
func readResponse(t *testing.T, response string) (responseEnd, error) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(response)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s := &eventStream{}
	s.splitter.Append(body)
	for event, ok := s.splitter.Next(); ok; event, ok = s.splitter.Next() {
		s.track(event, &exchange{})
	}
	return s.end(upstream.FramingOf(resp)), err
}

// Of 100,000 streams of each framing, cut at random bytes, none may be taken for complete, and no whole
// one for broken. Where nothing tells the last event from the one before, the server must still run.
func TestRandomlyCutStreamsAreNeverComplete(t *testing.T) {
	const streams = 100_000
	for _, f := range upstream.Framings() {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(1, 2))
			probes := 0
			for range streams {
				body, ends := randomStream(r)
				head, framed := frame(r, f, body)
				cut := len(framed)
				if r.IntN(4) > 0 {
					cut = r.IntN(len(framed) + 1)
				}
				server := []upstream.Liveness{upstream.LivenessUnknown, upstream.Accepting, upstream.Refusing}[r.IntN(3)]
				want := cut == len(framed)
				if f == upstream.FramingClose {
					want = server == upstream.Accepting && ends[cut]
				}
				end, err := readResponse(t, head+framed[:cut])
				got := err == nil && end.isComplete(func() upstream.Liveness { probes++; return server })
				if got != want {
					t.Fatalf("complete %t, want %t: %d of %d bytes of %q, liveness %d", got, want, cut, len(framed), framed, server)
				}
			}
			if f != upstream.FramingClose && probes > 0 {
				t.Errorf("%d responses with a marked end were probed", probes)
			}
		})
	}
}

func TestResponseEnd(t *testing.T) {
	const unasked = upstream.Liveness(-1)
	tests := []struct {
		name string
		end  responseEnd
		// server is what a probe shows, unasked if there must be none.
		server upstream.Liveness
		want   bool
	}{
		{"length", responseEnd{framing: upstream.FramingLength}, unasked, true},
		{"chunked stream with an event without its blank line", responseEnd{framing: upstream.FramingChunked, stream: true, partial: true}, unasked, true},
		{"unmarked plain response", responseEnd{framing: upstream.FramingClose}, upstream.Accepting, true},
		{"unmarked plain response of a server that has crashed", responseEnd{framing: upstream.FramingClose}, upstream.Refusing, false},
		{"unmarked plain response of a silent host", responseEnd{framing: upstream.FramingClose}, upstream.LivenessUnknown, false},
		{"unmarked stream", responseEnd{framing: upstream.FramingClose, stream: true, hasData: true}, upstream.Accepting, true},
		{"unmarked stream of a server that has crashed", responseEnd{framing: upstream.FramingClose, stream: true, hasData: true}, upstream.Refusing, false},
		{"unmarked stream within an event", responseEnd{framing: upstream.FramingClose, stream: true, hasData: true, partial: true}, unasked, false},
		{"unmarked stream without data", responseEnd{framing: upstream.FramingClose, stream: true}, unasked, false},
		{"end marker", responseEnd{framing: upstream.FramingClose, stream: true, hasData: true, marked: true}, unasked, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			asked := unasked
			got := tt.end.isComplete(func() upstream.Liveness { asked = tt.server; return tt.server })
			if diff := cmp.Diff([]any{tt.want, tt.server}, []any{got, asked}); diff != "" {
				t.Errorf("complete, and what was asked (-want +got):\n%s", diff)
			}
		})
	}
}
