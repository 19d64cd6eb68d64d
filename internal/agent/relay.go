package agent

import (
	"context"
	"errors"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

// relay waits for a slot, runs the request at the backend server and ends the
// run.
func (a *Agent) relay(ctx context.Context, x *run, r *wire.RunRequest, t *ticket) {
	defer x.cancel()
	if f := a.await(ctx, t); f != nil {
		a.metrics.refused(f.Reason)
		x.finish(0, f)
		return
	}
	began := time.Now()
	defer func() { a.queue.release(time.Since(began)) }()
	// What was true at admission may have changed while the request waited.
	r.StartByUnixNano = 0 // it came in time
	if f := a.refusal(r, began); f != nil && f.Reason != sumachead.ReasonStopping {
		a.metrics.refused(f.Reason)
		x.finish(0, f)
		return
	}
	x.start()
	tokens, err := a.backend.do(ctx, x, r, a.pool())
	if err == nil {
		x.finish(tokens, nil)
		a.metrics.done.Inc()
		return
	}
	f := a.failure(ctx, err)
	a.metrics.refused(f.Reason)
	a.Log.Debug("Request failed at the backend server.", "key", r.GetKey(), "error", err)
	x.finish(tokens, f)
}

func (a *Agent) pool() *settings.ResolvedPool {
	_, p := a.own(a.follower.View())
	return p
}

// await waits for a slot; a refusal means that the request never ran.
func (a *Agent) await(ctx context.Context, t *ticket) *sumachead.Refusal {
	select {
	case <-t.admitted:
		return nil
	case <-t.shed:
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonShed, "more urgent work took the place", time.Now().Add(retrySoon))
	case <-ctx.Done():
	}
	if !a.queue.leave(t) {
		select {
		case <-t.shed:
		case <-t.admitted:
			a.queue.release(0)
		}
	}
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the deadline passed in the queue", time.Time{})
}

// failure turns an error of the backend into a refusal.
func (a *Agent) failure(ctx context.Context, err error) *sumachead.Refusal {
	var f *sumachead.Refusal
	if errors.As(err, &f) {
		return f
	}
	retryAt := time.Now().Add(retrySoon)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonDeadlinePassed, "the deadline passed while it ran", time.Time{})
	}
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonServerFailed, err.Error(), retryAt)
}
