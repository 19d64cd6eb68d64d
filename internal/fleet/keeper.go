package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/escrow"
	"sumachead/internal/quarantine"
	"sumachead/internal/raft"
	"sumachead/internal/registry"
	"sumachead/internal/retrybudget"
	"sumachead/internal/rollout"
	"sumachead/internal/rpc"
	"sumachead/internal/telemetry"
)

const (
	// Group is the ID of the single Raft group of a fleet.
	Group sumachead.GroupID = "fleet"
	// heartbeatInterval and electionTimeout are longer than the defaults: keepers of a fleet have
	// a fraction of a core, an idle group should cost little, and a sync that hangs for half a
	// second (631 ms occurs on a busy disk) should not depose a leader. During an election,
	// holders of escrow spend what they have available.
	heartbeatInterval = 120 * time.Millisecond
	electionTimeout   = 900 * time.Millisecond
	// entriesPerSnapshot keeps the log far below a disk of some 100 MB even if each entry is a
	// large declaration.
	entriesPerSnapshot = 400
	// transferTimeout bounds the transfer of leadership on a planned stop.
	transferTimeout = 1500 * time.Millisecond
)

// Keeper is one member of the control plane's Raft group. Set the exported fields before Run.
type Keeper struct {
	Node sumachead.NodeID
	Hall sumachead.HallID
	// Address is the RPC address of this keeper and its member ID.
	Address string
	// DataDir is the directory for the identity, the log and the server records.
	DataDir string
	// Founders are the addresses of the initial members; empty if the cluster already exists.
	Founders []string
	// Seeds returns addresses of keepers through which the others are found.
	Seeds func() []string
	// Heartbeat is the interval at which backend servers send heartbeats.
	Heartbeat time.Duration
	RPC       *rpc.Server
	Pool      *rpc.Pool
	Log       hclog.Logger
	// LinesPerSecond bounds the log lines of one kind; 0 selects the default.
	LinesPerSecond int
	// Exposure bounds the requests that a bad version may get; the zero value selects the default.
	Exposure rollout.Bounds
	// Retries limits the retries of all routers together.
	Retries retrybudget.Limit
	// PriorityReserve states that the rest of a budget is reserved for urgent requests.
	PriorityReserve bool
	// Collectors are registered with the keeper's own metrics.
	Collectors []prometheus.Collector

	identity     *wire.Identity
	machine      *StateMachine
	node         *raft.Node
	servers      *registry.Table
	allocator    *escrow.Allocator
	reserveTimes reserveTimes
	followers    *followers
	crashTracker quarantine.Tracker
	retries      retrybudget.Granter
	metrics      *metrics
	// limitedLog limits the rate of log lines on grants and server records.
	limitedLog *telemetry.LogLimiter
	// heartbeats are those that this keeper will forward to the leader.
	heartbeats *heartbeatBatch
	// rolloutControllers hold the active rollouts while this keeper leads.
	rolloutControllers controllerSet
	// startedAt is when Prepare was called.
	startedAt time.Time
	// copiedAt is when the leader last responded with its records, in Unix nanoseconds.
	copiedAt atomic.Int64
	contacts escrow.Contacts
	// reports are consumed by reportsLoop.
	reports chan *pendingReport
	// stopped is closed when Run ends, which ends waiting calls.
	stopped chan struct{}
}

// Prepare opens the data directory and the Raft group. Call it before Run; other methods may be
// called after it.
func (k *Keeper) Prepare(ctx context.Context) error {
	if err := k.openIdentity(); err != nil {
		return err
	}
	k.servers = &registry.Table{Heartbeat: k.Heartbeat}
	k.allocator = &escrow.Allocator{PriorityReserve: k.PriorityReserve, OnReserveChange: k.handleReserveChange}
	k.followers = newFollowers()
	k.retries.Limit, k.retries.Clock, k.retries.RecordUse = k.Retries, boottime.Clock{}, k.recordRetryUse
	k.limitedLog = &telemetry.LogLimiter{PerSecond: k.LinesPerSecond}
	k.heartbeats, k.startedAt = newHeartbeatBatch(), time.Now()
	k.reports = make(chan *pendingReport)
	k.stopped = make(chan struct{})
	k.machine = NewStateMachine()
	k.machine.rollouts.StartReplay()
	k.machine.OnLeaving = func(id string) { k.servers.MarkLeaving(id, time.Now()) }
	t := newTransport(ctx, k.Pool, func(address string) { k.node.ReportConnectionRefused(address) })
	k.node = &raft.Node{
		Group: Group, ID: k.Address, Incarnation: k.identity.GetIncarnation(),
		Dir: k.groupDir(), Machine: k.machine, Send: t.send,
		Founders: k.identity.GetFounders(), HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
		SnapshotThreshold: entriesPerSnapshot, Log: k.Log.Named("group"),
	}
	k.metrics = newMetrics(k)
	k.metrics.Registry.MustRegister(k.Collectors...)
	k.node.ObserveSync = func(d time.Duration) { k.metrics.syncs.Observe(d.Seconds()) }
	if err := k.node.Open(); err != nil {
		return err
	}
	k.loadRecords()
	return nil
}

// Run serves until ctx ends, then transfers leadership and stops. The context of Prepare must
// outlive ctx.
func (k *Keeper) Run(ctx context.Context) error {
	for name, receiver := range map[string]any{"Raft": &raftService{k.node}, "Fleet": &service{k}} {
		if err := k.RPC.Register(name, receiver); err != nil {
			return err
		}
	}
	if err := k.RPC.Listen(); err != nil {
		return err
	}
	defer k.RPC.Close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	tasks, work := errgroup.WithContext(work)
	tasks.Go(k.RPC.Run)
	tasks.Go(func() error { return k.node.Run(work) })
	for _, f := range []func(context.Context) error{k.joinLoop, k.membersLoop, k.sweepLoop, k.suspectLoop, k.copyLoop, k.reportsLoop, k.forwardLoop, k.recordsLoop, k.rolloutsLoop} {
		tasks.Go(func() error { return f(work) })
	}
	k.Log.Info("Serving.", "address", k.Address, "incarnation", k.identity.GetIncarnation(), "founder", k.identity.GetFounders() != nil)
	select {
	case <-ctx.Done():
		k.transferLeadership()
	case <-work.Done():
	}
	stop()
	close(k.stopped)
	k.RPC.Close()
	return tasks.Wait()
}

// transferLeadership transfers leadership, so that a planned stop does not cost an election.
func (k *Keeper) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	k.node.ResignLeadership(ctx)
}
