package fleet

import (
	"context"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/wal"
)

// After a restart of all keepers, a leader would know no server before the server's next
// heartbeat, which may take a whole heartbeat interval. Each keeper therefore saves the servers
// that it knows to a file. The content is only a hint: a server that has stopped in the
// meantime refuses connections or reports another incarnation, and becomes silent.

const (
	// recordsFile is the file in the data directory that holds server records.
	recordsFile = "servers"
	// recordsSaveInterval is how often the file is written if there are changes; a server that
	// registered just before a crash is known again by its next heartbeat.
	recordsSaveInterval = 2 * time.Second
)

// loadRecords loads the servers that were known before this process started. A missing or corrupt
// file counts as empty.
func (k *Keeper) loadRecords() {
	data, err := wal.ReadFile(filepath.Join(k.DataDir, recordsFile))
	if trace.IsNotFound(err) {
		return
	}
	known := &wire.ServerRecords{}
	if err == nil {
		err = proto.Unmarshal(data, known)
	}
	if err != nil {
		k.Log.Warn("Failed to read saved server records.", "error", err)
		return
	}
	k.servers.Restore(known.GetServers(), time.Now())
	k.Log.Info("Loaded saved server records.", "servers", len(known.GetServers()))
}

// recordsLoop keeps the file up to date. Every change that followers are told of advances the
// table's position.
func (k *Keeper) recordsLoop(ctx context.Context) error {
	type position struct {
		history string
		version uint64
	}
	var written position
	return loop.Every(ctx, recordsSaveInterval, func() {
		var now position
		now.history, now.version = k.servers.Position()
		if now == written {
			return
		}
		if err := k.saveRecords(); err != nil {
			k.limitedLog.Info(k.Log, "Failed to save server records.", "error", err)
			return
		}
		written = now
	})
}

// saveRecords writes the file; it does nothing if no server is known.
func (k *Keeper) saveRecords() error {
	known := k.servers.Records()
	if len(known) == 0 {
		return nil
	}
	data, err := proto.Marshal(&wire.ServerRecords{Servers: known})
	if err != nil {
		return trace.Wrap(err)
	}
	return wal.WriteFile(filepath.Join(k.DataDir, recordsFile), data)
}
