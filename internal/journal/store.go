package journal

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/wal"
)

// compactionThresholdBytes is the log size at which a snapshot replaces the log.
const compactionThresholdBytes = 16 << 20

// store holds a snapshot and the log of the records after it. The names of both
// files contain a generation number; each compaction starts a new generation.
type store struct {
	dir        string
	generation uint64
	log        *wal.Log
}

func (f *store) snapshotPath(g uint64) string {
	return filepath.Join(f.dir, fmt.Sprintf("snapshot-%012d", g))
}

func (f *store) logPath(g uint64) string {
	return filepath.Join(f.dir, fmt.Sprintf("log-%012d", g))
}

// openStore opens the newest generation and replays it.
func openStore(dir string, restore, replay func([]byte) error) (*store, error) {
	if err := wal.MakeDir(dir); err != nil {
		return nil, err
	}
	f := &store{dir: dir}
	names, err := filepath.Glob(filepath.Join(dir, "snapshot-*"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, n := range names {
		var g uint64
		if _, err := fmt.Sscanf(filepath.Base(n), "snapshot-%d", &g); err == nil && filepath.Ext(n) == "" {
			f.generation = max(f.generation, g)
		}
	}
	if f.generation > 0 {
		data, err := wal.ReadFile(f.snapshotPath(f.generation))
		if err != nil {
			return nil, err
		}
		if err := restore(data); err != nil {
			return nil, err
		}
	}
	if f.log, err = wal.Open(f.logPath(f.generation), replay); err != nil {
		return nil, err
	}
	return f, f.removeEarlier()
}

// removeEarlier removes the files of earlier generations, which a crash during a compaction leaves.
func (f *store) removeEarlier() error {
	for _, kind := range []string{"log-", "snapshot-"} {
		names, err := filepath.Glob(filepath.Join(f.dir, kind+"*"))
		if err != nil {
			return trace.Wrap(err)
		}
		for _, n := range names {
			var g uint64
			if _, err := fmt.Sscanf(filepath.Base(n), kind+"%d", &g); err != nil || g >= f.generation {
				continue
			}
			if err := wal.Remove(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// compact starts a new generation with a snapshot and deletes the previous one.
func (f *store) compact(snapshot []byte) error {
	next := f.generation + 1
	if err := wal.WriteFile(f.snapshotPath(next), snapshot); err != nil {
		return err
	}
	log, err := wal.Open(f.logPath(next), func([]byte) error { return nil })
	if err != nil {
		return err
	}
	if err := f.log.Close(); err != nil {
		return err
	}
	f.log, f.generation = log, next
	if err := f.removeEarlier(); err != nil {
		return err
	}
	return wal.SyncDir(f.dir)
}

// Run syncs appended records to disk until ctx is done. An error means that the
// disk has failed and the process must exit.
func (j *Journal) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			j.fail(context.Canceled)
			return trace.Wrap(j.store.log.Close())
		case <-j.wake:
		}
		if err := j.sync(); err != nil {
			j.fail(err)
			return trace.Wrap(err, "the journal of hall %s", j.Hall)
		}
	}
}

// sync writes all pending records with one disk sync and wakes the waiters.
func (j *Journal) sync() error {
	j.mu.Lock()
	batch := &wire.JournalBatch{Records: j.pending}
	waiters := j.waiters
	j.waiters = nil
	j.mu.Unlock()
	err := j.persist(batch)
	for _, w := range waiters {
		w <- err
	}
	return err
}

func (j *Journal) persist(b *wire.JournalBatch) error {
	n := len(b.GetRecords())
	if n == 0 {
		return nil
	}
	data, err := proto.Marshal(b)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := j.store.log.Append(data); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = j.pending[n:]
	if j.store.log.Size() < compactionThresholdBytes || len(j.pending) > 0 {
		return nil
	}
	snapshot, err := j.snapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	return j.store.compact(snapshot)
}

// fail makes all waiting and future updates fail with err.
func (j *Journal) fail(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failure = err
	for _, w := range j.waiters {
		w <- err
	}
	j.waiters = nil
}
