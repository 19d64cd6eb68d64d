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
	"sumachead/internal/boottime"
	"sumachead/internal/chain"
	"sumachead/internal/escrow"
	"sumachead/internal/fleet"
	"sumachead/internal/fleetclient"
	"sumachead/internal/intake"
	"sumachead/internal/lending"
	"sumachead/internal/linkload"
	"sumachead/internal/loop"
	"sumachead/internal/origin"
	"sumachead/internal/place"
	"sumachead/internal/quarantine"
	"sumachead/internal/registry"
	"sumachead/internal/retrybudget"
	"sumachead/internal/rollout"
	"sumachead/internal/rpc"
	"sumachead/internal/telemetry"
	"sumachead/internal/upstream"
)

// cleanupInterval is the interval at which idle connections and expired state are dropped.
const cleanupInterval = 2 * time.Second

// defaultFailuresPerSecond is how many log lines per second are kept for each kind of failure:
// enough for a full queue of callers that are all refused.
const defaultFailuresPerSecond = 60

// Gateway is the router of a declared fleet. Set the exported fields before Init.
type Gateway struct {
	Node sumachead.NodeID
	Hall sumachead.HallID
	// Regions maps each existing data hall to its region.
	Regions map[sumachead.HallID]sumachead.RegionID
	// Seeds returns the addresses of some keepers.
	Seeds func() []string
	// Heartbeat is the interval at which backend servers send heartbeats.
	Heartbeat time.Duration
	// Retries limits the retries of all routers together.
	Retries retrybudget.Limit
	// ColdOverage and ColdSlack limit what a cold backend server receives in any second:
	// ColdOverage times its declared rate plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// LinesPerSecond and FailuresPerSecond limit the log lines of one kind, for served and for
	// failed requests; 0 selects the defaults.
	LinesPerSecond    int
	FailuresPerSecond int
	Dialect           sumachead.Dialect
	// RPC serves calls from other routers at Address; nil for a router that neither lends nor
	// borrows escrow.
	RPC     *rpc.Server
	Address string
	Pool    *rpc.Pool
	// ResponseBytes limits the memory for large responses that are read before they are passed on; 0
	// selects the default.
	ResponseBytes int64
	// LinkBytes is the capacity of the host's link in bytes per second, in each direction; 0 if
	// unknown.
	LinkBytes int64
	// TrackerAddress returns the address of the load tracker beside an engine, or an empty string
	// if it has none; nil if no engine has one.
	TrackerAddress func(*wire.ServerRecord) string
	Log            hclog.Logger

	client    *fleetclient.Client
	wallet    *escrow.Wallet
	reporter  *fleetclient.Reporter
	lender    *lending.Lender
	borrower  *lending.Borrower
	servers   *registry.Table
	upstream  *upstream.Pool
	scheduler *place.Scheduler
	trackers  *trackerClient
	retries   *retrybudget.Budget
	checks    healthChecks
	crashes   crashDetector
	suspects  suspects
	// blockRequests are the requests in flight whose prompts share blocks.
	blockRequests blockRequests
	suspension    suspensionDetector
	cold          rateShares
	backoffs      *backoff.Table
	limits        requestLimits
	sampler       *rollout.Sampler
	origins       *origin.Directory
	link          linkload.Link
	// responseMemory limits the heads, events and bodies that are read before they are passed on.
	responseMemory upstream.Memory
	metrics        *Metrics
	// handle runs the filters around dispatch.
	handle handler
	// servedLog limits log lines of served requests, failureLog those of failed ones, of which more
	// are kept.
	servedLog  *telemetry.LogLimiter
	failureLog *telemetry.LogLimiter
	// startedAt is when Init was called.
	startedAt time.Time
	inFlight  atomic.Int64
	// stopping is set once a planned stop has begun, and accepting ends, by endAccepting, when no more
	// requests are accepted.
	stopping       atomic.Bool
	accepting      context.Context
	endAccepting   context.CancelFunc
	requestStopper requestStopper
}

