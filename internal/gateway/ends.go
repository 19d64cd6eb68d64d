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
	// refusalTimeout bounds the question whether a server still takes connections: some
	// round trips between data halls. A host that is down says nothing.
	refusalTimeout = 150 * time.Millisecond
	// overKept is for how long it is known that a server has ended: requests that broke with
	// it are dealt with by then, and a server may start again under its id.
	overKept = 400 * time.Millisecond
)

// ends tells servers that have ended from those of which only a connection was lost: at the
// address of one that has ended nobody takes connections. Set the exported field before
// the first call; it is safe for concurrent use.
type ends struct {
	// Refuses reports whether nobody takes connections at an address.
	Refuses func(ctx context.Context, address string) bool

	// asking makes one of the questions about one life.
	asking singleflight.Group

	mu sync.Mutex // guards over
	// over is when a life was found to be over.
	over map[sumachead.ServerID]time.Time
}

// ended reports whether a server has ended whose connection has just broken.
func (e *ends) ended(r *wire.ServerRecord) bool {
	id := sumachead.ServerID(r.GetId())
	if e.isOver(id) {
		return true
	}
	refused, _, _ := e.asking.Do(r.GetId(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
		defer cancel()
		return e.Refuses(ctx, r.GetAddress()), nil
	})
	if !refused.(bool) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over == nil {
		e.over = make(map[sumachead.ServerID]time.Time)
	}
	e.over[id] = time.Now()
	return true
}

// isOver reports whether a life is known to be over.
func (e *ends) isOver(id sumachead.ServerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.over[id]
	return ok && time.Since(at) < overKept
}

// forget drops what was found out long ago.
func (e *ends) forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, at := range e.over {
		if now.Sub(at) > overKept {
			delete(e.over, id)
		}
	}
}
