package stricthttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// serve starts a server that writes data on each connection after it has read a part of the request, and
// then closes the connection, or keeps it open.
func serve(t *testing.T, data string, closes bool) string {
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
				_, _ = c.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(c, data)
				if !closes {
					<-t.Context().Done()
				} else {
					_ = c.(*net.TCPConn).CloseWrite()
					time.Sleep(2 * requestWriteTimeout)
				}
			}()
		}
	}()
	return "http://" + lis.Addr().String()
}

// post sends a request with a body of a size and reads the response.
func post(ctx context.Context, url string, size int) (status int, body string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, "", err
	}
	resp, err := (&http.Client{Transport: &Transport{Dialer: &net.Dialer{}}}).Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

const longUpload = 32 << 20

// A response that ends with its connection must not be complete if the server did not read the request.
func TestEarlyResponseUntilTheEndIsIncomplete(t *testing.T) {
	_, body, err := post(t.Context(), serve(t, "HTTP/1.1 200 OK\r\n\r\nok", true), longUpload)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got body %q, %v", body, err)
	}
	if _, body, err := post(t.Context(), serve(t, "HTTP/1.1 200 OK\r\n\r\nok", true), 1); err != nil || body != "ok" {
		t.Errorf("short request: got body %q, %v", body, err)
	}
}

// A whole response with a length needs no whole request.
func TestEarlyResponseWithALengthIsComplete(t *testing.T) {
	status, body, err := post(t.Context(), serve(t, "HTTP/1.1 413 x\r\nContent-Length: 2\r\n\r\nno", false), longUpload)
	if err != nil || body != "no" || status != http.StatusRequestEntityTooLarge {
		t.Errorf("got body %q, %v", body, err)
	}
}

// A request must end with its context, whatever part of the response is missing.
func TestRoundTripEndsWithItsContext(t *testing.T) {
	for _, data := range []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "HTTP/1.1 200 OK\r\n\r\nok"} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if _, _, err := post(ctx, serve(t, data, false), 1); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("after %q: got %v", data, err)
		}
		cancel()
	}
}

func TestFailureToConnectIsADialError(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = lis.Close()
	plain := httptest.NewServer(http.NotFoundHandler())
	defer plain.Close()
	for _, url := range []string{"http://" + lis.Addr().String(), "https://" + plain.Listener.Addr().String()} {
		_, _, err = post(t.Context(), url, 1)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			t.Errorf("%s: got %v", url, err)
		}
	}
}

// Each request must have a connection of its own.
func TestConnectionIsNotReused(t *testing.T) {
	var mu sync.Mutex
	addresses := make(map[string]bool)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		addresses[r.RemoteAddr] = r.Close
	}))
	defer s.Close()
	for range 3 {
		if _, _, err := post(t.Context(), s.URL, 1); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for a, closes := range addresses {
		if len(addresses) != 3 || !closes {
			t.Errorf("requests from %v; that of %s closes the connection: %t", addresses, a, closes)
		}
	}
}
