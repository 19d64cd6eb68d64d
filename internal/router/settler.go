package router

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

const (
	settleQueue   = 16384
	settleBatch   = 256
	settleWorkers = 2
	settleTimeout = 30 * time.Second
	// settleBatchWindow is how long the first item of a batch waits for more.
	settleBatchWindow = 2 * time.Millisecond
	ackInterval       = 200 * time.Millisecond
	ackTimeout        = 500 * time.Millisecond
	flushTimeout      = 10 * time.Second
)

// settleItem is an outcome to be reported to the ledger.
type settleItem struct {
	settle *wire.SettleRequest
	// target is the target whose agent is acknowledged once the ledger has the
	// outcome; nil for none.
	target *target
}

// settler reports outcomes to the ledger in batches, asynchronously, and
// acknowledges settled requests to their agents. Agents settle the outcomes that
// a router loses in a crash.
type settler struct {
	ledger  sumachead.Ledger
	log     hclog.Logger
	queue   chan settleItem
	pending sync.WaitGroup

	mu   sync.Mutex // guards acks
	acks map[*rpc.Client]*wire.AckRequest
}

func newSettler(l sumachead.Ledger, log hclog.Logger) *settler {
	return &settler{
		ledger: l, log: log,
		queue: make(chan settleItem, settleQueue), acks: make(map[*rpc.Client]*wire.AckRequest),
	}
}

// enqueue queues an outcome. It drops the outcome if the queue is full: the agent
// settles it later.
func (s *settler) enqueue(i settleItem) {
	s.pending.Add(1)
	select {
	case s.queue <- i:
	default:
		s.pending.Done()
		s.log.Warn("Settle queue is full; leaving the request to its agent.", "key", i.settle.GetKey())
	}
}

// run settles queued outcomes until ctx is done.
func (s *settler) run(ctx context.Context) error {
	for range settleWorkers {
		go s.runWorker(ctx)
	}
	return loop.Every(ctx, ackInterval, func() { s.sendAcks(ctx) })
}

func (s *settler) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case i := <-s.queue:
			s.settleAll(ctx, s.collectBatch(i))
		}
	}
}

// collectBatch collects a batch of the items that arrive within settleBatchWindow.
func (s *settler) collectBatch(first settleItem) []settleItem {
	items := []settleItem{first}
	timer := time.NewTimer(settleBatchWindow)
	defer timer.Stop()
	for len(items) < settleBatch {
		select {
		case i := <-s.queue:
			items = append(items, i)
		case <-timer.C:
			return items
		}
	}
	return items
}

// settleAll settles a batch, split by hall. The outcomes of halls are settled
// concurrently, so that an unreachable journal delays only its own outcomes.
func (s *settler) settleAll(ctx context.Context, items []settleItem) {
	parts := make(map[string][]settleItem)
	for _, i := range items {
		parts[i.settle.GetHall()] = append(parts[i.settle.GetHall()], i)
	}
	for hall, part := range parts {
		if hall != "" {
			go s.settle(ctx, part)
		}
	}
	if len(parts[""]) > 0 {
		s.settle(ctx, parts[""])
	}
}

func (s *settler) settle(ctx context.Context, items []settleItem) {
	defer s.pending.Add(-len(items))
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	batch := &wire.SettleBatch{}
	for _, i := range items {
		batch.Settles = append(batch.Settles, i.settle)
	}
	if err := s.ledger.Settle(ctx, batch); err != nil {
		s.log.Warn("Failed to settle; leaving the requests to their agents.", "requests", len(items), "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range items {
		if i.target == nil {
			continue
		}
		a := s.acks[i.target.client]
		if a == nil || a.GetBoot() != i.target.boot {
			a = &wire.AckRequest{Boot: i.target.boot}
			s.acks[i.target.client] = a
		}
		a.Settled = append(a.Settled, &wire.RunKey{Workspace: i.settle.GetWorkspace(), Key: i.settle.GetKey()})
	}
}

func (s *settler) sendAcks(ctx context.Context) {
	s.mu.Lock()
	acks := s.acks
	s.acks = make(map[*rpc.Client]*wire.AckRequest)
	s.mu.Unlock()
	for client, a := range acks {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, ackTimeout)
			defer cancel()
			if _, err := rpc.Call[wire.Empty](ctx, client, "Agent.Ack", a); err != nil {
				s.log.Debug("Failed to acknowledge settled requests to an agent.", "error", err)
			}
		}()
	}
}

// flush waits until the queued outcomes have been settled and acknowledged.
func (s *settler) flush() {
	done := make(chan struct{})
	go func() {
		s.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	s.sendAcks(ctx)
	time.Sleep(ackInterval)
}
