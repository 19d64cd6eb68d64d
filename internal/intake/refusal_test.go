package intake

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a reset that overtakes the refusal of an upload.
func TestRefusalReachesCallersThatStillUpload(t *testing.T) {
	tests := []struct {
		name string
		// size is that of the body, of which a sixteenth is sent at a time.
		size int
		// limits and memory lead to the refusal.
		limits Limits
		memory int64
	}{
		{"short body, too large", 64 << 10, Limits{BodyBytes: 1 << 10}, 0},
		{"long body, too large", 4 << 20, Limits{BodyBytes: 1 << 10}, 0},
		{"short body, no memory", 64 << 10, Limits{}, 1 << 10},
		{"long body, no memory", 4 << 20, Limits{}, 1 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			m := &BodyMemory{MaxBytes: tt.memory}
			s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b, err := m.Read(w, r, tt.limits)
				if err != nil {
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusRequestEntityTooLarge)
					return
				}
				b.Release()
			})}
			startServer(t, s)
			conn := dial(t, s)
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			r, err := http.NewRequest(http.MethodPost, "http://h/", nil)
			if err != nil {
				t.Fatal(err)
			}
			r.ContentLength, r.Body = int64(tt.size), io.NopCloser(&slowBody{left: tt.size, part: tt.size / 16})
			_ = r.Write(conn) // fails once the server has closed the connection
			resp, err := http.ReadResponse(bufio.NewReader(conn), r)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			_ = resp.Body.Close()
			if diff := cmp.Diff(http.StatusRequestEntityTooLarge, resp.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

// slowBody takes some time for each part.
type slowBody struct{ left, part int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(10 * time.Millisecond)
	n := min(len(p), b.left, b.part)
	b.left -= n
	return n, nil
}

// Guards against connections that stay open for the rest of a body that never arrives.
func TestConnectionWithoutTheRestOfABodyIsClosed(t *testing.T) {
	const timeout = 200 * time.Millisecond
	tests := []struct {
		name    string
		timeout time.Duration
		limits  Limits
	}{
		{"too large", time.Second, Limits{BodyBytes: 10}},
		{"not in time", timeout / 2, Limits{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &BodyMemory{Timeout: tt.timeout}
			s := &Server{Limits: func() Limits { return Limits{IdleTimeout: timeout} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b, err := m.Read(w, r, tt.limits)
				if err != nil {
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				b.Release()
			})}
			startServer(t, s)
			conn := dial(t, s)
			if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx"); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			_ = conn.SetReadDeadline(time.Now().Add(5 * timeout))
			if _, err := br.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection is still open")
			}
		})
	}
}
