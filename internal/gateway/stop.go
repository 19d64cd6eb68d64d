package gateway

import (
	"context"
	"time"

	"sumachead/internal/loop"
)

const (
	// turnAway is for how long after the order to stop new connections are still
	// taken, if that is not more than one part in turnAwayPart of the grace: a
	// balancer needs two missed health checks, one a second.
	turnAway     = 2500 * time.Millisecond
	turnAwayPart = 3
	// lastPart is the part of the grace, one in so many, that is kept for the
	// return of escrow.
	lastPart = 6
)

// StopTimes divides the grace of a planned stop: for how long new callers are
// still taken, and then how long requests under way may take to finish.
func StopTimes(grace time.Duration) (turn, finish time.Duration) {
	turn = min(turnAway, grace/turnAwayPart)
	return turn, grace - grace/lastPart - turn
}

// TurnAway makes the gateway not ready, and waits until the balancer should send
// no more callers or ctx ends. Requests that still come are served.
func (g *Gateway) TurnAway(ctx context.Context, turn time.Duration) {
	g.stopping.Store(true)
	g.lender.Stop()
	loop.Sleep(ctx, turn)
}
