package wal

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func collect(into *[]string) func([]byte) error {
	return func(r []byte) error {
		*into = append(*into, string(r))
		return nil
	}
}

// written returns a log file with the records.
func written(t *testing.T, records ...string) (path string, data []byte) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "log")
	l, err := Open(path, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if err := l.Append([]byte(r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	data, err = os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, data
}

// A crash while the last record is written leaves any part of it: the records
// before it are kept, and the log goes on.
func TestTornTailIsCut(t *testing.T) {
	path, data := written(t, "one", "two", "three")
	last := len(data) - headerBytes - len("three")
	for cut := last; cut < len(data); cut++ {
		if err := os.WriteFile(path, data[:cut], fileMode); err != nil {
			t.Fatal(err)
		}
		var got []string
		l, err := Open(path, collect(&got))
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if err := l.Append([]byte("four")); err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		got = nil
		if l, err = Open(path, collect(&got)); err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		if diff := cmp.Diff([]string{"one", "two", "four"}, got); diff != "" {
			t.Fatalf("cut at %d (-want +got):\n%s", cut, diff)
		}
	}
}

// A flipped bit anywhere before the last record is damage: synced records
// would be lost. In the last record it can't be told from a torn write.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	path, data := written(t, "one", "two", "three")
	last := len(data) - headerBytes - len("three")
	for i := range last {
		bad := append([]byte(nil), data...)
		bad[i] ^= 0x10
		if err := os.WriteFile(path, bad, fileMode); err != nil {
			t.Fatal(err)
		}
		_, err := Open(path, func([]byte) error { return nil })
		var damage *DamageError
		if !errors.As(err, &damage) || damage.File != path {
			t.Fatalf("byte %d: want a DamageError of %s, got %v", i, path, err)
		}
	}
}

func TestWriteFileReplacesWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for _, want := range []string{"first", "second"} {
		if err := WriteFile(path, []byte(want)); err != nil {
			t.Fatal(err)
		}
		got, err := ReadFile(path)
		if err != nil || string(got) != want {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if err := os.WriteFile(path, []byte("xxxxxxxxxxxx"), fileMode); err != nil {
		t.Fatal(err)
	}
	var damage *DamageError
	if _, err := ReadFile(path); !errors.As(err, &damage) {
		t.Fatalf("want a DamageError, got %v", err)
	}
}
