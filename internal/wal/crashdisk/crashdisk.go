// Package crashdisk simulates what a disk holds after a process was killed or its host lost power. It is
// used by tests only.
//
// A [Disk] observes the changes that package wal makes below a directory. A killed process leaves the files
// as they are. After a loss of power, a file holds what its last sync covered and possibly some of the later
// writes, and each name that was changed since the last sync of its directory may be the old or the new one.
package crashdisk

import (
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"sumachead/internal/wal"
)

// ErrCrashed is returned by all changes after a crash.
var ErrCrashed = errors.New("the process has crashed")

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// file is a file under whichever names it has.
type file struct {
	// synced is the content that its last sync covered.
	synced []byte
}

// Disk is a directory whose changes are observed. It is not safe for concurrent use.
type Disk struct {
	Dir  string
	Rand *rand.Rand

	// names are the present files by path, and durable those after a loss of power.
	names, durable map[string]*file
	// durableDirs are the directories whose names are durable.
	durableDirs map[string]bool
	// pending is the change that is being made.
	pending *wal.Change
	// crashAfter is the number of changes until a crash; negative for none.
	crashAfter int
}

// New returns a disk with an empty directory.
func New(dir string, r *rand.Rand) *Disk {
	return &Disk{
		Dir: dir, Rand: r, names: make(map[string]*file), durable: make(map[string]*file), durableDirs: map[string]bool{dir: true}, crashAfter: -1,
	}
}

// Install observes changes until stop is called. Only one disk may be installed at a time.
func (d *Disk) Install() (stop func()) {
	f := d.beforeChange
	wal.Interrupt.Store(&f)
	return func() { wal.Interrupt.Store(nil) }
}

// CrashAfter makes the process crash at the change that follows n others.
func (d *Disk) CrashAfter(n int) { d.crashAfter = n }

// Crashed reports whether the process has crashed.
func (d *Disk) Crashed() bool { return d.crashAfter == 0 }

// Restart lets the next process make changes.
func (d *Disk) Restart() {
	d.settle()
	d.crashAfter = -1
}

func (d *Disk) beforeChange(c wal.Change) error {
	if c.Path != d.Dir && !strings.HasPrefix(c.Path, d.Dir+string(filepath.Separator)) {
		return nil
	}
	if d.crashAfter == 0 {
		return ErrCrashed
	}
	d.settle()
	if d.crashAfter > 0 {
		d.crashAfter--
		if d.crashAfter == 0 {
			if c.Kind == wal.ChangeWrite && d.Rand.IntN(2) == 0 {
				return wal.ErrTornWrite
			}
			return ErrCrashed
		}
	}
	d.pending = &c
	return nil
}

// settle records the effect of the last change, which is complete.
func (d *Disk) settle() {
	c := d.pending
	if c == nil {
		return
	}
	d.pending = nil
	switch c.Kind {
	case wal.ChangeCreate:
		if d.names[c.Path] == nil {
			d.names[c.Path] = &file{}
		}
	case wal.ChangeSync:
		f := d.names[c.Path]
		f.synced = read(c.Path)
		d.durable[c.Path] = f // a new file lasts through its own sync
	case wal.ChangeRename:
		d.rename(c.From, c.Path)
	case wal.ChangeRemove:
		delete(d.names, c.Path)
	case wal.ChangeSyncDir:
		d.syncDir(c.Path)
	case wal.ChangeWrite, wal.ChangeTruncate:
	}
}

// rename renames a file, or a directory with its files.
func (d *Disk) rename(from, to string) {
	for path, f := range maps.Clone(d.names) {
		if path == from || strings.HasPrefix(path, from+string(filepath.Separator)) {
			delete(d.names, path)
			d.names[to+strings.TrimPrefix(path, from)] = f
		}
	}
}

// syncDir makes the names in a directory durable.
func (d *Disk) syncDir(dir string) {
	for path := range d.durable {
		if filepath.Dir(path) == dir && d.names[path] == nil {
			delete(d.durable, path)
		}
	}
	for path, f := range d.names {
		if filepath.Dir(path) == dir {
			d.durable[path] = f
		}
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		panic(err) // a directory that was just synced
	}
	for _, e := range entries {
		if e.IsDir() {
			d.durableDirs[filepath.Join(dir, e.Name())] = true
		}
	}
}

// LosePower replaces the directory's content by what a loss of power may leave.
func (d *Disk) LosePower() {
	d.settle()
	contents := make(map[*file][]byte)
	for path, f := range d.names {
		contents[f] = d.afterPowerLoss(f.synced, read(path))
	}
	left := make(map[string]*file)
	paths := slices.Sorted(maps.Keys(d.names))
	for path := range d.durable {
		if d.names[path] == nil {
			paths = append(paths, path)
		}
	}
	lost := make(map[string]bool)
	for _, path := range paths {
		f := d.names[path]
		if f != d.durable[path] && d.Rand.IntN(2) == 0 {
			f = d.durable[path]
		}
		if f != nil && !d.dirLost(filepath.Dir(path), lost) {
			left[path] = f
		}
	}
	if err := errors.Join(os.RemoveAll(d.Dir), os.MkdirAll(d.Dir, dirMode)); err != nil {
		panic(err)
	}
	d.names, d.durable = make(map[string]*file), make(map[string]*file)
	for path, f := range left {
		data, ok := contents[f]
		if !ok {
			data = f.synced
		}
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), dirMode), os.WriteFile(path, data, fileMode)); err != nil {
			panic(err)
		}
		// Two names of one file are two files from now on: none is written to under both.
		kept := &file{synced: data}
		d.names[path], d.durable[path] = kept, kept
		d.durableDirs[filepath.Dir(path)] = true
	}
}

// dirLost decides whether a directory is lost whose name is not durable.
func (d *Disk) dirLost(dir string, lost map[string]bool) bool {
	if d.durableDirs[dir] {
		return false
	}
	if _, ok := lost[dir]; !ok {
		lost[dir] = d.Rand.IntN(2) == 0
	}
	return lost[dir]
}

// afterPowerLoss returns what may be left of a file: what was synced, or its present content, or a part of the
// latter.
func (d *Disk) afterPowerLoss(synced, present []byte) []byte {
	const outcomes = 3
	choice := d.Rand.IntN(outcomes)
	if choice == 0 {
		return synced
	}
	if choice == 1 || len(present) <= len(synced) {
		return present
	}
	torn := slices.Clone(present[:len(synced)+d.Rand.IntN(len(present)-len(synced))])
	for i := len(synced); i < len(torn); i++ {
		if d.Rand.IntN(outcomes) == 0 {
			torn[i] = 0
		}
	}
	return torn
}

// read returns the content of a file.
func read(path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		panic(err)
	}
	return data
}
