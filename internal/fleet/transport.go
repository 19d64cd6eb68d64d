package fleet

import (
	"context"
	"sync"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/raft"
	"sumachead/internal/rpc"
)

const (
	// sendQueue is how many messages wait for one peer; more are dropped and
	// sent again by the protocol.
	sendQueue = 512
	// sendTimeout bounds one call that carries messages: some heartbeats.
	sendTimeout = time.Second
	// maxSendBatch bounds the messages of one call.
	maxSendBatch = 64
	// forgetPeer is how long a queue without messages is kept.
	forgetPeer = time.Minute
)

// transport passes messages of the group to the other members, in order and one
// call at a time for each. A member's id is its address.
type transport struct {
	// ctx ends the queues' goroutines.
	ctx  context.Context
	pool *rpc.Pool
	// refused is told of an address that refuses connections; it must not
	// block.
	refused func(address string)

	mu sync.Mutex // guards queues
	// queues are by the address of the member.
	queues map[string]chan *wire.RaftMessage
}

func newTransport(ctx context.Context, pool *rpc.Pool, refused func(string)) *transport {
	return &transport{ctx: ctx, pool: pool, refused: refused, queues: make(map[string]chan *wire.RaftMessage)}
}

// send queues messages; it never blocks.
func (t *transport) send(ms []*wire.RaftMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range ms {
		q := t.queues[m.GetTo()]
		if q == nil {
			q = make(chan *wire.RaftMessage, sendQueue)
			t.queues[m.GetTo()] = q
			go t.run(m.GetTo(), q)
		}
		select {
		case q <- m:
		default:
		}
	}
}

// run sends what is queued for one address until nothing came for long.
func (t *transport) run(address string, q chan *wire.RaftMessage) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-q:
			t.sendBatch(address, q, m)
		case <-time.After(forgetPeer):
			if t.forget(address, q) {
				return
			}
		}
	}
}

// forget drops the queue of an address unless something has come meanwhile; it
// reports whether it did.
func (t *transport) forget(address string, q chan *wire.RaftMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(t.queues, address)
	return true
}

// sendBatch sends m and what waits behind it. A failure drops all that waits:
// it is old by then, and the protocol sends again.
func (t *transport) sendBatch(address string, q chan *wire.RaftMessage, m *wire.RaftMessage) {
	batch := &wire.RaftBatch{Messages: []*wire.RaftMessage{m}}
	for len(batch.Messages) < maxSendBatch && len(q) > 0 {
		batch.Messages = append(batch.Messages, <-q)
	}
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	if _, err := rpc.Call[wire.Empty](ctx, t.pool.Get(address), "Raft.Step", batch); err != nil {
		if rpc.IsRefused(err) {
			t.refused(address)
		}
		for len(q) > 0 {
			<-q
		}
	}
}

// raftService takes in messages from other members.
type raftService struct{ node *raft.Node }

// Step passes a batch to the group.
func (s *raftService) Step(b *wire.RaftBatch, _ *wire.Empty) error {
	s.node.Step(b.GetMessages())
	return nil
}
