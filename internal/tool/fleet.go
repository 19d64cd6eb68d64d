package tool

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

// fleetOptions are the options of commands for a declared fleet.
type fleetOptions struct {
	Keepers []string `long:"keeper" required:"true" description:"RPC address of a keeper, HOST:PORT; may be repeated, as some keepers may be down"`
}

// leaderRetryInterval is the time between two searches for the leader: a few of them per election.
const leaderRetryInterval = 200 * time.Millisecond

// callLeader calls the leading keeper, which is one of the given keepers or one that they name. It waits for
// the end of an election. The method must be idempotent.
func callLeader[R any](a *app, k *fleetOptions, method string, args proto.Message) (*R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	pool := &rpc.Pool{}
	defer pool.Close()
	for {
		var failures []error
		for _, keeper := range k.Keepers {
			reply, err := callWithRedirect[R](ctx, pool, keeper, method, args)
			if err == nil {
				return reply, nil
			}
			failures = append(failures, err)
		}
		if !slices.ContainsFunc(failures, keeperclient.IsNotLeader) || !loop.Sleep(ctx, leaderRetryInterval) {
			return nil, errors.Join(failures...)
		}
	}
}

// callWithRedirect calls a keeper, and the leader if the keeper's reply names another one.
func callWithRedirect[R any](ctx context.Context, pool *rpc.Pool, keeper, method string, args proto.Message) (*R, error) {
	const askTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := rpc.Call[R](ctx, pool.Get(keeper), method, args)
	if leader := keeperclient.LeaderHint(err); leader != "" && leader != keeper {
		return rpc.Call[R](ctx, pool.Get(leader), method, args)
	}
	return reply, err
}
