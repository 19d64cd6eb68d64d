package fleet

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/blame"
	"sumachead/internal/escrow"
	"sumachead/internal/raft"
	"sumachead/internal/registry"
	"sumachead/internal/rollout"
	"sumachead/internal/rpc"
	"sumachead/internal/telemetry"
)

const (
	// Group names the one group of a fleet.
	Group sumachead.GroupID = "fleet"
	// heartbeat and election are longer than the defaults: keepers of a fleet
	// have a fraction of a core, an idle group should cost little, and a sync that
	// hangs for half a second (seen: 631 ms on a busy disk) should cost no leader.
	// Holders of escrow bear an election with what they have at hand.
	heartbeat = 120 * time.Millisecond
	election  = 900 * time.Millisecond
	// snapshotEvery keeps the log far below a disk of some 100 MB when each
	// entry is a large declaration.
	snapshotEvery = 400
	// stopTimeout bounds the hand-over of leadership on a planned stop.
	stopTimeout = 1500 * time.Millisecond
)

// Keeper is one member of the control group. Set the exported fields before Run.
type Keeper struct {
	Node sumachead.NodeID
	Hall sumachead.HallID
	// Address is where other processes call this one; it names the member.
	Address string
	// Data is the folder for the group's files.
	Data string
	// Founders are the addresses of the members that start the system; empty
	// when it exists already.
	Founders []string
	// Seeds returns addresses of keepers to ask for the others.
	Seeds func() []string
	// Heartbeat is the interval at which backend servers register.
	Heartbeat time.Duration
	RPC       *rpc.Server
	Pool      *rpc.Pool
	Log       hclog.Logger
	// LinesPerSecond bounds the log lines of one kind; 0 for the usual bound.
	LinesPerSecond int
	// Exposure bounds what a version may get that turns out to be bad; the usual bounds where
	// it is zero.
	Exposure rollout.Bounds
	// Collectors are told beside the keeper's own figures.
	Collectors []prometheus.Collector

	identity  *wire.Identity
	machine   *Machine
	node      *raft.Node
	servers   *registry.Table
	sizer     *escrow.Allocator
	followers *followers
	docket    blame.Tracker
	metrics   *metrics
	// lines bounds what is logged of grants and of server records.
	lines *telemetry.Lines
	// alive is what this keeper passes on to the leader.
	alive *aliveBatch
	// watches are what this keeper knows of roll-outs, where it leads.
	watches watches
	// startedAt is when Prepare was called.
	startedAt time.Time
	// copiedAt is when the leader last answered with its records, in Unix
	// nanoseconds.
	copiedAt atomic.Int64
	// reports are taken in by reportsLoop.
	reports chan *pendingReport
	// stopped is closed when Run ends; calls that wait then end.
	stopped chan struct{}
}

// Prepare opens the folder and the group. Call it before Run; other methods may
// be called after it.
func (k *Keeper) Prepare(ctx context.Context) error {
	if err := k.openIdentity(); err != nil {
		return err
	}
	k.servers = &registry.Table{Heartbeat: k.Heartbeat}
	k.sizer = &escrow.Allocator{}
	k.followers = newFollowers()
	k.lines = &telemetry.Lines{PerSecond: k.LinesPerSecond}
	k.alive, k.startedAt = newAliveBatch(), time.Now()
	k.reports = make(chan *pendingReport)
	k.stopped = make(chan struct{})
	k.machine = NewMachine()
	k.machine.rollouts.StartReplay()
	k.machine.OnLeaving = func(id string) { k.servers.Leave(id, time.Now()) }
	t := newTransport(ctx, k.Pool, func(address string) { k.node.PeerRefused(address) })
	k.node = &raft.Node{
		Group: Group, ID: k.Address, Incarnation: k.identity.GetIncarnation(),
		Dir: filepath.Join(k.Data, "group"), Machine: k.machine, Send: t.send,
		Founders: k.identity.GetFounders(), Heartbeat: heartbeat, Election: election,
		SnapshotEvery: snapshotEvery, Log: k.Log.Named("group"),
	}
	k.metrics = newMetrics(k)
	k.metrics.Registry.MustRegister(k.Collectors...)
	k.node.Synced = func(d time.Duration) { k.metrics.syncs.Observe(d.Seconds()) }
	if err := k.node.Open(); err != nil {
		return err
	}
	k.loadRecords()
	return nil
}

// Run serves until ctx ends, then hands leadership over and stops. The context
// of Prepare must outlive ctx.
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
	for _, f := range []func(context.Context) error{k.joinLoop, k.membersLoop, k.sweepLoop, k.copyLoop, k.reportsLoop, k.aliveLoop, k.recordsLoop, k.rolloutsLoop} {
		tasks.Go(func() error { return f(work) })
	}
	k.Log.Info("Serving.", "address", k.Address, "incarnation", k.identity.GetIncarnation(), "founder", k.identity.GetFounders() != nil)
	select {
	case <-ctx.Done():
		k.handOver()
	case <-work.Done():
	}
	stop()
	close(k.stopped)
	k.RPC.Close()
	return tasks.Wait()
}

// handOver passes leadership on, so that a planned stop costs no election.
func (k *Keeper) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	k.node.HandOver(ctx)
}
