package tcp

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// newLossyDialer returns a dialer whose first lost attempts get no reply, as from a host that
// is down. Later attempts dial the address.
func newLossyDialer(lost int32) *net.Dialer {
	var attempts atomic.Int32
	return &net.Dialer{
		Timeout: 500 * time.Millisecond,
		ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
			if attempts.Add(1) > lost {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		},
	}
}

// outcome is the outcome of a dial.
type outcome string

const (
	connected outcome = "connected"
	refused   outcome = "refused"
	silent    outcome = "silent"
	other     outcome = "other"
)

// outcomeOf returns the outcome that err represents.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return connected
	case errors.Is(err, syscall.ECONNREFUSED):
		return refused
	case isTimeout(err):
		return silent
	}
	return other
}

func TestDialHedged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	const maxDelay = 400 * time.Millisecond // less than the dialer's timeout, with a margin for a busy host
	tests := []struct {
		name    string
		address string
		lost    int32
		want    outcome
		maxTime time.Duration
	}{
		{"accepted", l.Addr().String(), 0, connected, maxDelay},
		{"accepted after two lost attempts", l.Addr().String(), 2, connected, maxDelay},
		{"refused", closed.Addr().String(), 0, refused, maxDelay},
		{"refused after one lost attempt", closed.Addr().String(), 1, refused, maxDelay},
		{"no reply", l.Addr().String(), 100, silent, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			c, err := DialHedged(t.Context(), newLossyDialer(tt.lost), tt.address)
			if c != nil {
				_ = c.Close()
			}
			if got := outcomeOf(err); got != tt.want {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if elapsed := time.Since(start); elapsed > tt.maxTime {
				t.Fatalf("took %v", elapsed)
			}
		})
	}
}
