package fleet

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/raft"
	"sumachead/internal/rpc"
)

const (
	// sendQueueSize is how many messages may wait for one peer; further ones are dropped, and Raft
	// sends them again.
	sendQueueSize = 512
	// sendTimeout bounds one call that carries messages: several heartbeat intervals. A large one, such as a
	// snapshot, may take as long as a link with minBytesPerSecond needs for it: it would otherwise be sent
	// again and again and never arrive.
	sendTimeout       = time.Second
	minBytesPerSecond = 1 << 20
	// maxSendBatch bounds the messages of one call, and maxSendBytes is the size from which on no further ones are
	// added.
	maxSendBatch = 64
	maxSendBytes = 1 << 20
	// idlePeerTimeout is how long a queue without messages is kept.
	idlePeerTimeout = time.Minute
)

// transport sends Raft messages to the other members, in order and with one call at a time per
// member. A member's ID is its address.
type transport struct {
	// ctx ends the queues' goroutines.
	ctx  context.Context
	pool *rpc.Pool
	// onRefused is called with an address that refuses connections; it must not block.
	onRefused func(address string)

	mu sync.Mutex // guards queues
	// queues is keyed by the member's address.
	queues map[string]chan *wire.RaftMessage
}

func newTransport(ctx context.Context, pool *rpc.Pool, refused func(string)) *transport {
	return &transport{ctx: ctx, pool: pool, onRefused: refused, queues: make(map[string]chan *wire.RaftMessage)}
}

// send queues messages; it never blocks.
func (t *transport) send(ms []*wire.RaftMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range ms {
		q := t.queues[m.GetTo()]
		if q == nil {
			q = make(chan *wire.RaftMessage, sendQueueSize)
			t.queues[m.GetTo()] = q
			go t.run(m.GetTo(), q)
		}
		select {
		case q <- m:
		default:
		}
	}
}

// run sends the queued messages of one address until the queue has been idle for idlePeerTimeout.
func (t *transport) run(address string, q chan *wire.RaftMessage) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-q:
			t.sendBatch(address, q, m)
		case <-time.After(idlePeerTimeout):
			if t.removeIfIdle(address, q) {
				return
			}
		}
	}
}

// removeIfIdle removes the queue of an address unless a message has arrived; it reports whether it
// did.
func (t *transport) removeIfIdle(address string, q chan *wire.RaftMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(t.queues, address)
	return true
}

// sendBatch sends m and the messages queued behind it. On a failure all queued messages are
// dropped: they are outdated by then, and Raft sends again.
func (t *transport) sendBatch(address string, q chan *wire.RaftMessage, m *wire.RaftMessage) {
	batch := nextBatch(q, m)
	ctx, cancel := context.WithTimeout(t.ctx, batchTimeout(batch))
	defer cancel()
	if _, err := rpc.Call[wire.Empty](ctx, t.pool.Get(address), "Raft.Step", batch); err != nil {
		if rpc.IsConnectionRefused(err) {
			t.onRefused(address)
		}
		for len(q) > 0 {
			<-q
		}
	}
}

// nextBatch returns a batch with m and the messages queued behind it.
func nextBatch(q <-chan *wire.RaftMessage, m *wire.RaftMessage) *wire.RaftBatch {
	b := &wire.RaftBatch{Messages: []*wire.RaftMessage{m}}
	for size := proto.Size(m); len(b.Messages) < maxSendBatch && size < maxSendBytes && len(q) > 0; {
		m = <-q
		size += proto.Size(m)
		b.Messages = append(b.Messages, m)
	}
	return b
}

// batchTimeout returns the timeout of a call that carries a batch.
func batchTimeout(b *wire.RaftBatch) time.Duration {
	return sendTimeout + time.Duration(proto.Size(b))*time.Second/minBytesPerSecond
}

// raftService receives messages from other members.
type raftService struct{ node *raft.Node }

// Step passes a batch to the Raft node.
func (s *raftService) Step(b *wire.RaftBatch, _ *wire.Empty) error {
	s.node.Step(b.GetMessages())
	return nil
}
