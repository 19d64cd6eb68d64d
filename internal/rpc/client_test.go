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

// echo is a service of tests.
type echo struct{}

// Answer answers with the same.
func (echo) Answer(r *wire.HelloReply, reply *wire.HelloReply) error {
	reply.Boot = r.GetBoot()
	return nil
}

// Refuse answers with an error.
func (echo) Refuse(*wire.HelloReply, *wire.HelloReply) error { return errors.New("refused on purpose") }

// serveEcho starts a server at an address, any if it is empty, and returns where it is and
// what ends it.
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
		_ = s.Run() // ends by Close
	}()
	return address, func() {
		s.Close()
		<-done
	}
}

// listen returns a listener that accepts nothing by itself, and its address.
func listen(t *testing.T) (net.Listener, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis, lis.Addr().String()
}

// closing returns an address where a connection is closed once something was read.
func closing(t *testing.T) string {
	lis, address := listen(t)
	go func() {
		if c, err := lis.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	return address
}

// What a failed call says decides whether a request may have run.
func TestWhatAFailedCallSays(t *testing.T) {
	served, stop := serveEcho(t, "")
	defer stop()
	nobody, end := serveEcho(t, "")
	end()
	_, mute := listen(t)
	type outcome struct {
		NotSent, Refused, TimeUp, Failed bool
		Says                             string
	}
	tests := []struct {
		name    string
		address string
		method  string
		want    outcome
	}{
		{"answered", served, "Echo.Answer", outcome{}},
		{"answered with an error", served, "Echo.Refuse", outcome{Failed: true, Says: "refused on purpose"}},
		{"no such method", served, "Echo.None", outcome{Failed: true, Says: "can't find"}},
		{"nobody listens", nobody, "Echo.Answer", outcome{NotSent: true, Refused: true, Failed: true}},
		{"closed after it was read", closing(t), "Echo.Answer", outcome{Failed: true}},
		{"no answer in time", mute, "Echo.Answer", outcome{TimeUp: true, Failed: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			reply, err := Call[wire.HelloReply](ctx, &Client{Address: tt.address}, tt.method, &wire.HelloReply{Boot: "b"})
			got := outcome{
				NotSent: errors.Is(err, ErrNotSent), Refused: IsRefused(err),
				TimeUp: errors.Is(err, context.DeadlineExceeded), Failed: err != nil,
			}
			if err != nil && strings.Contains(err.Error(), tt.want.Says) {
				got.Says = tt.want.Says
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("%v (-want +got):\n%s", err, diff)
			}
			if err == nil && reply.GetBoot() != "b" {
				t.Errorf("answered %q", reply.GetBoot())
			}
		})
	}
}

// A server that has restarted is reached by the next call: a connection that it closed
// before is no failure of the call.
func TestRestartedServerIsCalledAgain(t *testing.T) {
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
	time.Sleep(2 * redialAfter) // the client reads that the connection has ended
	if err := call(); !errors.Is(err, ErrNotSent) {
		t.Fatalf("a server that is down: %v, want a call that was not sent", err)
	}
	_, stop = serveEcho(t, address)
	defer stop()
	time.Sleep(2 * redialAfter)
	if err := call(); err != nil {
		t.Fatalf("a server that is back: %v", err)
	}
}
