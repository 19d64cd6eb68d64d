package telemetry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func TestServerForceClosesOnlyIfConfigured(t *testing.T) {
	tests := []struct {
		name       string
		forceClose bool
	}{
		{"error without force close", false},
		{"force close", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entered, release := make(chan struct{}), make(chan struct{})
			defer close(release)
			s := &HTTPServer{
				Address: freeAddress(t), DrainTimeout: 20 * time.Millisecond, ForceClose: tt.forceClose,
				Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					close(entered)
					<-release
				}),
			}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- s.Run(ctx) }()
			answered := make(chan error, 1)
			go func() { answered <- get(s.Address) }()
			<-entered
			stop()
			if err := <-ended; (err == nil) != tt.forceClose {
				t.Fatalf("Run returned %v", err)
			}
			if !tt.forceClose {
				return
			}
			select {
			case err := <-answered:
				if err == nil {
					t.Fatal("an aborted request got a response")
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the request was not aborted")
			}
		})
	}
}

// get waits until the server listens, sends a request and returns its error.
func get(address string) error {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		_ = conn.Close()
		resp, err := http.Get("http://" + address)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
}
