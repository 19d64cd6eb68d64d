// Package keeper implements the keeper role, which stores the settings tree and
// the ledger on the hosts with disks.
//
// A [Keeper] runs one member of each Raft group and serves the calls of routers,
// agents, the command-line tool and other keepers. It also runs a set of
// controllers that act while this keeper leads, such as totals (from settings to
// ledger), expiry of entries, and promotion of learners that have caught up.
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

// stopTimeout bounds the leadership transfer on a planned stop.
const stopTimeout = 2 * time.Second

// pollInterval is how often state without change notifications is polled.
const pollInterval = 10 * time.Millisecond

// Keeper is one keeper process. Set the exported fields before Run.
type Keeper struct {
	Config *config.Config
	Log    hclog.Logger
	RPC    *rpc.Server
	Pool   *rpc.Pool

	// groupsOpen is set once the fields below, up to nodes, are set. Health and
	// metrics are served before that.
	groupsOpen      atomic.Bool
	identity        *wire.Identity
	settingsMachine *settings.Machine
	ledger          *ledger.Machine
	settingsGroup   *group
	ledgerGroup     *group
	nodes           *nodeTable
	metrics         *metrics
	clients         *keeperclient.Client

	// holdsJournal reports whether this keeper holds the journal of its hall.
	holdsJournal bool
	allotPolicy  allot.Policy
	journal      *journal.Journal
	demand       *allot.DemandTracker
	recalls      *recallState
	mergeMu      sync.Mutex // guards mergedSeq and serializes merges
	mergedSeq    uint64
}

// Run serves until ctx is done, then transfers leadership and stops.
func (k *Keeper) Run(ctx context.Context) error {
	probe := &probeService{keeper: k}
	if err := k.openIdentity(probe); err != nil {
		return err
	}
	k.metrics = newMetrics(k)
	k.nodes = newNodeTable()
	k.clients = &keeperclient.Client{Keepers: k.Config.Keepers, Pool: k.Pool, Hall: k.Config.Hall}
	k.demand, k.recalls = &allot.DemandTracker{}, &recallState{}
	k.allotPolicy = allot.New(k.Config.Allotments)
	if err := k.listen(probe); err != nil {
		return err
	}
	defer k.RPC.Close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	tasks, work := errgroup.WithContext(work)
	tasks.Go(k.RPC.Run)
	tasks.Go(func() error { return k.serveMonitoring(work) })
	if err := k.bootstrap(ctx, probe); err != nil {
		stop()
		k.RPC.Close()
		return trace.NewAggregate(err, tasks.Wait())
	}
	k.runGroups(work, tasks)
	k.runControllers(work, tasks)
	k.Log.Info("Serving.", "incarnation", k.identity.GetIncarnation())
	select {
	case <-ctx.Done():
		k.resignLeadership()
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

// openGroups opens the Raft groups and the journal, and registers the services
// that need them.
func (k *Keeper) openGroups() error {
	k.settingsMachine = settings.NewMachine(sessionID(k.identity.GetFounders()))
	k.ledger = ledger.NewMachine()
	var err error
	if k.settingsGroup, err = k.openGroup(keeperclient.GroupSettings, k.settingsMachine); err != nil {
		return err
	}
	if k.ledgerGroup, err = k.openGroup(keeperclient.GroupLedger, k.ledger); err != nil {
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
	if k.holdsJournal {
		services = append(services, service{"Hall", &hallService{k}})
	}
	for _, s := range services {
		if err := k.RPC.Register(s.name, s.receiver); err != nil {
			return err
		}
	}
	return nil
}

// service is an RPC receiver and the name it is registered under.
type service struct {
	name     string
	receiver any
}

// openJournal opens the hall's journal if this keeper holds it.
func (k *Keeper) openJournal() error {
	journalKeeper, _ := keeperclient.JournalKeeper(k.Config.Hall, k.Config.Keepers)
	k.holdsJournal = journalKeeper.ID == string(k.Config.Node)
	if !k.holdsJournal {
		return nil
	}
	incarnation := k.identity.GetIncarnation()
	k.journal = &journal.Journal{
		Dir: filepath.Join(k.Config.Data, "journal"), Hall: k.Config.Hall, Incarnation: incarnation,
		Granted: func(b sumachead.BudgetID) sumachead.Tokens { return k.ledger.Granted(b, k.Config.Hall, incarnation) },
	}
	return k.journal.Open()
}

// sessionID returns an identifier of the revision history that the founders
// started.
func sessionID(founders *wire.Members) string {
	h := sha256.New()
	for _, m := range founders.GetMembers() {
		h.Write([]byte(m.GetId() + "/" + m.GetIncarnation() + "\n"))
	}
	const sessionBytes = 8
	return hex.EncodeToString(h.Sum(nil)[:sessionBytes])
}

func (k *Keeper) groups() []*group { return []*group{k.settingsGroup, k.ledgerGroup} }

func (k *Keeper) group(id string) *group {
	for _, g := range k.groups() {
		if string(g.node.Group) == id {
			return g
		}
	}
	return nil
}

func (k *Keeper) serveMonitoring(ctx context.Context) error {
	ready := func() error {
		if !k.groupsOpen.Load() {
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
