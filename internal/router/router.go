package router

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"sumachead"
	"sumachead/internal/chain"
	"sumachead/internal/config"
	"sumachead/internal/follower"
	"sumachead/internal/intake"
	"sumachead/internal/keeperclient"
	"sumachead/internal/rpc"
	"sumachead/internal/settings"
	"sumachead/internal/telemetry"
)

const (
	// drainTimeout is how long a graceful shutdown waits for requests in flight.
	drainTimeout = 5 * time.Minute
	// shutdownDelay is how long a stopping router still accepts requests while it
	// reports that it is not ready, so that load balancers can stop using it.
	shutdownDelay = 300 * time.Millisecond
	// callerIdleTimeout limits how long a caller's connection may be idle: longer than load balancers
	// keep one.
	callerIdleTimeout = time.Hour
)

// Router is one router process. Set the exported fields before Run.
type Router struct {
	Config *config.Config
	Log    hclog.Logger
	Pool   *rpc.Pool
	// CallerTLS is nil for plain HTTP.
	CallerTLS *tls.Config
	Placer    sumachead.Placer

	boot         string
	follower     *follower.Follower
	ledger       sumachead.Ledger
	links        *linkTable
	settler      *settler
	concurrency  *concurrency
	retryBudgets *retryBudgets
	metrics      *metrics
	stopping     atomic.Bool
	ownerCounter atomic.Uint64
}

// Run serves until ctx is done, then finishes the requests in flight.
func (r *Router) Run(ctx context.Context) error {
	r.prepare()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	serving, stopServing := context.WithCancel(work)
	defer stopServing()
	tasks, work := errgroup.WithContext(work)
	tasks.Go(func() error { return r.follower.Run(work) })
	tasks.Go(func() error { return r.settler.run(work) })
	served := make(chan error, 1)
	go func() { served <- r.server().Run(serving) }()
	r.Log.Info("Serving.", "http", r.Config.HTTP)
	var err error
	select {
	case <-ctx.Done():
		r.stopping.Store(true)
		r.Log.Info("Stopping: finishing requests in flight.")
		time.Sleep(shutdownDelay)
		stopServing()
		err = <-served
		r.settler.flush()
	case err = <-served:
	case <-work.Done():
	}
	stop()
	return errors.Join(err, tasks.Wait())
}

func (r *Router) prepare() {
	r.boot = string(r.Config.Node) + "/" + uuid.NewString()
	r.metrics = newMetrics()
	client := &keeperclient.Client{Keepers: r.Config.Keepers, Pool: r.Pool, Hall: r.Config.Hall}
	r.ledger = client
	r.links = newLinkTable(r.Pool)
	r.settler = newSettler(r.ledger, r.Log.Named("settle"))
	r.concurrency = &concurrency{}
	r.retryBudgets = &retryBudgets{}
	r.follower = &follower.Follower{
		Config: r.Config, Boot: sumachead.BootID(r.boot), Pool: r.Pool, Log: r.Log.Named("settings"),
		ExcludedKinds: []string{settings.KindBudgets, settings.KindTopups},
	}
}

func (r *Router) server() *intake.Server {
	return &intake.Server{
		Address: r.Config.HTTP, TLS: r.CallerTLS, Handler: r.routes(), Limits: func() intake.Limits { return intake.Limits{IdleTimeout: callerIdleTimeout} },
		DrainDeadline: func() time.Time { return time.Now().Add(drainTimeout) },
	}
}

// routes returns the HTTP handler for all paths.
func (r *Router) routes() http.Handler {
	m := chi.NewRouter()
	telemetry.Mount(m, r.metrics.registry, r.ready)
	m.Post("/v1/chat/completions", r.serve(prepareChat))
	m.HandleFunc("/v1/services/{pool}/*", r.serve(prepareServiceCall))
	m.NotFound(func(w http.ResponseWriter, q *http.Request) { r.unknownPath(w, q) })
	m.MethodNotAllowed(func(w http.ResponseWriter, q *http.Request) { r.unknownPath(w, q) })
	return m
}

func (r *Router) unknownPath(w http.ResponseWriter, q *http.Request) {
	x := &exchange{w: w, r: q, id: uuid.NewString()}
	r.refuse(x, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBadRequest, "no such path or method", time.Time{}))
}

// serve returns a handler that runs the filter chain. prepare parses the body and
// sets the backend request that the last handler dispatches.
func (r *Router) serve(prepare func(*Router, *exchange) error) http.HandlerFunc {
	h := chain.Wrap(r.dispatch,
		r.errorFilter,
		r.requestIDFilter,
		r.settingsFilter,
		r.authFilter,
		r.sizeFilter,
		r.deadlineFilter,
		func(next handler) handler {
			return func(x *exchange) error {
				if err := prepare(r, x); err != nil {
					return err
				}
				return next(x)
			}
		},
		r.concurrencyFilter,
	)
	return func(w http.ResponseWriter, q *http.Request) {
		_ = h(&exchange{w: w, r: q}) // errorFilter sends the error
	}
}

func (r *Router) ready() error {
	if r.stopping.Load() {
		return notRun(sumachead.ReasonStopping, "the router is stopping", time.Time{})
	}
	if r.follower.View() == nil || !r.follower.MayServeAny() {
		return notRun(sumachead.ReasonSettingsStale, "the settings are not proved current", time.Time{})
	}
	return nil
}

// newAttemptOwner returns a unique owner name for an attempt of this router.
func (r *Router) newAttemptOwner() string {
	const base = 36
	return r.boot + "/" + formatUint(r.ownerCounter.Add(1), base)
}
