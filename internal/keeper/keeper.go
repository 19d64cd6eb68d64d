// Package keeper is the role of the hosts with disks: it keeps the settings
// tree and the ledger.
//
// A [Keeper] runs one member of each replicated group, serves the calls of
// routers, agents, the tool and other keepers, and drives a set of controllers
// that act where this keeper leads: totals (settings to ledger), expiry, and
// members (promotion of keepers that have caught up).
package keeper

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/allot"
	"sumachead/internal/config"
	"sumachead/internal/journal"
	"sumachead/internal/keeperclient"
	"sumachead/internal/ledger"
	"sumachead/internal/rpc"
	"sumachead/internal/settings"
	"sumachead/internal/telemetry"
)

// stopTimeout bounds the hand-over of leadership on a planned stop.
const stopTimeout = 2 * time.Second

// pollEvery is how often a state that gives no sign is looked at.
const pollEvery = 10 * time.Millisecond

// Keeper is one keeper process. Set the exported fields before Run.
type Keeper struct {
	Config *config.Config
	Log    hclog.Logger
	RPC    *rpc.Server
	Pool   *rpc.Pool

	// opened: the fields below are set, up to nodes. Health and metrics are
	// served before that.
	opened   atomic.Bool
	identity *wire.Identity
	machine  *settings.Machine
	ledger   *ledger.Machine
	settings *group
	money    *group
	nodes    *nodeTable
	metrics  *metrics
	clients  *keeperclient.Client

	// holds: this keeper holds its hall's journal.
	holds      bool
	allotments allot.Policy
	journal    *journal.Journal
	demand     *allot.Demand
	recalls    *recallState
	mergeMu    sync.Mutex // guards merged, and keeps merges in order
	merged     uint64
}

// Run serves until ctx ends, then hands leadership over and stops.
func (k *Keeper) Run(ctx context.Context) error {
	probe := &probeService{keeper: k}
	if err := k.openIdentity(probe); err != nil {
		return err
	}
	k.metrics = newMetrics(k)
	k.nodes = newNodeTable()
	k.clients = &keeperclient.Client{Keepers: k.Config.Keepers, Pool: k.Pool, Hall: k.Config.Hall}
	k.demand, k.recalls = &allot.Demand{}, &recallState{}
	k.allotments = allot.New(k.Config.Allotments)
	if err := k.listen(probe); err != nil {
		return err
	}
	defer k.RPC.Close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	tasks, work := errgroup.WithContext(work)
	tasks.Go(k.RPC.Run)
	tasks.Go(func() error { return k.serveHTTP(work) })
	if err := k.found(ctx, probe); err != nil {
		stop()
		k.RPC.Close()
		return trace.NewAggregate(err, tasks.Wait())
	}
	k.runGroups(work, tasks)
	k.runControllers(work, tasks)
	k.Log.Info("Serving.", "incarnation", k.identity.GetIncarnation())
	select {
	case <-ctx.Done():
		k.handOver()
	case <-work.Done():
	}
	stop()
	k.RPC.Close()
	return tasks.Wait()
}

func (k *Keeper) listen(probe *probeService) error {
	if err := k.RPC.Register("Probe", probe); err != nil {
		return err
	}
	return k.RPC.Listen()
}

// openGroups opens the groups' folders and registers the services that need
// them.
func (k *Keeper) openGroups() error {
	k.machine = settings.NewMachine(sessionOf(k.identity.GetFounders()))
	k.ledger = ledger.NewMachine()
	var err error
	if k.settings, err = k.openGroup(keeperclient.GroupSettings, k.machine); err != nil {
		return err
	}
	if k.money, err = k.openGroup(keeperclient.GroupLedger, k.ledger); err != nil {
		return err
	}
	if err := k.openJournal(); err != nil {
		return err
	}
	services := []service{
		{"Raft", &raftService{k}},
		{"Settings", &settingsService{k}},
		{"Ledger", &ledgerService{k}},
		{"Keeper", &statusService{k}},
	}
	if k.holds {
		services = append(services, service{"Hall", &hallService{k}})
	}
	for _, s := range services {
		if err := k.RPC.Register(s.name, s.receiver); err != nil {
			return err
		}
	}
	return nil
}

// service is a receiver of calls under its name.
type service struct {
	name     string
	receiver any
}

// openJournal opens the hall's journal where this keeper holds it.
func (k *Keeper) openJournal() error {
	holder, _ := keeperclient.Holder(k.Config.Hall, k.Config.Keepers)
	k.holds = holder.ID == string(k.Config.Node)
	if !k.holds {
		return nil
	}
	incarnation := k.identity.GetIncarnation()
	k.journal = &journal.Journal{
		Dir: filepath.Join(k.Config.Data, "journal"), Hall: k.Config.Hall, Incarnation: incarnation,
		Granted: func(b sumachead.BudgetID) sumachead.Tokens { return k.ledger.Granted(b, k.Config.Hall, incarnation) },
	}
	return k.journal.Open()
}

// sessionOf names the history of revisions that the founders started.
func sessionOf(founders *wire.Members) string {
	h := sha256.New()
	for _, m := range founders.GetMembers() {
		h.Write([]byte(m.GetId() + "/" + m.GetIncarnation() + "\n"))
	}
	const sessionBytes = 8
	return hex.EncodeToString(h.Sum(nil)[:sessionBytes])
}

func (k *Keeper) groups() []*group { return []*group{k.settings, k.money} }

func (k *Keeper) group(id string) *group {
	for _, g := range k.groups() {
		if string(g.node.Group) == id {
			return g
		}
	}
	return nil
}

func (k *Keeper) serveHTTP(ctx context.Context) error {
	ready := func() error {
		if !k.opened.Load() {
			return trace.ConnectionProblem(nil, "the groups are not open yet")
		}
		for _, g := range k.groups() {
			if g.node.Status().GetLeader() == "" {
				return trace.ConnectionProblem(nil, "a group has no leader")
			}
		}
		return nil
	}
	s := &telemetry.HTTPServer{
		Address: k.Config.HTTP, Handler: telemetry.Handler(k.metrics.registry, ready), DrainTimeout: telemetry.MonitoringDrainTimeout,
	}
	return s.Run(ctx)
}
