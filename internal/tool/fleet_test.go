package tool

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/raft"
	"sumachead/internal/rpc"
)

// electingKeeper is a keeper that becomes the leader after some calls.
type electingKeeper struct{ callsLeft atomic.Int32 }

// Suspects is the method of the same name of a keeper.
func (k *electingKeeper) Suspects(_ *wire.Empty, _ *wire.Suspects) error {
	if k.callsLeft.Add(-1) >= 0 {
		return keeperclient.EncodeError(&raft.NotLeaderError{})
	}
	return nil
}

// Guards against commands that fail because the keepers elect a leader at that time.
func TestCommandsWaitForALeader(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	_ = lis.Close()
	k := &electingKeeper{}
	s := &rpc.Server{Address: address}
	if err := errors.Join(s.Register("Fleet", k), s.Listen()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	go func() { _ = s.Run() }()
	tests := []struct {
		calls   int32
		timeout time.Duration
		ok      bool
	}{{0, 5 * time.Second, true}, {2, 5 * time.Second, true}, {1 << 20, 500 * time.Millisecond, false}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.calls), func(t *testing.T) {
			k.callsLeft.Store(tt.calls)
			o := &fleetOptions{Keepers: []string{address}}
			_, err := callLeader[wire.Suspects](&app{globalOptions: globalOptions{Timeout: tt.timeout}}, o, "Fleet.Suspects", &wire.Empty{})
			if ok := err == nil; ok != tt.ok {
				t.Errorf("error %v, success wanted: %t", err, tt.ok)
			}
		})
	}
}
