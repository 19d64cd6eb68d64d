package keeper

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sumachead/api/wire"
	"sumachead/internal/config"
	"sumachead/internal/rpc"
)

const (
	// sendQueue is how many messages wait for one peer; more are dropped and
	// sent again by the protocol.
	sendQueue = 4096
	// sendTimeout bounds one call that carries messages.
	sendTimeout = 2 * time.Second
	// maxSendBatch bounds the messages of one call.
	maxSendBatch = 64
)

// sender passes messages of one group to the other keepers, in order and one
// call at a time for each.
type sender struct {
	queues map[string]*sendQueueTo
}

type sendQueueTo struct {
	client *rpc.Client
	ch     chan *wire.RaftMessage
}

func newSender(keepers []config.Keeper, pool *rpc.Pool) *sender {
	s := &sender{queues: make(map[string]*sendQueueTo)}
	for _, k := range keepers {
		s.queues[k.ID] = &sendQueueTo{client: pool.Get(k.Address), ch: make(chan *wire.RaftMessage, sendQueue)}
	}
	return s
}

// send queues messages; it never blocks.
func (s *sender) send(ms []*wire.RaftMessage) {
	for _, m := range ms {
		q := s.queues[m.GetTo()]
		if q == nil {
			continue
		}
		select {
		case q.ch <- m:
		default:
		}
	}
}

func (s *sender) run(ctx context.Context, tasks *errgroup.Group) {
	for _, q := range s.queues {
		tasks.Go(func() error {
			q.run(ctx)
			return nil
		})
	}
}

func (q *sendQueueTo) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-q.ch:
			q.sendBatch(ctx, m)
		}
	}
}

// sendBatch sends m and what waits behind it. A failure drops them.
func (q *sendQueueTo) sendBatch(ctx context.Context, m *wire.RaftMessage) {
	batch := &wire.RaftBatch{Messages: []*wire.RaftMessage{m}}
	for len(batch.Messages) < maxSendBatch && len(q.ch) > 0 {
		batch.Messages = append(batch.Messages, <-q.ch)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := rpc.Call[wire.Empty](ctx, q.client, "Raft.Step", batch)
	_ = err // the protocol sends again
}

// raftService takes in messages from other keepers.
type raftService struct{ keeper *Keeper }

// Step passes a batch to its groups.
func (s *raftService) Step(b *wire.RaftBatch, _ *wire.Empty) error {
	for _, g := range s.keeper.groups() {
		var mine []*wire.RaftMessage
		for _, m := range b.GetMessages() {
			if m.GetGroup() == string(g.node.Group) {
				mine = append(mine, m)
			}
		}
		if len(mine) > 0 {
			g.node.Step(mine)
		}
	}
	return nil
}
