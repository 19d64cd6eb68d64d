package gateway

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"sumachead/internal/lending"
)

// settleTimeout limits how long a planned stop waits for bills, both those that this router still
// has to send and those for the escrow it has lent: calls within a data hall, for requests that
// have mostly ended.
const settleTimeout = 300 * time.Millisecond

// lendingAddress returns where this router lends escrow; empty while it does not.
func (g *Gateway) lendingAddress() string {
	if g.RPC == nil || g.stopping.Load() {
		return ""
	}
	return g.Address
}

// serveLending serves calls from other routers until ctx ends; the channel then receives the
// result.
func (g *Gateway) serveLending(ctx context.Context) (done <-chan error, err error) {
	result := make(chan error, 1)
	if g.RPC == nil {
		result <- nil
		return result, nil
	}
	if err := errors.Join(g.RPC.Register(lending.Name, g.lender), g.RPC.Listen()); err != nil {
		return nil, err
	}
	tasks, work := errgroup.WithContext(ctx)
	tasks.Go(g.RPC.Run)
	tasks.Go(func() error { return g.lender.Run(work) })
	tasks.Go(func() error {
		<-work.Done()
		g.RPC.Close()
		return nil
	})
	go func() { result <- tasks.Wait() }()
	return result, nil
}

// settleLoans sends the bills of this router's requests to their lenders and waits for the bills of
// other routers. Call it once no request is in flight.
func (g *Gateway) settleLoans() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	g.borrower.Flush(ctx)
	g.lender.Drain(ctx)
}
