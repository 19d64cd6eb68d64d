package fleet

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"sumachead/internal/rpc"
)

// newTestSupervisor returns a supervisor that calls data for the directory of each keeper.
func newTestSupervisor(t *testing.T, address string, data func() string) *Supervisor {
	t.Helper()
	pool := &rpc.Pool{}
	t.Cleanup(pool.Close)
	return &Supervisor{Log: hclog.NewNullLogger(), New: func() *Keeper {
		return &Keeper{
			Node: "core-1", Address: address, DataDir: data(), Founders: []string{address}, Heartbeat: time.Second,
			Seeds: func() []string { return []string{address} }, RPC: &rpc.Server{Address: address}, Pool: pool,
			Log: hclog.NewNullLogger(),
		}
	}}
}

func TestDiskThatFailsIsReadAgain(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	var tries atomic.Int32
	h := newTestSupervisor(t, "127.0.0.1:0", func() string {
		if tries.Add(1) <= 2 {
			return filepath.Join(file, "data") // every write fails
		}
		return filepath.Join(dir, "data")
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	for deadline := time.Now().Add(5 * time.Second); h.Keeper() == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no keeper runs after the disk has recovered")
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestDataDirOfAnotherKeeperIsRefused(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	run := func(address string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		return newTestSupervisor(t, address, func() string { return dir }).Run(ctx)
	}
	if err := run("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if err := run("127.0.0.2:0"); !trace.IsBadParameter(err) {
		t.Fatalf("a directory of another keeper: %v", err)
	}
}
