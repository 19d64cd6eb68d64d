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
	// reopenFirst and reopenMost bound the pause before a keeper whose disk has
	// failed reads it again; the pause doubles each time.
	reopenFirst = 200 * time.Millisecond
	reopenMost  = 2 * time.Second
	// healthyFor is how long a keeper must have run for the pause to start anew.
	healthyFor = 10 * time.Second
)

// Host keeps a keeper running on a disk that may fail for a while: after a failed
// write it is not known what the disk holds, so the keeper steps down, and a new
// one starts from what can be read. Set the exported fields before Run.
type Host struct {
	// New returns a keeper that is not prepared yet.
	New func() *Keeper
	Log hclog.Logger

	current atomic.Pointer[Keeper]
}

// Keeper returns the keeper that runs; nil while there is none.
func (h *Host) Keeper() *Keeper { return h.current.Load() }

// Run runs keepers, one after the other, until ctx ends or an error that waiting
// does not mend.
func (h *Host) Run(ctx context.Context) error {
	pause := reopenFirst
	for {
		begun := time.Now()
		err := h.runOne(ctx)
		if err == nil || ctx.Err() != nil || final(err) {
			return err
		}
		if time.Since(begun) > healthyFor {
			pause = reopenFirst
		}
		h.Log.Error("The keeper's disk has failed; it is read again.", "error", err, "pause", pause)
		if !loop.Sleep(ctx, pause) {
			return nil
		}
		pause = min(2*pause, reopenMost)
	}
}

// runOne runs one keeper until it fails or ctx ends.
func (h *Host) runOne(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	k := h.New()
	if err := k.Prepare(life); err != nil {
		return err
	}
	h.current.Store(k)
	defer h.current.Store(nil)
	return k.Run(ctx)
}

// final reports whether an error is not one of a disk that may recover: settings
// that do not fit the folder, or a log that has lost what was synced.
func final(err error) bool {
	var damage *wal.DamageError
	return trace.IsBadParameter(err) || errors.As(err, &damage)
}
