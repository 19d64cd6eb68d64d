package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"sumachead"
	"sumachead/internal/backoff"
	"sumachead/internal/boottime"
	"sumachead/internal/config"
	"sumachead/internal/follower"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
	"sumachead/internal/settings"
	"sumachead/internal/telemetry"
)

const (
	// drainTimeout is how long a graceful shutdown waits for requests in flight.
	drainTimeout = 5 * time.Minute
	// deliverTimeout is how long a graceful shutdown waits for routers to fetch
	// finished responses.
	deliverTimeout = 5 * time.Second
	sweepInterval  = 250 * time.Millisecond
)

// Agent is one agent process. Set the exported fields before Run.
type Agent struct {
	Config *config.Config
	Log    hclog.Logger
	RPC    *rpc.Server
	Pool   *rpc.Pool

	boot     sumachead.BootID
	follower *follower.Follower
	keepers  *keeperclient.Client
	runs     *runTable
	queue    *queue
	backend  *backend
	health   *health
	backoffs *backoff.Table
	metrics  *metrics
	stopping atomic.Bool

	mu sync.Mutex // guards epoch
	// epoch is the highest fencing epoch that the agent has seen.
	epoch sumachead.Epoch
}

// Run serves until ctx is done, then finishes the requests in flight and stops.
func (a *Agent) Run(ctx context.Context) error {
	a.prepare()
	if err := a.RPC.Register("Agent", &service{a}); err != nil {
		return err
	}
	if err := a.RPC.Listen(); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	tasks, work := errgroup.WithContext(work)
	tasks.Go(a.RPC.Run)
	tasks.Go(func() error { return a.follower.Run(work) })
	tasks.Go(func() error { return a.sweepLoop(work) })
	tasks.Go(func() error { return a.settleLoop(work) })
	tasks.Go(func() error { return a.monitoring().Run(work) })
	a.Log.Info("Serving.", "server", a.Config.Agent.Server, "boot", a.boot)
	select {
	case <-ctx.Done():
		a.drain()
	case <-work.Done():
	}
	stop()
	a.RPC.Close()
	return tasks.Wait()
}

func (a *Agent) prepare() {
	a.boot = sumachead.BootID(uuid.NewString())
	a.keepers = &keeperclient.Client{Keepers: a.Config.Keepers, Pool: a.Pool, Hall: a.Config.Hall}
	a.metrics = newMetrics()
	a.runs = newRunTable(a.Config.Agent.RetainedBytes)
	a.queue = &queue{}
	a.health = &health{}
	a.backoffs = &backoff.Table{Clock: boottime.Clock{}}
	a.backend = newBackend(a.Config.Agent.Backend, a.health)
	a.backend.onBackoff = func(d time.Duration) {
		a.metrics.backoffs.Inc()
		if a.backoffs.Set(a.Config.Agent.Server, d) {
			a.Log.Info("Backend server requested a backoff.", "rest", d)
		}
	}
	a.follower = &follower.Follower{
		Config: a.Config, Boot: a.boot, Pool: a.Pool, Log: a.Log.Named("settings"),
		ExcludedKinds: []string{settings.KindWorkspaces, settings.KindBudgets, settings.KindTopups, settings.KindBranches},
	}
}

// ownServer returns this agent's backend server and its pool, or nil if the settings
// do not have them.
func (a *Agent) ownServer(v *settings.View) (*settings.ResolvedServer, *settings.ResolvedPool) {
	if v == nil {
		return nil, nil
	}
	s := v.Server(a.Config.Agent.Server)
	if s == nil {
		return nil, nil
	}
	return s, v.Pool(s.Pool)
}

func (a *Agent) monitoring() *telemetry.HTTPServer {
	ready := func() error {
		r := a.refusal(nil, time.Now())
		if r == nil {
			return nil
		}
		return r
	}
	return &telemetry.HTTPServer{
		Address: a.Config.HTTP, Handler: telemetry.Handler(a.metrics.registry, ready), DrainTimeout: telemetry.MonitoringDrainTimeout,
	}
}

// drain refuses new requests, waits for the requests in flight, and then up to
// deliverTimeout for routers to fetch the responses.
func (a *Agent) drain() {
	a.stopping.Store(true)
	a.Log.Info("Stopping: finishing requests in flight.", "running", a.runs.active())
	deadline := time.Now().Add(drainTimeout)
	const pollInterval = 20 * time.Millisecond
	for a.runs.active() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	deadline = time.Now().Add(deliverTimeout)
	for a.runs.unsettled() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

func (a *Agent) sweepLoop(ctx context.Context) error {
	return loop.Every(ctx, sweepInterval, func() {
		now := time.Now()
		a.runs.sweep(now)
		a.queue.setSlots(a.slots())
		if _, yes := a.presumedStuck(now); yes {
			a.queue.shedAll()
		}
	})
}

// presumedStuck reports whether the backend server is presumed stuck, and until when
// to send it nothing. It checks model engines only: plain services send nothing
// until they are done.
func (a *Agent) presumedStuck(now time.Time) (until time.Time, yes bool) {
	_, pool := a.ownServer(a.follower.View())
	if pool == nil || pool.Kind != settings.ModelPool {
		return time.Time{}, false
	}
	return a.health.presumedStuck(pool.StuckAfter.Duration, now)
}

func (a *Agent) slots() int {
	if s, _ := a.ownServer(a.follower.View()); s != nil {
		return int(s.Slots)
	}
	return 0
}
