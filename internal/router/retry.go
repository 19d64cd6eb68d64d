package router

import (
	"sync"

	"sumachead"
	"sumachead/internal/settings"
)

const (
	// maxRetryBudget is the maximum retry budget. It lets a workspace retry at once
	// what was in flight at a server that crashes.
	maxRetryBudget = 32.0
	percent        = 100.0
)

// retryBudgets limits the retries of each workspace to a fraction of its
// requests, so that a failure does not multiply the load.
type retryBudgets struct {
	mu        sync.Mutex // guards remaining
	remaining map[sumachead.WorkspaceID]float64
}

// recordRequest adds the fraction of a retry that one request earns.
func (b *retryBudgets) recordRequest(w *settings.ResolvedWorkspace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == nil {
		b.remaining = make(map[sumachead.WorkspaceID]float64)
	}
	left, ok := b.remaining[w.ID]
	if !ok {
		left = maxRetryBudget
	}
	b.remaining[w.ID] = min(left+float64(w.Limits.RetryPercent)/percent, maxRetryBudget)
}

// tryTake takes one retry from the budget. It returns false if none is left.
func (b *retryBudgets) tryTake(w *settings.ResolvedWorkspace) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining[w.ID] < 1 {
		return false
	}
	b.remaining[w.ID]--
	return true
}
