package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sumachead"
)

const (
	soundStatus = "HTTP/1.1 200 OK\r\n"
	soundFields = "X-Request: 1\r\nX-Server: s\r\n"
	soundLength = "Content-Length: 2\r\n"
	soundHead   = soundStatus + soundFields + soundLength + "\r\n"
)

// malformedHeads are responses whose heads no two readers need understand alike.
var malformedHeads = []struct{ name, response string }{
	{"status 000", "HTTP/1.1 000 x\r\n" + soundFields + soundLength + "\r\nok"},
	{"status 000 before a sound response", "HTTP/1.1 000 x\r\n\r\n" + soundHead + "ok"},
	{"status 099", "HTTP/1.1 099 x\r\n" + soundFields + soundLength + "\r\nok"},
	{"status +20", "HTTP/1.1 +20 x\r\n" + soundFields + soundLength + "\r\nok"},
	{"status -00", "HTTP/1.1 -00 x\r\n" + soundFields + soundLength + "\r\nok"},
	{"status 600", "HTTP/1.1 600 x\r\n" + soundFields + soundLength + "\r\nok"},
	{"status 999", "HTTP/1.1 999 x\r\n" + soundFields + soundLength + "\r\nok"},
	{"status of four digits", "HTTP/1.1 2000 x\r\n" + soundFields + soundLength + "\r\nok"},
	{"upgrade that nobody asked for", "HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + soundHead + "ok"},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\n" + soundFields + soundLength + "\r\nok"},
	{"control byte in the reason phrase", "HTTP/1.1 200 O\x00K\r\n" + soundFields + soundLength + "\r\nok"},
	{"version 2", "HTTP/2.0 200 OK\r\n" + soundFields + soundLength + "\r\nok"},
	{"no status line", soundFields + soundLength + "\r\nok"},
	{"no protocol", "200 OK\r\n" + soundFields + soundLength + "\r\nok"},
	{"blank line before the status line", "\r\n" + soundHead + "ok"},
	{"blank after the name of the length", soundStatus + soundFields + "Content-Length : 2\r\n\r\nok"},
	{"blank in a name", soundStatus + soundFields + soundLength + "X Y: z\r\n\r\nok"},
	{"tab in a name", soundStatus + soundFields + soundLength + "X\tY: z\r\n\r\nok"},
	{"NUL in a name", soundStatus + soundFields + soundLength + "X\x00Y: z\r\n\r\nok"},
	{"DEL in a name", soundStatus + soundFields + soundLength + "X\x7fY: z\r\n\r\nok"},
	{"line feed in a name", soundStatus + soundFields + "X\nContent-Length: 2\r\n\r\nok"},
	{"line feed before a name", soundStatus + soundFields + "\nContent-Length: 2\r\n\r\nok"},
	{"carriage return before a name", soundStatus + soundFields + "\rContent-Length: 2\r\n\r\nok"},
	{"byte beyond ASCII in a name", soundStatus + soundFields + soundLength + "X\xe9Y: z\r\n\r\nok"},
	{"separator in a name", soundStatus + soundFields + soundLength + "X(Y): z\r\n\r\nok"},
	{"empty name", soundStatus + soundFields + soundLength + ": z\r\n\r\nok"},
	{"no colon", soundStatus + soundFields + soundLength + "X\r\n\r\nok"},
	{"NUL in a value", soundStatus + soundFields + soundLength + "X: a\x00b\r\n\r\nok"},
	{"carriage return in a value", soundStatus + soundFields + soundLength + "X: a\rb\r\n\r\nok"},
	{"folded line", soundStatus + soundFields + soundLength + "X: a\r\n b\r\n\r\nok"},
	{"folded length", soundStatus + soundFields + "Content-Length:\r\n 2\r\n\r\nok"},
	{"first line begins with a blank", soundStatus + " " + soundFields + soundLength + "\r\nok"},
	{"lines end with line feeds only", strings.ReplaceAll(soundHead, "\r\n", "\n") + "ok"},
	{"length of a word", soundStatus + soundFields + "Content-Length: two\r\n\r\nok"},
	{"empty length", soundStatus + soundFields + "Content-Length: \r\n\r\nok"},
	{"negative length", soundStatus + soundFields + "Content-Length: -2\r\n\r\nok"},
	{"length with a sign", soundStatus + soundFields + "Content-Length: +2\r\n\r\nok"},
	{"hexadecimal length", soundStatus + soundFields + "Content-Length: 0x2\r\n\r\nok"},
	{"length beyond 63 bits", soundStatus + soundFields + "Content-Length: 9223372036854775808\r\n\r\nok"},
	{"two lengths", soundStatus + soundFields + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok"},
	{"two lengths in one line", soundStatus + soundFields + "Content-Length: 2, 1\r\n\r\nok"},
	{"length beside chunks", soundStatus + soundFields + soundLength + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
	{"unknown transfer encoding", soundStatus + soundFields + "Transfer-Encoding: gzip\r\n\r\nok"},
	{"transfer encoding identity", soundStatus + soundFields + "Transfer-Encoding: identity\r\n\r\nok"},
	{"two transfer encodings", soundStatus + soundFields + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
	{"transfer encoding given twice", soundStatus + soundFields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + soundFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"204 with a body", "HTTP/1.1 204 x\r\n" + soundFields + soundLength + "\r\nok"},
	{"204 with chunks", "HTTP/1.1 204 x\r\n" + soundFields + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"interim response with a body", "HTTP/1.1 103 x\r\nContent-Length: 9\r\n\r\n" + soundHead + "ok"},
	{"malformed interim response", "HTTP/1.1 103 x\r\nX Y: z\r\n\r\n" + soundHead + "ok"},
}

// respond starts a server that answers each request with data, and closes the connection then or once
// the peer has.
func respond(t *testing.T, data string, closes bool) string {
	return listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, data)
		if !closes {
			_, _ = br.ReadByte()
		}
	})
}

