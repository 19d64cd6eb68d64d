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
	// sendQueueSize is the maximum number of messages queued for one peer. More
	// are dropped; Raft retransmits them.
	sendQueueSize = 4096
	// sendTimeout bounds one call that sends a batch.
	sendTimeout = 2 * time.Second
	// maxSendBatch bounds the number of messages in one call.
	maxSendBatch = 64
)

// sender sends the messages of one group to the other keepers: in order, and with
// one call at a time to each keeper.
type sender struct {
	queues map[string]*peerQueue
}

type peerQueue struct {
	client   *rpc.Client
	messages chan *wire.RaftMessage
}

func newSender(keepers []config.Keeper, pool *rpc.Pool) *sender {
	s := &sender{queues: make(map[string]*peerQueue)}
	for _, k := range keepers {
		s.queues[k.ID] = &peerQueue{client: pool.Get(k.Address), messages: make(chan *wire.RaftMessage, sendQueueSize)}
	}
	return s
}

// send queues messages. It never blocks.
func (s *sender) send(ms []*wire.RaftMessage) {
	for _, m := range ms {
		q := s.queues[m.GetTo()]
		if q == nil {
			continue
		}
		select {
		case q.messages <- m:
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

func (q *peerQueue) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-q.messages:
			q.sendBatch(ctx, m)
		}
	}
}

// sendBatch sends m together with further queued messages. They are dropped if
// the call fails.
func (q *peerQueue) sendBatch(ctx context.Context, m *wire.RaftMessage) {
	batch := &wire.RaftBatch{Messages: []*wire.RaftMessage{m}}
	for len(batch.Messages) < maxSendBatch && len(q.messages) > 0 {
		batch.Messages = append(batch.Messages, <-q.messages)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := rpc.Call[wire.Empty](ctx, q.client, "Raft.Step", batch)
	_ = err // Raft retransmits the messages
}

// raftService receives Raft messages from other keepers.
type raftService struct{ keeper *Keeper }

// Step passes the messages of a batch to their groups.
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
