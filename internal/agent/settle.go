package agent

import (
	"context"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// settleAfter is how long the router that read an answer has to settle it
	// before the agent does so itself.
	settleAfter   = 2 * time.Second
	settleEvery   = 200 * time.Millisecond
	settleTimeout = 5 * time.Second
	settleBatch   = 256
)

// settleLoop settles ended requests whose router has not: it may have died.
func (a *Agent) settleLoop(ctx context.Context) error {
	t := time.NewTicker(settleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.settleOverdue(ctx, time.Now())
		}
	}
}

// settleOverdue settles one batch.
func (a *Agent) settleOverdue(ctx context.Context, now time.Time) {
	var runs []*run
	batch := &wire.SettleBatch{}
	a.runs.each(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.end == nil || r.settled || now.Sub(r.endedAt) < settleAfter || len(runs) == settleBatch {
			return
		}
		runs = append(runs, r)
		batch.Settles = append(batch.Settles, r.report())
	})
	if len(runs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := a.keepers.Settle(ctx, batch); err != nil {
		a.Log.Warn("Settling failed; it is tried again.", "requests", len(runs), "error", err)
		return
	}
	for _, r := range runs {
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
