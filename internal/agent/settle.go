package agent

import (
	"context"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loop"
)

const (
	// settleAfter is how long the agent waits for the router that read a response
	// to settle it.
	settleAfter    = 2 * time.Second
	settleInterval = 200 * time.Millisecond
	settleTimeout  = 5 * time.Second
	settleBatch    = 256
)

// settleLoop settles finished requests that their router, which may have crashed,
// has not settled.
func (a *Agent) settleLoop(ctx context.Context) error {
	return loop.Every(ctx, settleInterval, func() { a.settleOverdue(ctx, time.Now()) })
}

// overdueBatch holds the unsettled runs of one account: the ledger's or a hall's.
type overdueBatch struct {
	runs  []*run
	batch wire.SettleBatch
}

// settleOverdue settles a batch at each account, concurrently, so that an
// unreachable account does not delay the others.
func (a *Agent) settleOverdue(ctx context.Context, now time.Time) {
	accounts := make(map[string]*overdueBatch)
	a.runs.each(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.end == nil || r.settled || now.Sub(r.endedAt) < settleAfter {
			return
		}
		o := accounts[r.request.GetHall()]
		if o == nil {
			o = &overdueBatch{}
			accounts[r.request.GetHall()] = o
		}
		if len(o.runs) < settleBatch {
			o.runs = append(o.runs, r)
			o.batch.Settles = append(o.batch.Settles, r.report())
		}
	})
	var all sync.WaitGroup
	for _, o := range accounts {
		all.Go(func() { a.settleAt(ctx, o) })
	}
	all.Wait()
}

func (a *Agent) settleAt(ctx context.Context, o *overdueBatch) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := a.keepers.Settle(ctx, &o.batch); err != nil {
		a.Log.Warn("Failed to settle; will retry.", "requests", len(o.runs), "error", err)
		return
	}
	for _, r := range o.runs {
		r.markSettled()
	}
}

// report returns the run's outcome for the ledger. The caller holds mu.
func (r *run) report() *wire.SettleRequest {
	return &wire.SettleRequest{
		Workspace: r.key.workspace, Key: r.key.key, Attempt: r.attempt, Tokens: r.end.GetTokens(),
		NotRun: r.end.GetVerdict() == string(sumachead.NotRun),
		Failed: r.end.GetReason() != "", Hall: r.request.GetHall(),
	}
}
