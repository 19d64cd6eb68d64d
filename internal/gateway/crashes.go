package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/upstream"
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
	// Probe finds out whether a server accepts connections.
	Probe func(ctx context.Context, s upstream.Server) upstream.Liveness

	// probes merges concurrent probes of one incarnation.
	probes singleflight.Group

	mu sync.Mutex // guards crashedAt
	// crashedAt is when the crash of an incarnation was detected.
	crashedAt map[sumachead.ServerID]time.Time
}

// hasCrashed reports whether a server whose connection has just broken has crashed.
func (e *crashDetector) hasCrashed(r *wire.ServerRecord) bool {
	return e.liveness(r) == upstream.Refusing
}

// liveness finds out whether a server whose connection has just ended still runs.
func (e *crashDetector) liveness(r *wire.ServerRecord) upstream.Liveness {
	id := sumachead.ServerID(r.GetId())
	if e.recentlyCrashed(id) {
		return upstream.Refusing
	}
	result, _, _ := e.probes.Do(r.GetId(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		return e.Probe(ctx, upstream.Server{ID: id, Address: r.GetAddress()}), nil
	})
	if l := result.(upstream.Liveness); l != upstream.Refusing {
		return l
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashedAt == nil {
		e.crashedAt = make(map[sumachead.ServerID]time.Time)
	}
	e.crashedAt[id] = time.Now()
	return upstream.Refusing
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
