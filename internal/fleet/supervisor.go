package fleet

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"sumachead/internal/loop"
	"sumachead/internal/wal"
)

const (
	// minReopenInterval and maxReopenInterval bound the exponential backoff before a keeper whose
	// disk has failed is opened again.
	minReopenInterval = 200 * time.Millisecond
	maxReopenInterval = 2 * time.Second
	// reopenResetAfter is how long a keeper must have run for the backoff to be reset.
	reopenResetAfter = 10 * time.Second
)

// Supervisor keeps a keeper running on a disk that may fail temporarily. After a failed write the
// content of the disk is unknown, so the keeper steps down, and a new one starts from what can be
// read. Set the exported fields before Run.
type Supervisor struct {
	// New returns a keeper on which Prepare has not been called.
	New func() *Keeper
	Log hclog.Logger

	current atomic.Pointer[Keeper]
}

// Keeper returns the running keeper; nil if there is none.
func (h *Supervisor) Keeper() *Keeper { return h.current.Load() }

// Run runs keepers, one after the other, until ctx ends or an error is permanent.
func (h *Supervisor) Run(ctx context.Context) error {
	pause := minReopenInterval
	for {
		begun := time.Now()
		err := h.runOne(ctx)
		if err == nil || ctx.Err() != nil || isPermanent(err) {
			return err
		}
		if time.Since(begun) > reopenResetAfter {
			pause = minReopenInterval
		}
		h.Log.Error("Keeper failed; opening its disk again.", "error", err, "pause", pause)
		if !loop.Sleep(ctx, pause) {
			return nil
		}
		pause = min(2*pause, maxReopenInterval)
	}
}

// runOne runs one keeper until it fails or ctx ends.
func (h *Supervisor) runOne(ctx context.Context) error {
	keeperCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := h.New()
	if err := k.Prepare(keeperCtx); err != nil {
		return err
	}
	h.current.Store(k)
	defer h.current.Store(nil)
	return k.Run(ctx)
}

// isPermanent reports whether an error cannot be resolved by opening the disk again: settings that
// do not match the data directory, or a log that has lost synced entries.
func isPermanent(err error) bool {
	var corruption *wal.CorruptionError
	return trace.IsBadParameter(err) || errors.As(err, &corruption)
}
