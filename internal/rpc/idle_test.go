package rpc

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"sumachead/api/wire"
)

// slow is a service whose replies the test delays.
type slow struct{ release chan struct{} }

// Answer replies once release is closed.
func (s *slow) Answer(*wire.Empty, *wire.Empty) error {
	<-s.release
	return nil
}

// Checks that a process that rarely calls each of many peers keeps connections only to those
// that it called recently. A connection with a call in flight stays open, and a call after the
// connection was closed dials again.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const peers = 40
	p := &Pool{}
	defer p.Close()
	var addresses []string
	for range peers {
		address, stop := serveEcho(t, "")
		defer stop()
		addresses = append(addresses, address)
	}
	busy := &slow{release: make(chan struct{})}
	s := &Server{Address: freeAddress(t)}
	if err := s.Register("Slow", busy); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	go func() { _ = s.Run() }() // ended by Close
	var inFlight sync.WaitGroup
	inFlight.Go(func() {
		if _, err := Call[wire.Empty](context.Background(), p.Get(s.Address), "Slow.Answer", &wire.Empty{}); err != nil {
			t.Errorf("the call in flight: %v", err)
		}
	})
	call := func(address string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := Call[wire.HelloReply](ctx, p.Get(address), "Echo.Answer", &wire.HelloReply{})
		return err
	}
	for _, a := range addresses {
		if err := call(a); err != nil {
			t.Fatal(err)
		}
	}
	if n := p.OpenConnections(); n != peers+1 {
		t.Fatalf("%d connections, want %d", n, peers+1)
	}
	p.CloseIdle(time.Now())
	if n := p.OpenConnections(); n != peers+1 {
		t.Errorf("%d connections are left of %d that were just used", n, peers+1)
	}
	p.CloseIdle(time.Now().Add(idleTimeout + time.Second))
	if n := p.OpenConnections(); n != 1 {
		t.Errorf("%d connections are left, want the one with a call in flight", n)
	}
	for _, a := range addresses {
		if err := call(a); err != nil {
			t.Errorf("call after the idle timeout: %v", err)
		}
	}
	close(busy.release)
	inFlight.Wait()
}

// Checks that no call fails that starts while idle connections are being closed.
func TestCloseIdleLosesNoCall(t *testing.T) {
	address, stop := serveEcho(t, "")
	defer stop()
	p := &Pool{}
	defer p.Close()
	var all sync.WaitGroup
	end := time.Now().Add(300 * time.Millisecond)
	all.Go(func() {
		for time.Now().Before(end) {
			p.CloseIdle(time.Now().Add(time.Hour))
		}
	})
	for i := range 4 {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r, err := Call[wire.HelloReply](context.Background(), p.Get(address), "Echo.Answer", &wire.HelloReply{Boot: fmt.Sprint(i, n)})
				if err != nil || r.GetBoot() != fmt.Sprint(i, n) {
					t.Errorf("call %d of %d: %v, %v", n, i, r, err)
					return
				}
			}
		})
	}
	all.Wait()
}

// freeAddress returns an address without a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, address := listen(t)
	_ = lis.Close()
	return address
}
