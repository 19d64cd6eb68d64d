package gateway

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/backoff"
	"sumachead/internal/blame"
	"sumachead/internal/boottime"
	"sumachead/internal/chain"
	"sumachead/internal/escrow"
	"sumachead/internal/fleet"
	"sumachead/internal/fleetclient"
	"sumachead/internal/intake"
	"sumachead/internal/lending"
	"sumachead/internal/linkload"
	"sumachead/internal/loop"
	"sumachead/internal/place"
	"sumachead/internal/registry"
	"sumachead/internal/rollout"
	"sumachead/internal/rpc"
	"sumachead/internal/telemetry"
	"sumachead/internal/upstream"
)

// tidyEvery is how often connections that rest are looked at.
const tidyEvery = 2 * time.Second

// failuresASecond is how many lines a second are kept of each kind of failure: a
// full queue of callers that are all refused.
const failuresASecond = 60

// Gateway is the router of a declared fleet. Set the exported fields before
// Prepare.
type Gateway struct {
	Node sumachead.NodeID
	Hall sumachead.HallID
	// Regions are the regions of the data halls that there are.
	Regions map[sumachead.HallID]sumachead.RegionID
	// Seeds returns addresses of some keepers.
	Seeds func() []string
	// Heartbeat is the interval at which backend servers register.
	Heartbeat time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound what all routers together
	// send again: so much of the requests, and so many more, in any window.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ColdOverage and ColdSlack bound what a cold backend server is sent in any second:
	// so many times the rate that is declared for it, and so many more.
	ColdOverage float64
	ColdSlack   float64
	// LinesPerSecond and FailuresPerSecond bound the log lines of one kind, of
	// requests that are served and of those that are not; 0 for the usual bounds.
	LinesPerSecond    int
	FailuresPerSecond int
	Dialect           sumachead.Dialect
	// RPC takes the calls of other routers at Address; nil for a router that neither
	// lends nor borrows escrow.
	RPC     *rpc.Server
	Address string
	Pool    *rpc.Pool
	// LinkBytes is what the host's link carries in a second, each way; 0 if that is not known.
	LinkBytes int64
	// GaugeAddress returns where the gauge beside an engine takes calls, empty where it
	// has none; nil where no engine has one.
	GaugeAddress func(*wire.ServerRecord) string
	Log          hclog.Logger

	client   *fleetclient.Client
	wallet   *escrow.Wallet
	reporter *fleetclient.Reporter
	lender   *lending.Lender
	borrower *lending.Borrower
	servers  *registry.Table
	upstream *upstream.Pool
	chooser  *place.Scheduler
	gauges   *gauges
	retries  *retryAllowance
	checks   checks
	ends     ends
	suspects suspects
	wake     wake
	cold     coldShares
	rests    *backoff.Table
	limits   limits
	sampler  *rollout.Sampler
	link     linkload.Link
	metrics  *Metrics
	// handle is the filters around dispatch.
	handle handler
	// lines bounds what is logged of requests that are served, failures of those
	// that are not, of which more is kept.
	lines    *telemetry.Lines
	failures *telemetry.Lines
	// startedAt is when Prepare was called.
	startedAt time.Time
	open      atomic.Int64
	stopping  atomic.Bool
}

