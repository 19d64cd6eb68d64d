package telemetry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// freeAddress returns an address of this host that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func TestServerBreaksOffOnlyWhereItIsAskedTo(t *testing.T) {
	tests := []struct {
		name     string
		breakOff bool
	}{
		{"an error where requests must finish", false},
		{"broken off", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entered, release := make(chan struct{}), make(chan struct{})
			defer close(release)
			s := &HTTPServer{
				Address: freeAddress(t), Drain: 20 * time.Millisecond, BreakOff: tt.breakOff,
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
			if err := <-ended; (err == nil) != tt.breakOff {
				t.Fatalf("the server ended with %v", err)
			}
			if !tt.breakOff {
				return
			}
			select {
			case err := <-answered:
				if err == nil {
					t.Fatal("a request that was broken off looks answered")
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the request was not broken off")
			}
		})
	}
}

// get asks until the server listens, and returns how its answer failed.
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
