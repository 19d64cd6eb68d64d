package rpc

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"sumachead/api/wire"
)

// slow is a service that answers late.
type slow struct{ release chan struct{} }

// Answer answers once it is released.
func (s *slow) Answer(*wire.Empty, *wire.Empty) error {
	<-s.release
	return nil
}

// A process that calls many others, each of them seldom, holds connections to the few that it has
// called lately; one under which a call runs stays, and the next call after the end works.
func TestConnectionsThatRestEnd(t *testing.T) {
	const others = 40
	p := &Pool{}
	defer p.Close()
	var addresses []string
	for range others {
		address, stop := serveEcho(t, "")
		defer stop()
		addresses = append(addresses, address)
	}
	busy := &slow{release: make(chan struct{})}
	s := &Server{Address: freeAddressOf(t)}
	if err := s.Register("Slow", busy); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	go func() { _ = s.Run() }() // ends by Close
	var late sync.WaitGroup
	late.Go(func() {
		if _, err := Call[wire.Empty](context.Background(), p.Get(s.Address), "Slow.Answer", &wire.Empty{}); err != nil {
			t.Errorf("the call that was under way: %v", err)
		}
	})
	ask := func(address string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := Call[wire.HelloReply](ctx, p.Get(address), "Echo.Answer", &wire.HelloReply{})
		return err
	}
	for _, a := range addresses {
		if err := ask(a); err != nil {
			t.Fatal(err)
		}
	}
	if n := p.Open(); n != others+1 {
		t.Fatalf("%d connections, want %d", n, others+1)
	}
	p.Tidy(time.Now())
	if n := p.Open(); n != others+1 {
		t.Errorf("%d connections are left of %d that were used just now", n, others+1)
	}
	p.Tidy(time.Now().Add(idleFor + time.Second))
	if n := p.Open(); n != 1 {
		t.Errorf("%d connections are left, one has a call under way", n)
	}
	for _, a := range addresses {
		if err := ask(a); err != nil {
			t.Errorf("after a rest: %v", err)
		}
	}
	close(busy.release)
	late.Wait()
}

// Calls that begin while connections are tidied are not lost.
func TestTidyingLosesNoCall(t *testing.T) {
	address, stop := serveEcho(t, "")
	defer stop()
	p := &Pool{}
	defer p.Close()
	var all sync.WaitGroup
	end := time.Now().Add(300 * time.Millisecond)
	all.Go(func() {
		for time.Now().Before(end) {
			p.Tidy(time.Now().Add(time.Hour))
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

// freeAddressOf returns an address where nobody listens.
func freeAddressOf(t *testing.T) string {
	t.Helper()
	lis, address := listen(t)
	_ = lis.Close()
	return address
}
