package tool

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/internal/keeperclient"
	"sumachead/internal/rpc"
)

// fleetKeepers names the keepers of a declared fleet.
type fleetKeepers struct {
	Keepers []string `long:"keeper" required:"true" description:"address at which a keeper takes what other processes say, HOST:PORT; several for when some are down"`
}

// callLeader calls the keeper that leads: one of those that are named, or one that these name.
func callLeader[R any](a *app, k *fleetKeepers, method string, args proto.Message) (*R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	pool := &rpc.Pool{}
	defer pool.Close()
	var failures []error
	for _, keeper := range k.Keepers {
		reply, err := callOrFollow[R](ctx, pool, keeper, method, args)
		if err == nil {
			return reply, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

// callOrFollow calls a keeper, or the one that it names as leading.
func callOrFollow[R any](ctx context.Context, pool *rpc.Pool, keeper, method string, args proto.Message) (*R, error) {
	const askTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := rpc.Call[R](ctx, pool.Get(keeper), method, args)
	if leader := keeperclient.LeaderHint(err); leader != "" && leader != keeper {
		return rpc.Call[R](ctx, pool.Get(leader), method, args)
	}
	return reply, err
}
