package gateway

import (
	"context"
	"time"

	"sumachead/internal/loop"
)

const (
	// maxDrainTime is how long new connections are still accepted after the order to stop, unless
	// that exceeds one part in drainDivisor of the grace period: a load balancer needs two missed
	// health checks at one per second.
	maxDrainTime = 2500 * time.Millisecond
	drainDivisor = 3
	// escrowReturnDivisor sets the share of the grace period, one part in so many, that is reserved
	// for the return of escrow.
	escrowReturnDivisor = 6
)

// SplitGracePeriod splits the grace period of a planned stop: for how long new callers are still
// accepted, and then how long requests in flight may take to finish.
func SplitGracePeriod(grace time.Duration) (drain, finish time.Duration) {
	drain = min(maxDrainTime, grace/drainDivisor)
	return drain, grace - grace/escrowReturnDivisor - drain
}

// DrainCallers makes the gateway not ready and waits until the load balancer should send no more
// callers or ctx ends. Requests that still arrive are served.
func (g *Gateway) DrainCallers(ctx context.Context, drain time.Duration) {
	g.stopping.Store(true)
	g.lender.Stop()
	loop.Sleep(ctx, drain)
}
