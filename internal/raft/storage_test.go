package raft

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// Checks that a crash at any byte of a write loses at most that write. Earlier writes, which
// may have been acknowledged to other members, are kept.
func TestStorageSurvivesACrashAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	s, _, err := OpenStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	var sizes []int64
	const writes = 5
	for i := range uint64(writes) {
		e := &wire.LogEntry{Index: i + 1, Term: i + 1, Data: []byte("command")}
		if err := s.Save(&wire.HardState{Term: i + 1, Vote: "k1"}, []*wire.LogEntry{e}); err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, s.segment.Size())
	}
	path := s.segment.Path()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range data {
		complete := 0
		for complete < writes && sizes[complete] <= int64(cut) {
			complete++
		}
		copied := t.TempDir()
		if err := os.WriteFile(filepath.Join(copied, filepath.Base(path)), data[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		r, entries, err := OpenStorage(copied)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if len(entries) != complete || r.state.GetTerm() != uint64(complete) {
			t.Fatalf("cut at %d: %d entries and term %d, want %d of each", cut, len(entries), r.state.GetTerm(), complete)
		}
		_ = r.Close()
	}
}

// Checks that the storage restores saved entries across snapshots and restarts.
func TestStorageRoundTrip(t *testing.T) {
	dir := t.TempDir()
	s, entries, err := OpenStorage(dir)
	if err != nil || len(entries) != 0 {
		t.Fatal(err, entries)
	}
	entry := func(i, term uint64) *wire.LogEntry {
		return &wire.LogEntry{Index: i, Term: term, Data: fmt.Appendf(nil, "%d.%d", i, term)}
	}
	steps := []struct {
		save []*wire.LogEntry
		snap *wire.Snapshot
		keep []*wire.LogEntry
		want []*wire.LogEntry
	}{
		{save: []*wire.LogEntry{entry(1, 1), entry(2, 1), entry(3, 1)}, want: []*wire.LogEntry{entry(1, 1), entry(2, 1), entry(3, 1)}},
		{save: []*wire.LogEntry{entry(2, 2)}, want: []*wire.LogEntry{entry(1, 1), entry(2, 2)}},
		{snap: &wire.Snapshot{Index: 1, Term: 1}, keep: []*wire.LogEntry{entry(2, 2)}, want: []*wire.LogEntry{entry(2, 2)}},
		{save: []*wire.LogEntry{entry(3, 2)}, want: []*wire.LogEntry{entry(2, 2), entry(3, 2)}},
		{snap: &wire.Snapshot{Index: 9, Term: 4}},
		{save: []*wire.LogEntry{entry(10, 4)}, want: []*wire.LogEntry{entry(10, 4)}},
	}
	for i, st := range steps {
		if st.snap != nil {
			err = s.SaveSnapshot(st.snap, st.keep)
		} else {
			err = s.Save(&wire.HardState{Term: uint64(i), Vote: "k1"}, st.save)
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		var got []*wire.LogEntry
		if s, got, err = OpenStorage(dir); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(st.want, got, cmp.Comparer(proto.Equal)); diff != "" {
			t.Fatalf("step %d (-want +got):\n%s", i, diff)
		}
	}
}
