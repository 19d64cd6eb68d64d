package router

import (
	"sync"

	"sumachead"
	"sumachead/internal/settings"
)

const (
	// retryReserve lets a workspace retry at once what was in flight at a
	// server that dies.
	retryReserve = 32.0
	percent      = 100.0
)

// retryBudgets bound the retries of each workspace to a part of its requests,
// so that a failure does not multiply the load.
type retryBudgets struct {
	mu   sync.Mutex // guards left
	left map[sumachead.WorkspaceID]float64
}

// noteRequest earns the workspace its part of a retry.
func (b *retryBudgets) noteRequest(w *settings.ResolvedWorkspace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == nil {
		b.left = make(map[sumachead.WorkspaceID]float64)
	}
	left, ok := b.left[w.ID]
	if !ok {
		left = retryReserve
	}
	b.left[w.ID] = min(left+float64(w.Limits.RetryPercent)/percent, retryReserve)
}

// take spends one retry; false means that there is none left.
func (b *retryBudgets) take(w *settings.ResolvedWorkspace) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[w.ID] < 1 {
		return false
	}
	b.left[w.ID]--
	return true
}