// Prepare makes what Run and Serve need.
func (g *Gateway) Prepare() {
	g.startedAt = time.Now()
	g.servers = &registry.Table{Heartbeat: g.Heartbeat}
	g.metrics = newMetrics(g)
	g.lines = &telemetry.Lines{PerSecond: g.LinesPerSecond}
	g.failures = &telemetry.Lines{PerSecond: cmp.Or(g.FailuresPerSecond, failuresASecond)}
	g.sampler = &rollout.Sampler{Clock: boottime.Clock{}, Node: g.Node, Boot: sumachead.BootID(rand.Text())}
	g.client = &fleetclient.Client{
		Node: g.Node, Role: fleet.RoleRouter, Hall: g.Hall, Seeds: g.Seeds, Pool: g.Pool,
		Servers: g.servers, Log: g.Log.Named("follow"), LendingAddress: g.lendingAddress, Suspects: &blame.Table{},
		Rollouts: g.sampler,
	}
	g.link.BytesPerSecond, g.link.Changed = g.LinkBytes, g.noteOverload
	g.wake.Clock, g.wake.Refresh = boottime.Clock{}, g.client.Refresh
	g.suspects.Node, g.suspects.Table, g.suspects.Take = g.Node, g.client.Suspects, g.client.TakeSuspects
	g.suspects.Report, g.suspects.Try = g.client.ReportEnds, g.client.Try
	g.wallet = &escrow.Wallet{Node: g.Node}
	g.reporter = &fleetclient.Reporter{Client: g.client, Wallet: g.wallet, Log: g.Log.Named("escrow")}
	g.reporter.Taken = func(d time.Duration) { g.metrics.ledger.Observe(d.Seconds()) }
	g.reporter.Prepare()
	g.lender = &lending.Lender{
		Wallet: g.wallet, Unreached: g.reporter.Unreached,
		Overdue: func(t sumachead.Tokens) { g.metrics.overdue.Add(float64(t)) },
	}
	g.borrower = &lending.Borrower{
		Self: g.Address, Lenders: g.client.Lenders, Wallet: g.wallet, Unreached: g.reporter.Unreached, Pool: g.Pool,
		Log: g.Log.Named("lending"),
	}
	g.borrower.Prepare()
	g.rests = &backoff.Table{Clock: boottime.Clock{}}
	g.upstream = &upstream.Pool{
		Dialect: g.Dialect, OnDial: g.metrics.dials.Inc, OnNotice: g.noteNotice, BlockReason: g.unwanted,
	}
	g.ends.Refuses = g.upstream.RefusesConnections
	g.servers.OnOver = func(r *wire.ServerRecord) {
		g.upstream.CloseServer(upstream.Server{ID: sumachead.ServerID(r.GetId()), Address: r.GetAddress()})
	}
	g.chooser = place.NewScheduler(g.Hall)
	g.limits.Denials = &backoff.Table{Clock: boottime.Clock{}}
	g.chooser.Backoff = func(id sumachead.ServerID) time.Duration {
		return max(g.rests.Remaining(id), g.limits.Denials.Remaining(id))
	}
	g.chooser.Limited = func(id sumachead.ServerID) bool { return g.limits.Get(id).Rate > 0 }
	g.gauges = &gauges{Address: g.GaugeAddress, Pool: g.Pool, Chooser: g.chooser, Limits: &g.limits.Table}
	g.gauges.prepare()
	g.handle = chain.Wrap(g.dispatch, g.settingsFilter, g.routeFilter, g.workspaceFilter, g.deadlineFilter, g.escrowFilter)
	g.retries = &retryAllowance{ratio: g.RetryRatio, extra: g.RetryExtra, window: g.RetryWindow}
}

// Run follows the keepers and keeps escrow at hand until ctx ends. Requests are
// to be served only before; what is not spent is returned then.
func (g *Gateway) Run(ctx context.Context) error {
	tasks, work := errgroup.WithContext(ctx)
	lend, stopLending := context.WithCancel(context.Background())
	defer stopLending()
	lent, err := g.lend(lend)
	if err != nil {
		return err
	}
	tasks.Go(func() error { return g.reporter.Run(work) })
	tasks.Go(func() error {
		return loop.Every(work, tidyEvery, func() {
			g.upstream.Prune(time.Now())
			g.Pool.Tidy(time.Now())
			g.chooser.Prune(time.Now())
			g.servers.Forget(time.Now())
			g.checks.forget(time.Now())
			g.ends.forget(time.Now())
			g.rests.Expire()
			g.forgetLimits()
			g.suspects.expire(time.Now())
		})
	})
	tasks.Go(func() error { return loop.Every(work, wakeTick, g.wake.tick) })
	tasks.Go(func() error { return loop.Every(work, sampleTick, func() { g.tellSamples(work) }) })
	follow, stop := context.WithCancel(context.Background())
	defer stop()
	followed := make(chan error, 1)
	go func() { followed <- g.client.Run(follow) }()
	err = tasks.Wait()
	g.settleLoans()
	g.reporter.Close()
	stopLending()
	g.upstream.Close()
	stop()
	return errors.Join(err, <-followed, <-lent)
}

// Ready reports whether new callers should be sent here.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.client.View() != nil && !g.link.Overloaded(time.Now())
}

// noteOverload records that the callers' load on the link has become too high, or is not any more.
func (g *Gateway) noteOverload(overloaded bool) {
	if overloaded {
		g.metrics.overloads.Inc()
	}
	g.lines.Info(g.Log, "Load of callers on the link changed.", "overloaded", overloaded)
}

// AddBytes records bytes exchanged with callers.
func (g *Gateway) AddBytes(n int) { g.link.AddBytes(n, time.Now()) }

// ShouldClose reports whether a caller's connection should be closed after the answer to the
// request that has just come: the router stops, or the next one should go to another router.
func (g *Gateway) ShouldClose() bool { return g.stopping.Load() || g.link.ShouldClose(time.Now()) }

// Limits returns what the declaration in force says of callers; 0 for what it does not
// say.
func (g *Gateway) Limits() intake.Limits {
	var l *wire.CallerLimits
	if v := g.client.View(); v != nil {
		l = v.Catalog.GetLimits()
	}
	return intake.Limits{
		HeaderBytes: l.GetHeaderBytes(), BodyBytes: l.GetBodyBytes(),
		Header: time.Duration(l.GetHeaderMillis()) * time.Millisecond, Idle: time.Duration(l.GetIdleMillis()) * time.Millisecond,
	}
}

// Open returns how many requests are under way.
func (g *Gateway) Open() int { return int(g.open.Load()) }

// Metrics returns the gateway's figures.
func (g *Gateway) Metrics() *Metrics { return g.metrics }