// Init initializes what Run and Serve need.
func (g *Gateway) Init() {
	g.startedAt = time.Now()
	g.accepting, g.endAccepting = context.WithCancel(context.Background())
	g.servers = &registry.Table{Heartbeat: g.Heartbeat}
	g.metrics = newMetrics(g)
	g.servedLog = &telemetry.LogLimiter{PerSecond: g.LinesPerSecond}
	g.failureLog = &telemetry.LogLimiter{PerSecond: cmp.Or(g.FailuresPerSecond, defaultFailuresPerSecond)}
	g.sampler = &rollout.Sampler{Clock: boottime.Clock{}, Node: g.Node, Boot: sumachead.BootID(rand.Text())}
	g.client = &fleetclient.Client{
		Node: g.Node, Role: fleet.RoleRouter, Hall: g.Hall, Seeds: g.Seeds, Pool: g.Pool,
		Servers: g.servers, Log: g.Log.Named("follow"), LendingAddress: g.lendingAddress, Suspects: &quarantine.Table{},
		Rollouts: g.sampler, LinkPercent: g.linkPercent, OnHallLink: g.applyHallLink,
	}
	g.link.BytesPerSecond, g.link.Changed = g.LinkBytes, g.recordOverload
	g.suspension.Clock, g.suspension.Refresh = boottime.Clock{}, g.client.Refresh
	g.suspects.Node, g.suspects.Table, g.suspects.ApplySuspects = g.Node, g.client.Suspects, g.client.ApplySuspects
	g.client.OnSuspects = g.applySuspects
	g.suspects.ReportCrashes, g.suspects.RequestTrial = g.client.ReportCrashes, g.client.RequestTrial
	g.wallet = &escrow.Wallet{Node: g.Node}
	g.reporter = &fleetclient.Reporter{Client: g.client, Wallet: g.wallet, Log: g.Log.Named("escrow")}
	if g.RPC != nil {
		g.reporter.Address = g.Address
	}
	g.reporter.OnReported = func(d time.Duration) { g.metrics.ledgerReports.Observe(d.Seconds()) }
	g.reporter.Prepare()
	g.lender = &lending.Lender{
		Wallet: g.wallet, LedgerUnreachable: g.reporter.LedgerUnreachable,
		OnOverdue: func(t sumachead.Tokens) { g.metrics.overdueLoans.Add(float64(t)) },
	}
	g.borrower = &lending.Borrower{
		SelfAddress: g.Address, Lenders: g.client.Lenders, Wallet: g.wallet, LedgerUnreachable: g.reporter.LedgerUnreachable, Pool: g.Pool,
		Log: g.Log.Named("lending"),
	}
	g.borrower.Init()
	g.backoffs = &backoff.Table{Clock: boottime.Clock{}}
	g.upstream = &upstream.Pool{
		Dialect: g.Dialect, OnDial: g.metrics.dials.Inc, OnNotice: g.handleNotice, BlockReason: g.withholdReason,
		Memory: &g.responseMemory,
	}
	g.crashes.Probe = g.upstream.Probe
	g.servers.OnSuperseded = func(r *wire.ServerRecord) {
		g.upstream.CloseServer(upstream.Server{ID: sumachead.ServerID(r.GetId()), Address: r.GetAddress()})
	}
	g.scheduler = place.NewScheduler(g.Hall)
	g.limits.Denials = &backoff.Table{Clock: boottime.Clock{}}
	g.scheduler.Backoff = func(id sumachead.ServerID) time.Duration {
		return max(g.backoffs.Remaining(id), g.limits.Denials.Remaining(id))
	}
	g.scheduler.Limited = func(id sumachead.ServerID) bool { return g.limits.Get(id).Rate > 0 }
	g.trackers = &trackerClient{Address: g.TrackerAddress, Pool: g.Pool, Scheduler: g.scheduler, Limits: &g.limits.Table}
	g.trackers.prepare()
	g.responseMemory.MaxBytes = cmp.Or(g.ResponseBytes, defaultResponseBytes)
	g.origins = &origin.Directory{Hall: g.Hall, Holders: g.originHolders, Pool: g.Pool}
	g.handle = chain.Wrap(g.dispatch, textFilter, g.settingsFilter, g.routeFilter, g.workspaceFilter, g.deadlineFilter, g.stopFilter, g.serviceFilter, g.escrowFilter)
	g.retries = &retrybudget.Budget{Limit: g.Retries, Clock: boottime.Clock{}, Request: g.client.RequestRetries}
}

// Run follows the keepers and keeps escrow available until ctx ends. Requests must be served only
// before that; unspent escrow is returned then.
func (g *Gateway) Run(ctx context.Context) error {
	tasks, work := errgroup.WithContext(ctx)
	lendingCtx, stopLending := context.WithCancel(context.Background())
	defer stopLending()
	lendingDone, err := g.serveLending(lendingCtx)
	if err != nil {
		return err
	}
	tasks.Go(func() error { return g.reporter.Run(work) })
	tasks.Go(func() error {
		return loop.Every(work, cleanupInterval, func() {
			g.upstream.Prune(time.Now())
			g.Pool.CloseIdle(time.Now())
			g.scheduler.Prune(time.Now())
			g.servers.Prune(time.Now())
			g.checks.expire(time.Now())
			g.crashes.expire(time.Now())
			g.backoffs.Expire()
			g.expireLimits()
			g.suspects.expire(time.Now())
			g.retries.Expire()
		})
	})
	tasks.Go(func() error { return loop.Every(work, suspensionTickInterval, g.suspension.tick) })
	tasks.Go(func() error { return loop.Every(work, outcomeReportInterval, func() { g.reportOutcomes(work) }) })
	followCtx, stop := context.WithCancel(context.Background())
	defer stop()
	followDone := make(chan error, 1)
	go func() { followDone <- g.client.Run(followCtx) }()
	err = tasks.Wait()
	g.settleLoans()
	g.reporter.Close()
	stopLending()
	g.upstream.Close()
	stop()
	return errors.Join(err, <-followDone, <-lendingDone)
}

// Ready reports whether new callers should be sent to this router.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.client.View() != nil && !g.link.Overloaded(time.Now())
}

// recordOverload records that the callers' load on the link has exceeded its threshold, or no
// longer does.
func (g *Gateway) recordOverload(overloaded bool) {
	if overloaded {
		g.metrics.overloads.Inc()
	}
	g.servedLog.Info(g.Log, "Link overload state changed.", "overloaded", overloaded)
}

// CountBytes records bytes exchanged with callers.
func (g *Gateway) CountBytes(n int) { g.link.AddBytes(n, time.Now()) }

// Limits returns the limits for callers from the declaration in force; 0 for those it does not set.
func (g *Gateway) Limits() intake.Limits {
	var l *wire.CallerLimits
	if v := g.client.View(); v != nil {
		l = v.Catalog.GetLimits()
	}
	return intake.Limits{
		HeaderBytes: l.GetHeaderBytes(), BodyBytes: l.GetBodyBytes(),
		HeaderTimeout: time.Duration(l.GetHeaderMillis()) * time.Millisecond, IdleTimeout: time.Duration(l.GetIdleMillis()) * time.Millisecond,
	}
}

// OpenRequests returns the number of requests in flight.
func (g *Gateway) OpenRequests() int { return int(g.inFlight.Load()) }

// Metrics returns the gateway's metrics.
func (g *Gateway) Metrics() *Metrics { return g.metrics }
