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
	// drainTimeout bounds how long a planned stop waits for what runs.
	drainTimeout = 5 * time.Minute
	// deliverTimeout bounds how long a planned stop waits for routers to
	// fetch finished answers.
	deliverTimeout = 5 * time.Second
	sweepEvery     = 250 * time.Millisecond
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
	rests    *backoff.Table
	metrics  *metrics
	stopping atomic.Bool

	mu sync.Mutex // guards epoch
	// epoch is the highest fencing epoch seen.
	epoch sumachead.Epoch
}

// Run serves until ctx ends, then finishes what runs and stops.
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
	a.rests = &backoff.Table{Clock: boottime.Clock{}}
	a.backend = newBackend(a.Config.Agent.Backend, a.health)
	a.backend.rested = func(d time.Duration) {
		a.metrics.rests.Inc()
		if a.rests.Set(a.Config.Agent.Server, d) {
			a.Log.Info("The backend server asks for rest.", "rest", d)
		}
	}
	a.follower = &follower.Follower{
		Config: a.Config, Boot: a.boot, Pool: a.Pool, Log: a.Log.Named("settings"),
		Without: []string{settings.KindWorkspaces, settings.KindBudgets, settings.KindTopups, settings.KindBranches},
	}
}

// own returns this agent's backend server and its pool, or nil when the
// settings do not have them.
func (a *Agent) own(v *settings.View) (*settings.ResolvedServer, *settings.ResolvedPool) {
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

// drain refuses new work, finishes what runs, and waits a while for routers to
// fetch the answers.
func (a *Agent) drain() {
	a.stopping.Store(true)
	a.Log.Info("Stopping: finishing what runs.", "running", a.runs.active())
	deadline := time.Now().Add(drainTimeout)
	const pollEvery = 20 * time.Millisecond
	for a.runs.active() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollEvery)
	}
	deadline = time.Now().Add(deliverTimeout)
	for a.runs.unsettled() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollEvery)
	}
}

func (a *Agent) sweepLoop(ctx context.Context) error {
	return loop.Every(ctx, sweepEvery, func() {
		now := time.Now()
		a.runs.sweep(now)
		a.queue.setSlots(a.slots())
		if _, yes := a.suspect(now); yes {
			a.queue.shedAll()
		}
	})
}

// suspect reports whether the backend server seems to be stuck, and until when
// to stay away. Plain services send nothing until they are done, so that only
// model engines are judged.
func (a *Agent) suspect(now time.Time) (until time.Time, yes bool) {
	_, pool := a.own(a.follower.View())
	if pool == nil || pool.Kind != settings.ModelPool {
		return time.Time{}, false
	}
	return a.health.suspect(pool.StuckAfter.Duration, now)
}

func (a *Agent) slots() int {
	if s, _ := a.own(a.follower.View()); s != nil {
		return int(s.Slots)
	}
	return 0
}
