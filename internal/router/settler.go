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
	// settleGather is how long the first of a batch waits for others.
	settleGather = 2 * time.Millisecond
	ackEvery     = 200 * time.Millisecond
	ackTimeout   = 500 * time.Millisecond
	flushTimeout = 10 * time.Second
)

// settleItem is one outcome on its way to the ledger.
type settleItem struct {
	settle *wire.SettleRequest
	// server is told once the ledger has the outcome; nil for none.
	server *target
}

// settler takes outcomes to the ledger in batches, off the callers' path, and
// tells agents which of their answers are settled. What it loses in a crash
// the agents settle themselves.
type settler struct {
	ledger sumachead.Ledger
	log    hclog.Logger
	queue  chan settleItem
	open   sync.WaitGroup

	mu   sync.Mutex // guards acks
	acks map[*rpc.Client]*wire.AckRequest
}

func newSettler(l sumachead.Ledger, log hclog.Logger) *settler {
	return &settler{
		ledger: l, log: log,
		queue: make(chan settleItem, settleQueue), acks: make(map[*rpc.Client]*wire.AckRequest),
	}
}

// add queues an outcome. A full queue drops it: the agent settles in its time.
func (s *settler) add(i settleItem) {
	s.open.Add(1)
	select {
	case s.queue <- i:
	default:
		s.open.Done()
		s.log.Warn("The settle queue is full; the agent will settle.", "key", i.settle.GetKey())
	}
}

// run settles until ctx ends.
func (s *settler) run(ctx context.Context) error {
	for range settleWorkers {
		go s.work(ctx)
	}
	return loop.Every(ctx, ackEvery, func() { s.sendAcks(ctx) })
}

func (s *settler) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case i := <-s.queue:
			s.settleAll(ctx, s.gather(i))
		}
	}
}

// gather makes a batch of what comes within a short time.
func (s *settler) gather(first settleItem) []settleItem {
	items := []settleItem{first}
	timer := time.NewTimer(settleGather)
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

// settleAll settles a batch. A hall's journal that is not reached holds up
// nothing but its own part.
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
	defer s.open.Add(-len(items))
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	batch := &wire.SettleBatch{}
	for _, i := range items {
		batch.Settles = append(batch.Settles, i.settle)
	}
	if err := s.ledger.Settle(ctx, batch); err != nil {
		s.log.Warn("Settling failed; the agents will settle.", "requests", len(items), "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range items {
		if i.server == nil {
			continue
		}
		a := s.acks[i.server.client]
		if a == nil || a.GetBoot() != i.server.boot {
			a = &wire.AckRequest{Boot: i.server.boot}
			s.acks[i.server.client] = a
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
				s.log.Debug("An agent was not told what is settled.", "error", err)
			}
		}()
	}
}

// flush waits until what is queued has been settled.
func (s *settler) flush() {
	done := make(chan struct{})
	go func() {
		s.open.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	s.sendAcks(ctx)
	time.Sleep(ackEvery)
}
