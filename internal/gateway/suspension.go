package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"sumachead"
)

// A process that was frozen, or whose host was suspended, resumes with the state it had before and
// with callers' requests that arrived meanwhile. What it sends at once goes to servers that may
// have left or whose data hall was vacated: a router that was frozen for longer sent eight requests
// to a data hall 2.56 s after it had been vacated. So it asks the leading keeper first.

const (
	// suspensionThreshold is the minimum gap between two ticks that counts as a suspension: longer
	// than a busy host delays a process, and shorter than the time by which updates have to take
	// effect.
	suspensionThreshold = time.Second
	// suspensionTickInterval is the interval of the ticks.
	suspensionTickInterval = 100 * time.Millisecond
	// refreshTimeout limits the request to the leading keeper. A router that reaches none continues
	// with the state it has, as when it is cut off.
	refreshTimeout = 300 * time.Millisecond
)

// suspensionDetector detects that the process was suspended. Set the exported fields before the
// first call; it is safe for concurrent use.
type suspensionDetector struct {
	Clock sumachead.Clock
	// Refresh fetches updates from the leading keeper.
	Refresh func(ctx context.Context) error

	// lastTick is when the process is known to have run, as a BootTime; 0 before the first tick.
	lastTick atomic.Int64
	// refreshDue is set if the process was suspended and has not fetched updates since.
	refreshDue atomic.Bool
	refreshes  singleflight.Group
}

// tick records that the process is running.
func (w *suspensionDetector) tick() {
	now := w.Clock.Now()
	last := sumachead.BootTime(w.lastTick.Swap(int64(now)))
	if last != 0 && now.Sub(last) > suspensionThreshold {
		w.refreshDue.Store(true)
	}
}

// refreshIfSuspended fetches updates from the leading keeper if the process was suspended, and
// reports whether it was.
func (w *suspensionDetector) refreshIfSuspended() (suspended bool) {
	w.tick()
	if !w.refreshDue.Load() {
		return false
	}
	_, _, _ = w.refreshes.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
		defer cancel()
		err := w.Refresh(ctx) // if no keeper responds, the router continues with the state it has
		w.refreshDue.Store(false)
		return nil, err
	})
	return true
}
