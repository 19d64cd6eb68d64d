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
		if err == nil || ctx.Err() != nil {
			return err
		}
		if rejoined, rejoinErr := h.rejoin(err); rejoinErr != nil {
			err = rejoinErr
		} else if isPermanent(err) && !rejoined {
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

// rejoin makes the next keeper join the group as a new member if the files of the last one are corrupt and
// others may have the state. It reports whether it did.
func (h *Supervisor) rejoin(err error) (bool, error) {
	var corruption *wal.CorruptionError
	if !errors.As(err, &corruption) {
		return false, nil
	}
	k := h.New()
	if !k.canRejoin() {
		return false, nil
	}
	if err := k.openIdentity(); err != nil && !errors.As(err, &corruption) {
		return false, err
	}
	if err := k.replaceIdentity(); err != nil {
		return false, err
	}
	h.Log.Error("The keeper's files are corrupt; it joins the group as a new member.", "file", corruption.File)
	return true, nil
}

// isPermanent reports whether an error cannot be resolved by opening the disk again: settings that
// do not match the data directory, or corrupt files that no other keeper can replace.
func isPermanent(err error) bool {
	var corruption *wal.CorruptionError
	return trace.IsBadParameter(err) || errors.As(err, &corruption)
}