// A malformed head must not pass for a response, nor hold the request, nor show that it did not run.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, tt := range malformedHeads {
		for _, closes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, closes %t", tt.name, closes), func(t *testing.T) {
				t.Parallel()
				p := &Pool{Dialect: testDialect{}}
				s := Server{"s", respond(t, tt.response, closes)}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				a, err := p.Send(ctx, s, 10, request("1"), &sumachead.Attempt{})
				if err == nil {
					body, err := io.ReadAll(a)
					t.Fatalf("got status %d, header %q, body %q, %v", a.Status, a.Header, body, err)
				}
				var f *Failure
				if !errors.As(err, &f) || f.Verdict != sumachead.MayHaveRun || f.Reason != sumachead.ReasonBadAnswer {
					t.Errorf("got %v, want a bad answer to a request that may have run", err)
				}
				if ctx.Err() != nil {
					t.Error("held until the deadline")
				}
				if n := p.servers[s].open; n != 0 {
					t.Errorf("%d connections are still open", n)
				}
				if _, err := p.Check(ctx, s, "/health"); err == nil || ctx.Err() != nil {
					t.Errorf("health check: got %v, context %v", err, ctx.Err())
				}
			})
		}
	}
}

// A head of which a part is missing must not pass for a response, wherever it is cut.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	heads := []struct{ name, head string }{
		{"length", soundHead},
		{"chunks", soundStatus + soundFields + "Transfer-Encoding: chunked\r\n\r\n"},
		{"until the end", soundStatus + soundFields + "\r\n"},
		{"until the end, HTTP/1.0", "HTTP/1.0 200 OK\r\n" + soundFields + "\r\n"},
		{"no body", "HTTP/1.1 204 x\r\n" + soundFields + "\r\n"},
		{"after an interim response", "HTTP/1.1 103 x\r\nLink: x\r\n\r\n" + soundHead},
	}
	for _, tt := range heads {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(tt.head) {
				p := &Pool{Dialect: testDialect{}}
				s := Server{"s", respond(t, tt.head[:cut], true)}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				a, err := p.Send(ctx, s, 10, request("1"), &sumachead.Attempt{})
				var f *Failure
				if !errors.As(err, &f) || f.Verdict != sumachead.MayHaveRun || !f.ConnectionLost() || ctx.Err() != nil {
					t.Errorf("cut after %q: got %v, %v; want a lost connection", tt.head[:cut], a, err)
				}
				if h, err := p.Check(ctx, s, "/health"); err == nil {
					t.Errorf("cut after %q: healthy %v", tt.head[:cut], h)
				}
				cancel()
			}
		})
	}
}

