package raft

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/wal"
)

const (
	snapshotFile         = "snapshot"
	preparedSnapshotFile = "snapshot.next"
	segmentPrefix        = "log-"
)

// Storage persists one group's log, vote and latest snapshot in a directory. It is not
// safe for concurrent use.
type Storage struct {
	dir           string
	segment       *wal.Log
	segmentNumber uint64
	state         *wire.HardState
	snapshot      *wire.Snapshot
}

// loader accumulates the state and the entries read from the segments.
type loader struct {
	snapshot  *wire.Snapshot
	state     *wire.HardState
	baseIndex uint64
	baseTerm  uint64
	entries   []*wire.LogEntry
	// commits are the commit indexes that were known when the entries were written.
	commits []uint64
	// gap states that entries are missing that the snapshot covers.
	gap bool
}

// OpenStorage reads the directory and returns the entries that follow the snapshot. It
// returns a [*wal.CorruptionError] if the files cannot be trusted.
func OpenStorage(dir string) (*Storage, []*wire.LogEntry, error) {
	if err := wal.MakeDir(dir); err != nil {
		return nil, nil, err
	}
	s := &Storage{dir: dir, state: &wire.HardState{}, snapshot: &wire.Snapshot{}}
	if err := s.loadSnapshot(); err != nil {
		return nil, nil, err
	}
	l := &loader{snapshot: s.snapshot, state: s.state}
	if err := s.openSegments(l); err != nil {
		return nil, nil, err
	}
	s.state = l.state
	entries, whole, err := l.entriesAfterSnapshot()
	if err == nil && !whole {
		// A crash between the activation of the snapshot and the start of its log segment: without the
		// rebase, what is appended next would not follow the entries in the log.
		err = s.rebase(s.segment, s.snapshot, entries)
	}
	if err != nil {
		_ = s.Close()
		return nil, nil, err
	}
	return s, entries, nil
}

// openSegments replays all segments and keeps the last one open.
func (s *Storage) openSegments(l *loader) error {
	numbers, err := listSegments(s.dir)
	if err != nil {
		return err
	}
	if len(numbers) == 0 {
		numbers = []uint64{1}
	}
	for _, n := range numbers {
		if s.segment != nil {
			if err := s.segment.Close(); err != nil {
				return err
			}
		}
		if s.segment, err = wal.Open(s.segmentPath(n), l.replay); err != nil {
			return err
		}
		s.segmentNumber = n
	}
	return nil
}

// rebase records in a segment that the log now begins after a snapshot, with the entries that follow it.
func (s *Storage) rebase(log *wal.Log, snap *wire.Snapshot, after []*wire.LogEntry) error {
	return s.write(log, &wire.LogRecord{
		State: s.state, Entries: after,
		Rebase: true, BaseIndex: snap.GetIndex(), BaseTerm: snap.GetTerm(),
	})
}

func (s *Storage) loadSnapshot() error {
	data, err := wal.ReadFile(filepath.Join(s.dir, snapshotFile))
	if trace.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return trace.Wrap(proto.Unmarshal(data, s.snapshot), "decoding snapshot in %s", s.dir)
}

