package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"sumachead"
	"sumachead/internal/loop"
)

const (
	// maxDrainTime is how long new requests are still accepted after the order to stop, unless
	// that exceeds one part in drainDivisor of the grace period: a load balancer needs two missed
	// health checks at one per second.
	maxDrainTime = 2500 * time.Millisecond
	drainDivisor = 3
	// escrowReturnDivisor sets the share of the grace period, one part in so many, that is reserved
	// for the return of escrow.
	escrowReturnDivisor = 6
	// lastAnswersDivisor sets the share of that, one part in so many, in which callers still receive
	// their last answers.
	lastAnswersDivisor = 8
)

// errStopping is the cause with which a planned stop ends the context of a request.
var errStopping = errors.New("the router is stopping")

// StopDeadlines are the deadlines of a planned stop, in their order.
type StopDeadlines struct {
	// AcceptUntil is until when requests are accepted, whose last byte must have arrived by then.
	AcceptUntil time.Time
	// SendUntil is until when they are sent to servers if their own deadlines are after AnswerBy.
	SendUntil time.Time
	// AnswerBy is until when servers may respond.
	AnswerBy time.Time
	// CloseBy is when callers' connections are closed.
	CloseBy time.Time
}

// PlanStop returns the deadlines of a stop that begins now and may take the grace period.
func PlanStop(now time.Time, grace time.Duration) StopDeadlines {
	reserved := grace / escrowReturnDivisor
	d := StopDeadlines{AcceptUntil: now.Add(min(maxDrainTime, grace/drainDivisor)), AnswerBy: now.Add(grace - reserved)}
	d.SendUntil = d.AcceptUntil.Add(d.AnswerBy.Sub(d.AcceptUntil) / 2)
	d.CloseBy = d.AnswerBy.Add(reserved / lastAnswersDivisor)
	return d
}

// maySend reports whether a request with a deadline, zero if it is not known yet, may be sent to a
// server: it ends by AnswerBy on its own account, or has half of the time that there is after AcceptUntil.
func (d StopDeadlines) maySend(deadline, now time.Time) bool {
	return !now.After(d.SendUntil) || !deadline.IsZero() && !deadline.After(d.AnswerBy)
}

// stoppable is what a planned stop must know of a request. The fields are guarded by the mutex of its
// requestStopper.
type stoppable struct {
	cancel context.CancelCauseFunc
	// deadline is the deadline of the request; zero until it is known.
	deadline time.Time
	// sending is set while an attempt is under way.
	sending bool
}

// requestStopper ends requests by the deadlines of a planned stop.
type requestStopper struct {
	mu sync.Mutex // guards the fields below
	// deadlines are those of the stop; nil before it.
	deadlines *StopDeadlines
	requests  map[*stoppable]struct{}
}

// add adds a request whose context cancel ends.
func (s *requestStopper) add(r *stoppable, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = make(map[*stoppable]struct{})
	}
	r.cancel = cancel
	s.requests[r] = struct{}{}
}

// remove removes a request that has ended.
func (s *requestStopper) remove(r *stoppable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, r)
}

// setDeadline sets the deadline of a request, and reports whether the request may still be sent.
func (s *requestStopper) setDeadline(r *stoppable, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.deadline = deadline
	return s.maySend(r, time.Now())
}

// beginAttempt reports whether an attempt may be made. The caller must call endAttempt after it. The
// rest of a response that has been started may be requested at any time.
func (s *requestStopper) beginAttempt(r *stoppable, started bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.sending = started || s.maySend(r, time.Now())
	return r.sending
}

// mayRetry reports whether an attempt could be made now.
func (s *requestStopper) mayRetry(r *stoppable, started bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return started || s.maySend(r, time.Now())
}

// endAttempt ends an attempt.
func (s *requestStopper) endAttempt(r *stoppable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.sending = false
}

// maySend reports whether a request may be sent. The caller must hold mu.
func (s *requestStopper) maySend(r *stoppable, now time.Time) bool {
	return s.deadlines == nil || s.deadlines.maySend(r.deadline, now)
}

// begin sets the deadlines.
func (s *requestStopper) begin(d StopDeadlines) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlines = &d
}

// endWaiting ends the requests that are not at a server and may no longer be sent to one.
func (s *requestStopper) endWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for r := range s.requests {
		if !r.sending && !s.maySend(r, now) {
			r.cancel(errStopping)
		}
	}
}

// endAll ends all requests.
func (s *requestStopper) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.requests {
		r.cancel(errStopping)
	}
}

// Stop begins a planned stop: the gateway is not ready from now on, and requests end by the deadlines.
// It returns at AcceptUntil, or when ctx ends.
func (g *Gateway) Stop(ctx context.Context, d StopDeadlines) {
	g.requestStopper.begin(d)
	g.stopping.Store(true)
	g.lender.Stop()
	for _, step := range []struct {
		at time.Time
		do func()
	}{{d.SendUntil, g.requestStopper.endWaiting}, {d.AnswerBy, g.requestStopper.endAll}} {
		go func() {
			if loop.Sleep(ctx, time.Until(step.at)) {
				step.do()
			}
		}()
	}
	loop.Sleep(ctx, time.Until(d.AcceptUntil))
	g.endAccepting()
}

// CloseBy returns when callers' connections are closed; without a planned stop, as if one began now.
func (g *Gateway) CloseBy(grace time.Duration) time.Time {
	g.requestStopper.mu.Lock()
	defer g.requestStopper.mu.Unlock()
	if d := g.requestStopper.deadlines; d != nil {
		return d.CloseBy
	}
	return PlanStop(time.Now(), grace).CloseBy
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Accepting returns a context that ends when no more requests are accepted.
func (g *Gateway) Accepting() context.Context { return g.accepting }

// RefuseStopping returns the refusal of a request that has not run because the router is stopping.
// Other routers serve it at once.
func RefuseStopping() *sumachead.Refusal {
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonStopping, "the router is stopping", time.Now())
}

// stopFilter refuses a request whose deadline leaves it no time in a planned stop.
func (g *Gateway) stopFilter(next handler) handler {
	return func(x *exchange) error {
		if !g.requestStopper.setDeadline(&x.stoppable, x.deadline) {
			return RefuseStopping()
		}
		return next(x)
	}
}

// refuseStopping returns the final error of a request that a planned stop ends.
func (d *dispatch) refuseStopping() error {
	if !d.mayHaveRun {
		return RefuseStopping()
	}
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonStopping, "the router is stopping, and a backend server may have run the request", time.Time{})
}
