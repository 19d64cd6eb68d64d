package fleet

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/registry"
	"sumachead/internal/wal"
)

// After a restart of all keepers, the next leader knows the ready and the leaving servers without
// a heartbeat.
func TestServersAreKnownAfterRestartOfAllKeepers(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader, _ := c.awaitLeader()
	for i := range 4 {
		r := &wire.ServerRecord{Id: fmt.Sprint("s", i), Service: "chat", Address: "10.0.0.1:80", Sequence: 1}
		if err := leader.HandleHeartbeat(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	c.eventually("four servers saved by all keepers", func() bool {
		for i := range c.members {
			data, err := wal.ReadFile(filepath.Join(c.data(i), recordsFile))
			known := &wire.ServerRecords{}
			if err != nil || proto.Unmarshal(data, known) != nil || len(known.GetServers()) != 4 {
				return false
			}
		}
		return true
	})
	if err := leader.HandleHeartbeat(context.Background(), &wire.ServerRecord{Id: "s0", State: wire.ServerState_SERVER_STATE_LEAVING}); err != nil {
		t.Fatal(err)
	}
	for i := range c.members {
		c.halt(i)
	}
	for i := range c.members {
		c.start(i, false)
	}
	next, _ := c.awaitLeader()
	if diff := cmp.Diff(3, countKnown(next)); diff != "" {
		t.Fatalf("servers known to the next leader (-want +got):\n%s", diff)
	}
}

// Saving without known servers is not an error.
func TestNoServersAreNotWritten(t *testing.T) {
	k := &Keeper{DataDir: t.TempDir(), servers: &registry.Table{Heartbeat: time.Second}}
	if err := k.saveRecords(); err != nil {
		t.Fatalf("writing no servers: %v", err)
	}
	if _, err := k.servers.ApplyHeartbeat(&wire.ServerRecord{Id: "i-1", Service: "pool", Sequence: 1}, time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := k.saveRecords(); err != nil {
		t.Fatalf("writing a server: %v", err)
	}
}
