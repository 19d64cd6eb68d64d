package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"sumachead"
)

// A process that was frozen, or whose host was suspended, wakes up with what it knew before,
// and with callers' requests that came meanwhile. What it sends at once goes to servers that
// may have left, or whose data hall was vacated: in a soak (seed 9, 20 s) eight requests came
// 2.56 s after a hall had been vacated, all of them from a router that was frozen for longer.
// So it asks the leading keeper first.

const (
	// asleepFor is the gap between two ticks from which on a process has slept: longer than a
	// busy host keeps one waiting, and shorter than what is known has to be in force.
	asleepFor = time.Second
	// wakeTick is how often it is noted that the process runs.
	wakeTick = 100 * time.Millisecond
	// wakeMost bounds the question to the leading keeper. A router that reaches none goes on
	// under what it knows, as when it is cut off.
	wakeMost = 300 * time.Millisecond
)

// wake notices that the process has slept. Set the exported fields before the first call; it
// is safe for concurrent use.
type wake struct {
	Clock sumachead.Clock
	// Refresh asks the leading keeper for what is new.
	Refresh func(ctx context.Context) error

	// last is when the process is known to have run, as a BootTime; 0 before the first time.
	last atomic.Int64
	// due: the process has slept, and has not asked since.
	due    atomic.Bool
	asking singleflight.Group
}

// tick notes that the process runs.
func (w *wake) tick() {
	now := w.Clock.Now()
	last := sumachead.BootTime(w.last.Swap(int64(now)))
	if last != 0 && now.Sub(last) > asleepFor {
		w.due.Store(true)
	}
}

// await returns once the leading keeper has been asked, if the process has slept; it reports
// whether it has.
func (w *wake) await() (slept bool) {
	w.tick()
	if !w.due.Load() {
		return false
	}
	_, _, _ = w.asking.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), wakeMost)
		defer cancel()
		err := w.Refresh(ctx) // where nobody answers, what is known has to do
		w.due.Store(false)
		return nil, err
	})
	return true
}
