package rpc

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead/api/wire"
)

// echo is a service for tests.
type echo struct{}

// Answer replies with the boot id of the request.
func (echo) Answer(r *wire.HelloReply, reply *wire.HelloReply) error {
	reply.Boot = r.GetBoot()
	return nil
}

// Refuse returns an error.
func (echo) Refuse(*wire.HelloReply, *wire.HelloReply) error { return errors.New("refused on purpose") }

// serveEcho starts a server at address, or at a free one if address is empty. It returns the
// address and a function that stops the server.
func serveEcho(t *testing.T, address string) (string, func()) {
	t.Helper()
	if address == "" {
		var lis net.Listener
		lis, address = listen(t)
		_ = lis.Close()
	}
	s := &Server{Address: address}
	if err := s.Register("Echo", echo{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run() // ended by Close
	}()
	return address, func() {
		s.Close()
		<-done
	}
}

// listen returns a listener, on which the caller accepts connections, and its address.
func listen(t *testing.T) (net.Listener, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis, lis.Addr().String()
}

// listenAndClose returns an address at which the first connection is closed after a byte
// was read.
func listenAndClose(t *testing.T) string {
	lis, address := listen(t)
	go func() {
		if c, err := lis.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	return address
}

// Checks the errors of failed calls. Callers derive from them whether a request may have run.
func TestCallErrors(t *testing.T) {
	served, stop := serveEcho(t, "")
	defer stop()
	unused, end := serveEcho(t, "")
	end()
	_, unresponsive := listen(t)
	type outcome struct {
		NotSent, Refused, TimedOut, Failed bool
		Message                            string
	}
	tests := []struct {
		name    string
		address string
		method  string
		want    outcome
	}{
		{"successful", served, "Echo.Answer", outcome{}},
		{"error reply", served, "Echo.Refuse", outcome{Failed: true, Message: "refused on purpose"}},
		{"unknown method", served, "Echo.None", outcome{Failed: true, Message: "can't find"}},
		{"no listener", unused, "Echo.Answer", outcome{NotSent: true, Refused: true, Failed: true}},
		{"connection closed after a byte was read", listenAndClose(t), "Echo.Answer", outcome{Failed: true}},
		{"no reply before the deadline", unresponsive, "Echo.Answer", outcome{TimedOut: true, Failed: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			reply, err := Call[wire.HelloReply](ctx, &Client{Address: tt.address}, tt.method, &wire.HelloReply{Boot: "b"})
			got := outcome{
				NotSent: errors.Is(err, ErrNotSent), Refused: IsConnectionRefused(err),
				TimedOut: errors.Is(err, context.DeadlineExceeded), Failed: err != nil,
			}
			if err != nil && strings.Contains(err.Error(), tt.want.Message) {
				got.Message = tt.want.Message
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("%v (-want +got):\n%s", err, diff)
			}
			if err == nil && reply.GetBoot() != "b" {
				t.Errorf("replied %q", reply.GetBoot())
			}
		})
	}
}

// Checks that the next call reaches a restarted server. The connection that the server
// closed on its shutdown must not make the call fail.
func TestCallReconnectsToRestartedServer(t *testing.T) {
	address, stop := serveEcho(t, "")
	c := &Client{Address: address}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	call := func() error {
		_, err := Call[wire.HelloReply](ctx, c, "Echo.Answer", &wire.HelloReply{})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	stop()
	time.Sleep(2 * redialInterval) // the client has read the end of the connection by then
	if err := call(); !errors.Is(err, ErrNotSent) {
		t.Fatalf("call to a stopped server: %v, want ErrNotSent", err)
	}
	_, stop = serveEcho(t, address)
	defer stop()
	time.Sleep(2 * redialInterval)
	if err := call(); err != nil {
		t.Fatalf("call to a restarted server: %v", err)
	}
}
