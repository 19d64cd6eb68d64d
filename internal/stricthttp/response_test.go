package stricthttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// read reads the response in data to a request with a method.
func read(data, method string) (*http.Response, error) {
	return ReadResponse(bufio.NewReader(strings.NewReader(data)), &http.Request{Method: method})
}

func TestOnlyFinalStatusesAreResponses(t *testing.T) {
	for status := range 1000 {
		//nolint:bodyclose // closing it has no effect
		resp, err := read(fmt.Sprintf("HTTP/1.1 %03d x\r\n\r\n", status), http.MethodGet)
		switch {
		case status >= 200 && status < 600:
			if err != nil || resp.StatusCode != status {
				t.Errorf("status %03d: got %v", status, err)
			}
		case status >= 100 && status < 200 && status != http.StatusSwitchingProtocols:
			if !errors.Is(err, io.ErrUnexpectedEOF) { // the final response is missing
				t.Errorf("status %03d: got %v", status, err)
			}
		case !errors.Is(err, ErrMalformed):
			t.Errorf("status %03d: got %v", status, err)
		}
	}
}

// No byte that a field name may not hold may pass, wherever it stands in a name.
func TestByteInAFieldNameIsMalformed(t *testing.T) {
	const tchars = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	names := []string{"Content-Length", "X"}
	for _, name := range names {
		for i := range len(name) + 1 {
			for b := range 256 {
				c := string([]byte{byte(b)})
				if c == ":" {
					continue
				}
				//nolint:bodyclose // closing it has no effect
				resp, err := read("HTTP/1.1 200 OK\r\nA: b\r\n"+name[:i]+c+name[i:]+": 2\r\n\r\nok", http.MethodGet)
				if strings.Contains(tchars, c) {
					if err != nil {
						t.Errorf("byte %q in %q: got %v", c, name, err)
					}
				} else if !errors.Is(err, ErrMalformed) {
					t.Errorf("byte %q at %d in %q: got %v, %v", c, i, name, resp, err)
				}
			}
		}
	}
}

// The error of a malformed response goes into logs and to callers: it must not hold all that a server sent.
func TestErrorIsShortText(t *testing.T) {
	long := strings.Repeat("\xff\x00\u00e9", 1<<10)
	for _, data := range []string{
		"HTTP/1.1 200 " + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + long + "\n",
		"HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("\xff", 1<<10) + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + strings.Repeat("Content-Length: 2\r\n", 1<<10) + "\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("Transfer-Encoding: \xff\r\n", 1<<10) + "\r\n",
	} {
		//nolint:bodyclose // closing it has no effect
		_, err := read(data, http.MethodGet)
		if !errors.Is(err, ErrMalformed) {
			t.Fatalf("got %v", err)
		}
		const maxLength = 300
		if s := err.Error(); len(s) > maxLength || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' }) {
			t.Errorf("%d bytes: %q", len(s), s)
		}
	}
}

func TestFraming(t *testing.T) {
	tests := []struct {
		name, method, head string
		wantLength         int64
		wantChunked        bool
		wantClose          bool
		wantBody           string
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", 2, false, false, "2\r"},
		{"length 0", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", 0, false, false, ""},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", -1, true, false, "ok"},
		{"chunks, closes", "GET", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nTransfer-Encoding: chunked\r\n", -1, true, true, "ok"},
		{"neither", "GET", "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", -1, false, true, "2\r\nok\r\n0\r\n\r\n"},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", 0, false, false, ""},
		{"HEAD, chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", 0, false, false, ""},
		{"204", "GET", "HTTP/1.1 204 x\r\n", 0, false, false, ""},
		{"204, length 0", "GET", "HTTP/1.1 204 x\r\nContent-Length: 0\r\n", 0, false, false, ""},
		{"304", "GET", "HTTP/1.1 304 x\r\nContent-Length: 2\r\n", 0, false, false, ""},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n", 2, false, true, "2\r"},
		{"HTTP/1.0, kept", "GET", "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 2\r\n", 2, false, false, "2\r"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			//nolint:bodyclose // closing it has no effect
			resp, err := read(tt.head+"\r\n2\r\nok\r\n0\r\n\r\n", tt.method)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			want := []any{tt.wantLength, tt.wantChunked, tt.wantClose, tt.wantBody}
			if diff := cmp.Diff(want, []any{resp.ContentLength, len(resp.TransferEncoding) > 0, resp.Close, string(body)}); diff != "" {
				t.Errorf("length, chunked, close and body (-want +got):\n%s", diff)
			}
		})
	}
}

// What net/http would let pass as a response must not pass here either, nor hide behind its parsing.
func TestCheckFindsWhatNetHTTPAccepts(t *testing.T) {
	tests := []struct {
		name, head string
		want       bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nX: y\r\n\r\n", true},
		{"status 000", "HTTP/1.1 000 x\r\n\r\n", false},
		{"status 600", "HTTP/1.1 600 x\r\n\r\n", false},
		{"blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", false},
	}
	for _, tt := range tests {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tt.head)), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if err := Check(resp); (err == nil) != tt.want || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v", tt.name, err)
		}
	}
}

// Every response that is accepted must mean the same to net/http.
func FuzzReadResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nX: y\r\nX: z\r\n\r\nok",
		"HTTP/1.1 204 x\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\nok",
		"HTTP/1.1 000 x\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		//nolint:bodyclose // closing it has no effect
		resp, err := read(string(data), http.MethodGet)
		if err != nil || bytes.HasPrefix(data, []byte("HTTP/1.1 1")) || bytes.HasPrefix(data, []byte("HTTP/1.0 1")) {
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		other, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatalf("net/http: %v", err)
		}
		defer func() { _ = other.Body.Close() }()
		otherBody, err := io.ReadAll(other.Body)
		if err != nil {
			t.Fatalf("net/http: %v", err)
		}
		for _, h := range []http.Header{resp.Header, other.Header} {
			for _, name := range []string{"Connection", "Content-Length", "Cache-Control", "Trailer"} { // net/http removes or adds these
				h.Del(name)
			}
		}
		want := []any{other.StatusCode, other.Close, other.TransferEncoding, string(otherBody), other.Header}
		if diff := cmp.Diff(want, []any{resp.StatusCode, resp.Close, resp.TransferEncoding, string(body), resp.Header}); diff != "" {
			t.Errorf("(-net/http +got):\n%s", diff)
		}
	})
}
