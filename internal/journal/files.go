package journal

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/wal"
)

// compactBytes is the size of the log at which a snapshot replaces it.
const compactBytes = 16 << 20

// files are a snapshot and the log that follows it. Both carry a generation
// number; a new generation replaces the old one.
type files struct {
	dir        string
	generation uint64
	log        *wal.Log
}

func (f *files) snapshotPath(g uint64) string {
	return filepath.Join(f.dir, fmt.Sprintf("snapshot-%012d", g))
}

func (f *files) logPath(g uint64) string {
	return filepath.Join(f.dir, fmt.Sprintf("log-%012d", g))
}

// openFiles reads the newest generation.
func openFiles(dir string, restore, replay func([]byte) error) (*files, error) {
	f := &files{dir: dir}
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
	f.log, err = wal.Open(f.logPath(f.generation), replay)
	return f, err
}

// replace starts a new generation with a snapshot.
func (f *files) replace(snapshot []byte) error {
	next := f.generation + 1
	if err := wal.WriteFile(f.snapshotPath(next), snapshot); err != nil {
		return err
	}
	log, err := wal.Open(f.logPath(next), func([]byte) error { return nil })
	if err != nil {
		return err
	}
	old := f.generation
	if err := f.log.Close(); err != nil {
		return err
	}
	f.log, f.generation = log, next
	for _, path := range []string{f.logPath(old), f.snapshotPath(old)} {
		if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
			return trace.ConvertSystemError(err)
		}
	}
	return wal.SyncDir(f.dir)
}

// Run syncs what is written until ctx ends. An error means that the disk has
// failed: the process must not go on.
func (j *Journal) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			j.fail(context.Canceled)
			return trace.Wrap(j.files.log.Close())
		case <-j.wake:
		}
		if err := j.sync(); err != nil {
			j.fail(err)
			return trace.Wrap(err, "the journal of hall %s", j.Hall)
		}
	}
}

// sync writes the pending records with one sync and answers those who wait.
func (j *Journal) sync() error {
	j.mu.Lock()
	batch := &wire.JournalBatch{Records: j.pending}
	waiting := j.waiting
	j.waiting = nil
	j.mu.Unlock()
	err := j.persist(batch)
	for _, w := range waiting {
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
	if err := j.files.log.Append(data); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = j.pending[n:]
	if j.files.log.Size() < compactBytes || len(j.pending) > 0 {
		return nil
	}
	snapshot, err := j.snapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	return j.files.replace(snapshot)
}

// fail ends all steps, those that wait and those to come.
func (j *Journal) fail(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failed = err
	for _, w := range j.waiting {
		w <- err
	}
	j.waiting = nil
}
