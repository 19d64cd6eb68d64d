package fleetclient

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/internal/rpc"
)

// hedgeDelay is how long a call may take before another path is tried in parallel: several times
// the duration of a commit.
const hedgeDelay = 60 * time.Millisecond

// Call calls a method at the leader. If the reply is late or the call fails, it searches for
// another path and calls there as well, so the method must be idempotent. After an error the call
// may or may not have been executed.
func Call[R any](ctx context.Context, c *Client, method string, args proto.Message) (*R, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := c.currentPath()
	if err != nil {
		return nil, err
	}
	replies := make(chan callResult[R], 2)
	callPath := func(w Path) {
		r, err := rpc.Call[R](ctx, c.connection(w), method, args)
		replies <- callResult[R]{r, err}
	}
	go callPath(w)
	t := time.NewTimer(hedgeDelay)
	defer t.Stop()
	select {
	case r := <-replies:
		if r.err == nil {
			return r.reply, nil
		}
		// The call failed early: try another path.
		replies <- r
	case <-t.C:
	}
	go func() {
		if other, ok := c.searchPath(ctx); ok {
			callPath(other)
			return
		}
		replies <- callResult[R]{err: trace.ConnectionProblem(nil, "no other path to the leading keeper was found")}
	}()
	first := <-replies
	if first.err == nil {
		return first.reply, nil
	}
	second := <-replies
	return second.reply, second.err
}

// callResult is the result of a call over one path.
type callResult[R any] struct {
	reply *R
	err   error
}

// currentPath returns the path to the leader, or the error for a call without one.
func (c *Client) currentPath() (Path, error) {
	w, ok := c.Path()
	if !ok {
		return Path{}, trace.ConnectionProblem(nil, "no path to the leading keeper is known")
	}
	return w, nil
}