// listSegments returns the numbers of the log segments in ascending order.
func listSegments(dir string) ([]uint64, error) {
	files, err := os.ReadDir(dir)
	if err != nil && !os.IsNotExist(err) {
		return nil, trace.ConvertSystemError(err)
	}
	var numbers []uint64
	for _, f := range files {
		var n uint64
		if !strings.HasPrefix(f.Name(), segmentPrefix) {
			continue
		}
		if _, err := fmt.Sscanf(f.Name(), segmentPrefix+"%d", &n); err == nil {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (s *Storage) segmentPath(n uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%012d", segmentPrefix, n))
}

// replay applies one record of the log.
func (l *loader) replay(record []byte) error {
	var r wire.LogRecord
	if err := proto.Unmarshal(record, &r); err != nil {
		return trace.Wrap(err)
	}
	if r.GetState() != nil {
		l.state = r.GetState()
	}
	if r.GetRebase() {
		l.rebase(r.GetBaseIndex(), r.GetBaseTerm())
	}
	for _, e := range r.GetEntries() {
		if err := l.append(e); err != nil {
			return err
		}
	}
	return nil
}

// rebase drops the entries: the next ones follow the entry with the given index and term.
func (l *loader) rebase(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries, l.commits = index, term, nil, nil
}

// append adds an entry; it replaces those with its index and higher ones.
func (l *loader) append(e *wire.LogEntry) error {
	at := int64(e.GetIndex()) - int64(l.baseIndex) - 1
	if at > int64(len(l.entries)) && e.GetIndex() <= l.snapshot.GetIndex()+1 {
		// Versions that did not rebase a log at its snapshot appended the entries after it like this.
		var term uint64
		if e.GetIndex() == l.snapshot.GetIndex()+1 {
			term = l.snapshot.GetTerm()
		}
		l.rebase(e.GetIndex()-1, term)
		l.gap, at = true, 0
	}
	if at < 0 || at > int64(len(l.entries)) {
		return &wal.CorruptionError{
			File: "log", Reason: fmt.Sprintf("entry %d does not follow entry %d", e.GetIndex(), l.baseIndex+uint64(len(l.entries))),
		}
	}
	l.entries = append(l.entries[:at], e)
	l.commits = append(l.commits[:at], l.state.GetCommit())
	return nil
}

// entriesAfterSnapshot returns the entries that follow the snapshot. They are not whole if the log does
// not contain the snapshot's last entry followed by them, so that it must be rebased.
func (l *loader) entriesAfterSnapshot() (entries []*wire.LogEntry, whole bool, err error) {
	at := int64(l.snapshot.GetIndex()) - int64(l.baseIndex)
	switch {
	case at < 0:
		return nil, false, &wal.CorruptionError{
			File: snapshotFile, Reason: fmt.Sprintf("the snapshot ends at entry %d, but the log begins after entry %d", l.snapshot.GetIndex(), l.baseIndex),
		}
	case at > int64(len(l.entries)):
		return nil, false, nil
	}
	term := l.baseTerm
	if at > 0 {
		term = l.entries[at-1].GetTerm()
	}
	after := slices.Clone(l.entries[at:])
	if term == l.snapshot.GetTerm() {
		return after, !l.gap, nil
	}
	// The snapshot has replaced the entries of this log. Only those that were written when the snapshot's last
	// entry was known to be committed follow it.
	if len(after) == 0 || l.commits[at] < l.snapshot.GetIndex() {
		return nil, false, nil
	}
	return after, false, nil
}

// Save persists the state and new entries with one sync.
func (s *Storage) Save(state *wire.HardState, entries []*wire.LogEntry) error {
	if state == nil && len(entries) == 0 {
		return nil
	}
	if state != nil {
		s.state = state
	}
	return s.write(s.segment, &wire.LogRecord{State: state, Entries: entries})
}

func (s *Storage) write(log *wal.Log, r *wire.LogRecord) error {
	data, err := proto.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	return log.Append(data)
}

// SaveSnapshot persists a snapshot and starts a new log segment that contains only the
// entries after it.
func (s *Storage) SaveSnapshot(snap *wire.Snapshot, after []*wire.LogEntry) error {
	if err := s.PrepareSnapshot(snap); err != nil {
		return err
	}
	return s.ActivateSnapshot(snap, after)
}

// PrepareSnapshot writes a snapshot to a temporary file. It may run concurrently with
// other methods, but not with itself.
func (s *Storage) PrepareSnapshot(snap *wire.Snapshot) error {
	data, err := proto.Marshal(snap)
	if err != nil {
		return trace.Wrap(err)
	}
	return wal.WriteFile(filepath.Join(s.dir, preparedSnapshotFile), data)
}

// ActivateSnapshot replaces the current snapshot with the prepared one and starts a new log
// segment that contains only the entries after it.
func (s *Storage) ActivateSnapshot(snap *wire.Snapshot, after []*wire.LogEntry) error {
	if err := wal.Rename(filepath.Join(s.dir, preparedSnapshotFile), filepath.Join(s.dir, snapshotFile)); err != nil {
		return err
	}
	if err := wal.SyncDir(s.dir); err != nil {
		return err
	}
	s.snapshot = snap
	next, err := wal.Open(s.segmentPath(s.segmentNumber+1), func([]byte) error { return nil })
	if err != nil {
		return err
	}
	if err := s.rebase(next, snap, after); err != nil {
		return err
	}
	old := s.segment
	s.segment = next
	s.segmentNumber++
	if err := old.Close(); err != nil {
		return err
	}
	return s.removeSegmentsBefore(s.segmentNumber)
}

// removeSegmentsBefore deletes the log segments older than number.
func (s *Storage) removeSegmentsBefore(number uint64) error {
	numbers, err := listSegments(s.dir)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= number {
			continue
		}
		if err := wal.Remove(s.segmentPath(n)); err != nil {
			return err
		}
	}
	return wal.SyncDir(s.dir)
}

// LogBytes returns the size of the log since the last snapshot.
func (s *Storage) LogBytes() int64 { return s.segment.Size() }

// Close closes the current log segment.
func (s *Storage) Close() error { return s.segment.Close() }
