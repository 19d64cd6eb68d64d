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

// After a kill of all keepers a leader would know no server before the server's next
// heartbeat, which may take an interval of heartbeats. So each keeper keeps the
// servers that it knows in a file. What the file says is a hint: a server that has
// ended meanwhile refuses connections or names another life, and falls silent.

const (
	// recordsFile is the file in a keeper's folder that holds server records.
	recordsFile = "servers"
	// recordsEvery is how often the file is written if there is something new: a
	// server that came just before a kill is known by its next heartbeat.
	recordsEvery = 2 * time.Second
)

// loadRecords takes in the servers that were known before this process started. A
// file that is missing or damaged is as good as an empty one.
func (k *Keeper) loadRecords() {
	data, err := wal.ReadFile(filepath.Join(k.Data, recordsFile))
	if trace.IsNotFound(err) {
		return
	}
	known := &wire.ServerRecords{}
	if err == nil {
		err = proto.Unmarshal(data, known)
	}
	if err != nil {
		k.Log.Warn("The servers known before can't be read.", "error", err)
		return
	}
	k.servers.Load(known.GetServers(), time.Now())
	k.Log.Info("Servers are known from before.", "servers", len(known.GetServers()))
}

// recordsLoop keeps the file up to date. Each change that followers are told of moves
// the table's position.
func (k *Keeper) recordsLoop(ctx context.Context) error {
	type position struct {
		history string
		version uint64
	}
	var written position
	return loop.Every(ctx, recordsEvery, func() {
		var now position
		now.history, now.version = k.servers.Position()
		if now == written {
			return
		}
		if err := k.saveRecords(); err != nil {
			k.lines.Info(k.Log, "The servers that are known were not written.", "error", err)
			return
		}
		written = now
	})
}

// saveRecords writes the file; with no server known there is nothing to write.
func (k *Keeper) saveRecords() error {
	known := k.servers.Known()
	if len(known) == 0 {
		return nil
	}
	data, err := proto.Marshal(&wire.ServerRecords{Servers: known})
	if err != nil {
		return trace.Wrap(err)
	}
	return wal.WriteFile(filepath.Join(k.Data, recordsFile), data)
}
