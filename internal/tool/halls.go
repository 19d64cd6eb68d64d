package tool

import (
	"context"
	"errors"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/rpc"
)

// hallsShow prints which data halls of a declared fleet are vacated.
type hallsShow struct {
	app     *app
	Keepers []string `long:"keeper" required:"true" description:"address at which a keeper takes what other processes say, HOST:PORT; several for when some are down"`
}

// Execute implements flags.Commander.
func (h *hallsShow) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), h.app.Timeout)
	defer cancel()
	pool := &rpc.Pool{}
	defer pool.Close()
	var failures []error
	for _, k := range h.Keepers {
		s, err := hallStates(ctx, pool, k)
		if err == nil {
			return h.print(s)
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// hallStates asks a keeper, or the one that it names as leading.
func hallStates(ctx context.Context, pool *rpc.Pool, keeper string) (*wire.HallStates, error) {
	const askTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s, err := rpc.Call[wire.HallStates](ctx, pool.Get(keeper), "Fleet.Halls", &wire.Empty{})
	if leader := keeperclient.Leader(err); leader != "" && leader != keeper {
		return rpc.Call[wire.HallStates](ctx, pool.Get(leader), "Fleet.Halls", &wire.Empty{})
	}
	return s, err
}

func (h *hallsShow) print(s *wire.HallStates) error {
	if h.app.JSON {
		return h.app.printProto(s)
	}
	if len(s.GetHalls()) == 0 {
		h.app.printf("no data hall was ever vacated\n")
	}
	for _, x := range s.GetHalls() {
		state := "open"
		if x.GetVacated() {
			state = "vacated"
		}
		since := time.UnixMilli(x.GetSinceUnixMillis()).UTC().Format(time.RFC3339)
		h.app.printf("%s: %s since %s (order %d)\n", x.GetHall(), state, since, x.GetRevision())
	}
	return nil
}
