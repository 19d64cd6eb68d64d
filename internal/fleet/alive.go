package fleet

import (
	"context"
	"sync"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

const (
	// aliveEvery is how often a keeper passes on the heartbeats that told nothing
	// new: some times in the interval of heartbeats.
	aliveEvery = 300 * time.Millisecond
	// copyFreshFor is how long after the leader's last answer a keeper takes
	// heartbeats by its own copy of the records.
	copyFreshFor = copyWait + callTimeout
)

// aliveBatch gathers heartbeats that told nothing new.
type aliveBatch struct {
	mu        sync.Mutex // guards sequences
	sequences map[string]uint64
}

func (b *aliveBatch) add(r *wire.ServerRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sequences == nil {
		b.sequences = make(map[string]uint64)
	}
	b.sequences[r.GetId()] = max(b.sequences[r.GetId()], r.GetSequence())
}

// take empties the batch; nil when there is nothing.
func (b *aliveBatch) take() *wire.AliveReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sequences) == 0 {
		return nil
	}
	r := &wire.AliveReport{}
	for id, n := range b.sequences {
		r.Ids = append(r.Ids, id)
		r.Sequences = append(r.Sequences, n)
	}
	b.sequences = nil
	return r
}

// aliveLoop passes heartbeats on. One batch that is lost costs nothing: a server
// counts as silent only after several heartbeats.
func (k *Keeper) aliveLoop(ctx context.Context) error {
	return loop.Every(ctx, aliveEvery, func() {
		report := k.alive.take()
		leader := k.node.Status().GetLeader()
		if report == nil || leader == "" {
			return
		}
		if leader == k.Address {
			k.servers.Alive(report, time.Now())
			return
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if _, err := rpc.Call[wire.Empty](ctx, k.Pool.Get(leader), "Fleet.Alive", report); err != nil {
			k.Log.Debug("Heartbeats were not passed on.", "servers", len(report.GetIds()), "error", err)
		}
	})
}

// Alive takes in heartbeats that another keeper has passed on.
func (s *service) Alive(r *wire.AliveReport, _ *wire.Empty) error {
	if !s.keeper.node.Leading() {
		return s.keeper.leading()
	}
	s.keeper.servers.Alive(r, time.Now())
	return nil
}

// copyFresh reports whether this keeper's copy of the records is the leader's as
// of a moment ago.
func (k *Keeper) copyFresh() bool {
	return time.Since(time.Unix(0, k.copiedAt.Load())) < copyFreshFor
}
