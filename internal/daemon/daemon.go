// Package daemon runs a process in the role that its settings file names.
package daemon

import (
	"context"
	"io"
	"net"

	"github.com/gravitational/trace"

	"sumachead/internal/agent"
	"sumachead/internal/config"
	"sumachead/internal/keeper"
	"sumachead/internal/place"
	"sumachead/internal/router"
	"sumachead/internal/rpc"
	"sumachead/internal/telemetry"
	"sumachead/internal/tlsfiles"
)

// Run runs the process until ctx is done. It writes logs to w.
func Run(ctx context.Context, c *config.Config, w io.Writer) error {
	log := telemetry.NewLogger(w, c.LogLevel, string(c.Node))
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return trace.Wrap(err)
	}
	pool := &rpc.Pool{TLS: files.Client(), LocalIP: net.ParseIP(c.DialFrom)}
	defer pool.Close()
	server := &rpc.Server{Address: c.RPC, TLS: files.Server()}
	switch c.Role {
	case config.RoleRouter:
		r := &router.Router{
			Config: c, Log: log.Named("router"), Pool: pool, CallerTLS: files.Caller(), Placer: place.New(c.Placement),
		}
		return r.Run(ctx)
	case config.RoleAgent:
		return (&agent.Agent{Config: c, Log: log.Named("agent"), RPC: server, Pool: pool}).Run(ctx)
	case config.RoleKeeper:
		return (&keeper.Keeper{Config: c, Log: log.Named("keeper"), RPC: server, Pool: pool}).Run(ctx)
	}
	return trace.BadParameter("role: unknown role %q", c.Role)
}
