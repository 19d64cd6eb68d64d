package origin

import (
	"sync"
	"time"
	"unique"
)

const (
	// defaultMaxEntries bounds a table to a few megabytes.
	defaultMaxEntries = 1 << 15
	// sweepInterval is the interval at which expired entries are dropped.
	sweepInterval = 5 * time.Second
)

// Table holds the origins of streams until they expire. The zero value is ready to use; it is safe
// for concurrent use.
type Table struct {
	// MaxEntries bounds the table; 0 selects the default. A full table takes no further streams.
	MaxEntries int

	mu      sync.Mutex // guards the fields below
	entries map[Key]entry
	sweepAt time.Time
}

// entry is what is known about one stream.
type entry struct {
	origin    unique.Handle[Origin]
	expiresAt time.Time
	// ambiguous is set if two origins were recorded: two requests of the workspace had the same id.
	ambiguous bool
}

// Put records the origin of a stream until a time. It reports whether there was room.
func (t *Table) Put(k Key, o Origin, until, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	e, known := t.entries[k]
	switch {
	case !known && len(t.entries) >= t.maxEntries():
		return false
	case !known:
		if t.entries == nil {
			t.entries = make(map[Key]entry)
		}
		e.origin = unique.Make(o)
	case e.origin.Value() != o:
		e.ambiguous = true
	}
	if until.After(e.expiresAt) {
		e.expiresAt = until
	}
	t.entries[k] = e
	return true
}

// Get returns the origin of a stream and until when it is kept. It reports false if the origin is not
// known, or not for certain.
func (t *Table) Get(k Key, now time.Time) (o Origin, until time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[k]
	if !known || e.ambiguous || !now.Before(e.expiresAt) {
		return Origin{}, time.Time{}, false
	}
	return e.origin.Value(), e.expiresAt, true
}

// Len returns the number of entries, including expired ones that have not been dropped yet.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// sweep drops expired entries if that is due or the table is full. The caller holds mu.
func (t *Table) sweep(now time.Time) {
	if now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(sweepInterval)
	for k, e := range t.entries {
		if !now.Before(e.expiresAt) {
			delete(t.entries, k)
		}
	}
}

func (t *Table) maxEntries() int {
	if t.MaxEntries > 0 {
		return t.MaxEntries
	}
	return defaultMaxEntries
}
