// Package outbox brings small messages to many addresses: what comes while a call to an
// address is under way goes along with the next one, so that a busy address gets few calls
// and an idle one gets each message at once.
package outbox

import (
	"context"
	"sync"
	"time"

	"sumachead/internal/loop"
)

// flushStep is how often [Outbox.Flush] looks.
const flushStep = 20 * time.Millisecond

// Outbox holds what is on its way to each key, oldest first. Set the exported fields before
// the first call; it is safe for concurrent use.
type Outbox[K comparable, T any] struct {
	// Most bounds the messages of one call.
	Most int
	// Send makes one call, and returns what is to be brought again, after a pause.
	Send func(to K, batch []T) (again []T, pause time.Duration)

	mu     sync.Mutex // guards queues
	queues map[K]*queue[T]
}

// queue is what is on its way to one key; it exists while a goroutine brings it.
type queue[T any] struct{ waiting []T }

// Put brings a message, without waiting for that.
func (o *Outbox[K, T]) Put(to K, message T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queues == nil {
		o.queues = make(map[K]*queue[T])
	}
	q := o.queues[to]
	if q == nil {
		q = &queue[T]{}
		o.queues[to] = q
		go o.bring(to, q)
	}
	q.waiting = append(q.waiting, message)
}

// bring makes calls until nothing waits.
func (o *Outbox[K, T]) bring(to K, q *queue[T]) {
	for {
		batch := o.next(to, q)
		if len(batch) == 0 {
			return
		}
		again, pause := o.Send(to, batch)
		if len(again) > 0 {
			o.mu.Lock()
			q.waiting = append(again, q.waiting...)
			o.mu.Unlock()
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// next takes the messages of the next call; without any the queue ends.
func (o *Outbox[K, T]) next(to K, q *queue[T]) []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(q.waiting), o.Most)
	if n == 0 {
		delete(o.queues, to)
		return nil
	}
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	return batch
}

// Flush waits until nothing is on its way, or ctx ends.
func (o *Outbox[K, T]) Flush(ctx context.Context) {
	loop.Until(ctx, flushStep, func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.queues) == 0
	})
}
