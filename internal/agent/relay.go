package agent

import (
	"context"
	"errors"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

// relay waits for a slot, relays the request to the backend server and finishes
// the run.
func (a *Agent) relay(ctx context.Context, x *run, r *wire.RunRequest, t *ticket) {
	defer x.cancel()
	if f := a.waitForSlot(ctx, t); f != nil {
		a.metrics.refused(f.Reason)
		x.finish(0, f)
		return
	}
	began := time.Now()
	defer func() { a.queue.release(time.Since(began)) }()
	// The conditions checked at admission may have changed while the request waited.
	r.StartByUnixNano = 0 // the call itself arrived in time
	if f := a.refusal(r, began); f != nil && f.Reason != sumachead.ReasonStopping {
		a.metrics.refused(f.Reason)
		x.finish(0, f)
		return
	}
	x.start()
	tokens, err := a.backend.do(ctx, x, r, a.pool())
	if err == nil {
		x.finish(tokens, nil)
		a.metrics.responses.Inc()
		return
	}
	f := a.toRefusal(ctx, err)
	a.metrics.refused(f.Reason)
	a.Log.Debug("Request failed at the backend server.", "key", r.GetKey(), "error", err)
	x.finish(tokens, f)
}

func (a *Agent) pool() *settings.ResolvedPool {
	_, p := a.ownServer(a.follower.View())
	return p
}

// waitForSlot waits for a slot. It returns a refusal if the request will never run.
func (a *Agent) waitForSlot(ctx context.Context, t *ticket) *sumachead.Refusal {
	select {
	case <-t.admitted:
		return nil
	case <-t.shed:
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonShed, "more urgent work took the place", time.Now().Add(shortRetryDelay))
	case <-ctx.Done():
	}
	if !a.queue.remove(t) {
		select {
		case <-t.shed:
		case <-t.admitted:
			a.queue.release(0)
		}
	}
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the deadline passed in the queue", time.Time{})
}

// toRefusal converts an error of the backend into a refusal.
func (a *Agent) toRefusal(ctx context.Context, err error) *sumachead.Refusal {
	var f *sumachead.Refusal
	if errors.As(err, &f) {
		return f
	}
	retryAt := time.Now().Add(shortRetryDelay)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonDeadlinePassed, "the deadline passed while it ran", time.Time{})
	}
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonServerFailed, err.Error(), retryAt)
}
