// Package outbox sends small messages to many addresses. Messages that come while a call to an
// address is in progress are sent with the next one, so that a busy address gets few calls and
// an idle one gets each message at once.
package outbox

import (
	"context"
	"sync"
	"time"

	"sumachead/internal/loop"
)

// flushPollInterval is how often [Outbox.Flush] checks for pending messages.
const flushPollInterval = 20 * time.Millisecond

// Outbox holds the pending messages of each key, oldest first. Set the exported fields before
// the first call; it is safe for concurrent use.
type Outbox[K comparable, T any] struct {
	// MaxBatch bounds the messages of one call.
	MaxBatch int
	// Send makes one call, and returns the messages to send again and the delay before the next
	// call.
	Send func(to K, batch []T) (retry []T, delay time.Duration)

	mu     sync.Mutex // guards queues
	queues map[K]*queue[T]
}

// queue holds the pending messages of one key; it exists while a goroutine sends them.
type queue[T any] struct{ waiting []T }

// Put queues a message and does not wait.
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
		go o.deliver(to, q)
	}
	q.waiting = append(q.waiting, message)
}

// deliver makes calls until no messages are pending.
func (o *Outbox[K, T]) deliver(to K, q *queue[T]) {
	for {
		batch := o.next(to, q)
		if len(batch) == 0 {
			return
		}
		retry, delay := o.Send(to, batch)
		if len(retry) > 0 {
			o.mu.Lock()
			q.waiting = append(retry, q.waiting...)
			o.mu.Unlock()
		}
		if delay > 0 {
			time.Sleep(delay)
		}
	}
}

// next takes the messages of the next call. If there are none, it deletes the queue.
func (o *Outbox[K, T]) next(to K, q *queue[T]) []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(q.waiting), o.MaxBatch)
	if n == 0 {
		delete(o.queues, to)
		return nil
	}
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	return batch
}

// Flush waits until no messages are pending, or ctx ends.
func (o *Outbox[K, T]) Flush(ctx context.Context) {
	loop.Until(ctx, flushPollInterval, func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.queues) == 0
	})
}