// A body with malformed or missing marks of its chunks or its end must not pass for complete.
func TestMalformedTrailerIsNotComplete(t *testing.T) {
	const chunked = soundStatus + soundFields + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, body string }{
		{"blank in a name", "2\r\nok\r\n0\r\nX : y\r\n\r\n"},
		{"control byte in a value", "2\r\nok\r\n0\r\nX: \x01\r\n\r\n"},
		{"folded line", "2\r\nok\r\n0\r\nX: y\r\n z\r\n\r\n"},
		{"line feeds", "2\r\nok\r\n0\r\nX: y\n\n"},
		{"no colon", "2\r\nok\r\n0\r\nX\r\n\r\n"},
		{"another response", "2\r\nok\r\n0\r\n" + soundHead},
		{"size of another base", "0x2\r\nok\r\n0\r\n\r\n"},
		{"size with a sign", "+2\r\nok\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body, err := exchange(&Pool{Dialect: testDialect{}}, respond(t, chunked+tt.body, false), "1")
			if err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got body %q, %v", body, err)
			}
		})
	}
	const whole = "2\r\nok\r\n0\r\nX: y\r\n\r\n"
	t.Run("truncated", func(t *testing.T) {
		for cut := range len(whole) {
			if body, err := exchange(&Pool{Dialect: testDialect{}}, respond(t, chunked+whole[:cut], true), "1"); err == nil {
				t.Errorf("cut after %q: got body %q", whole[:cut], body)
			}
		}
	})
}

// Sound heads must not be taken for malformed ones.
func TestSoundHeadIsAResponse(t *testing.T) {
	tests := []struct{ name, response string }{
		{"length", soundHead + "ok"},
		{"no reason phrase", "HTTP/1.1 200\r\n" + soundFields + soundLength + "\r\nok"},
		{"empty reason phrase", "HTTP/1.1 200 \r\n" + soundFields + soundLength + "\r\nok"},
		{"reason phrase beyond ASCII", "HTTP/1.1 200 \xc3\xa7a va\r\n" + soundFields + soundLength + "\r\nok"},
		{"length given twice", soundStatus + soundFields + soundLength + soundLength + "\r\nok"},
		{"no blank after the colon", soundStatus + strings.ReplaceAll(soundFields+soundLength, ": ", ":") + "\r\nok"},
		{"blanks around values", soundStatus + strings.ReplaceAll(strings.ReplaceAll(soundFields+soundLength, ": ", ": \t "), "\r\n", " \t\r\n") + "\r\nok"},
		{"names in lower case", soundStatus + strings.ToLower(soundFields+soundLength) + "\r\nok"},
		{"empty value", soundStatus + soundFields + soundLength + "X:\r\n\r\nok"},
		{"value beyond ASCII", soundStatus + soundFields + soundLength + "X: \xe9\r\n\r\nok"},
		{"every mark in a name", soundStatus + soundFields + soundLength + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\nok"},
		{"long value", soundStatus + soundFields + soundLength + "X: " + strings.Repeat("x", 20<<10) + "\r\n\r\nok"},
		{"chunks", soundStatus + soundFields + "Transfer-Encoding: Chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n"},
		{"chunks and a trailer", soundStatus + soundFields + "Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n"},
		{"until the end", soundStatus + soundFields + "\r\nok"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + soundFields + "\r\nok"},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + soundFields + soundLength + "\r\nok"},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: x\r\n\r\n" + soundHead + "ok"},
		{"status 599", "HTTP/1.1 599 x\r\n" + soundFields + soundLength + "\r\nok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := &Pool{Dialect: testDialect{}}
			address := respond(t, tt.response, true)
			if body, err := exchange(p, address, "1"); err != nil || body != "ok" {
				t.Errorf("got body %q, %v", body, err)
			}
			if h, err := p.Check(t.Context(), Server{"s", address}, "/health"); err != nil || h.Server != "s" {
				t.Errorf("health check: got %v, %v", h, err)
			}
		})
	}
}
