package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// crashProbeTimeout limits the probe whether a server still accepts connections: several round
	// trips between data halls. A host that is down does not respond at all.
	crashProbeTimeout = 150 * time.Millisecond
	// crashRetention is how long a crash is remembered: requests that broke with the server are
	// handled by then, and a server may restart under the same ID.
	crashRetention = 400 * time.Millisecond
)

// crashDetector distinguishes a crashed server from a lost connection: nobody accepts connections
// at the address of a crashed server. Set the exported field before the first call; it is safe for
// concurrent use.
type crashDetector struct {
	// RefusesConnections reports whether nobody accepts connections at an address.
	RefusesConnections func(ctx context.Context, address string) bool

	// probes merges concurrent probes of one incarnation.
	probes singleflight.Group

	mu sync.Mutex // guards crashedAt
	// crashedAt is when the crash of an incarnation was detected.
	crashedAt map[sumachead.ServerID]time.Time
}

// hasCrashed reports whether a server whose connection has just broken has crashed.
func (e *crashDetector) hasCrashed(r *wire.ServerRecord) bool {
	id := sumachead.ServerID(r.GetId())
	if e.recentlyCrashed(id) {
		return true
	}
	refused, _, _ := e.probes.Do(r.GetId(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		return e.RefusesConnections(ctx, r.GetAddress()), nil
	})
	if !refused.(bool) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashedAt == nil {
		e.crashedAt = make(map[sumachead.ServerID]time.Time)
	}
	e.crashedAt[id] = time.Now()
	return true
}

// recentlyCrashed reports whether a crash of an incarnation is known.
func (e *crashDetector) recentlyCrashed(id sumachead.ServerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.crashedAt[id]
	return ok && time.Since(at) < crashRetention
}

// expire drops crashes older than crashRetention.
func (e *crashDetector) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, at := range e.crashedAt {
		if now.Sub(at) > crashRetention {
			delete(e.crashedAt, id)
		}
	}
}
