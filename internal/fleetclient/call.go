package fleetclient

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/internal/rpc"
)

// hedgeAfter is how long a call may take before other ways are tried beside
// it: several times what a commit takes.
const hedgeAfter = 60 * time.Millisecond

// Call runs a method at the leader. When the reply is late, it looks for another
// way and calls there as well, so the method must be idempotent. An error leaves
// open whether it was carried out.
func Call[R any](ctx context.Context, c *Client, method string, args proto.Message) (*R, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := c.knownWay()
	if err != nil {
		return nil, err
	}
	replies := make(chan callResult[R], 2)
	callWay := func(w Way) {
		r, err := rpc.Call[R](ctx, c.through(w), method, args)
		replies <- callResult[R]{r, err}
	}
	go callWay(w)
	t := time.NewTimer(hedgeAfter)
	defer t.Stop()
	select {
	case r := <-replies:
		if r.err == nil {
			return r.reply, nil
		}
		// Failed at once: another way is worth a try.
		replies <- r
	case <-t.C:
	}
	go func() {
		if other, ok := c.searchWay(ctx); ok {
			callWay(other)
			return
		}
		replies <- callResult[R]{err: trace.ConnectionProblem(nil, "no other way to the leading keeper was found")}
	}()
	first := <-replies
	if first.err == nil {
		return first.reply, nil
	}
	second := <-replies
	return second.reply, second.err
}

// callResult is how a call over one way ended.
type callResult[R any] struct {
	reply *R
	err   error
}

// knownWay returns the way to the leader, or the error of a call for which there
// is none.
func (c *Client) knownWay() (Way, error) {
	w, ok := c.Way()
	if !ok {
		return Way{}, trace.ConnectionProblem(nil, "no way to the leading keeper is known")
	}
	return w, nil
}
