package gateway

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"sumachead/internal/lending"
)

// settleWithin bounds how long a planned stop waits for bills, those that this router
// still has to bring and those of what it has lent: calls within a data hall, of requests
// that have mostly ended.
const settleWithin = 300 * time.Millisecond

// lendingAddress returns where this router lends escrow; empty while it does not.
func (g *Gateway) lendingAddress() string {
	if g.RPC == nil || g.stopping.Load() {
		return ""
	}
	return g.Address
}

// lend takes the calls of other routers until ctx ends; how that ended is told then.
func (g *Gateway) lend(ctx context.Context) (ended <-chan error, err error) {
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

// settleLoans brings the bills of this router's requests to their lenders, and waits for
// those of others. Call it once no request is under way.
func (g *Gateway) settleLoans() {
	ctx, cancel := context.WithTimeout(context.Background(), settleWithin)
	defer cancel()
	g.borrower.Flush(ctx)
	g.lender.Drain(ctx)
}
