package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

const (
	// heartbeatForwardInterval is how often a keeper forwards heartbeats without changes: several
	// times per heartbeat interval.
	heartbeatForwardInterval = 300 * time.Millisecond
	// recordBatchDelay is how long heartbeats with changes are batched: servers start in series, and
	// callers do not depend on a new server yet.
	recordBatchDelay = 40 * time.Millisecond
	// leaderContactTimeout is how long after the leader's last response, or its own start, a
	// keeper acknowledges heartbeats of ready servers on the leader's behalf: several elections.
	// With one heartbeat a second it is shorter than the silence after which a server is no longer
	// used.
	leaderContactTimeout = 4 * electionTimeout
	// maxBatchedRecords bounds the heartbeats with changes that wait to be forwarded: more than the servers of
	// a large fleet.
	maxBatchedRecords = 4096
	// maxLoggedBytes bounds the ID of an invalid record in the log.
	maxLoggedBytes = 256
)

// heartbeatBatch collects heartbeats of ready servers that a keeper other than the leader has
// acknowledged and will forward to the leader.
type heartbeatBatch struct {
	// added is signaled when a record is added.
	added chan struct{}

	mu sync.Mutex // guards the fields below
	// sequences holds the newest sequence number of heartbeats without changes, by server ID.
	sequences map[string]uint64
	// records holds the newest heartbeats with changes, by server ID.
	records map[string]*wire.ServerRecord
}

func newHeartbeatBatch() *heartbeatBatch {
	return &heartbeatBatch{
		added:     make(chan struct{}, 1),
		sequences: make(map[string]uint64), records: make(map[string]*wire.ServerRecord),
	}
}

// add records a heartbeat without changes.
func (b *heartbeatBatch) add(r *wire.ServerRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequences[r.GetId()] = max(b.sequences[r.GetId()], r.GetSequence())
}

// addRecord records a heartbeat with changes; only the newest one of a server is kept. It returns a
// [trace.LimitExceeded] error if there are too many servers.
func (b *heartbeatBatch) addRecord(r *wire.ServerRecord) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.records[r.GetId()]
	if old == nil && len(b.records) >= maxBatchedRecords {
		return trace.LimitExceeded("too many backend servers register at once")
	}
	if old == nil || old.GetSequence() < r.GetSequence() {
		b.records[r.GetId()] = r
	}
	select {
	case b.added <- struct{}{}:
	default:
	}
	return nil
}

// take returns the batch and empties it; it returns nil if there is nothing to forward.
func (b *heartbeatBatch) take() *wire.AliveReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sequences)+len(b.records) == 0 {
		return nil
	}
	r := &wire.AliveReport{}
	for id, n := range b.sequences {
		r.Ids = append(r.Ids, id)
		r.Sequences = append(r.Sequences, n)
	}
	for _, x := range b.records {
		r.Records = append(r.Records, x)
	}
	clear(b.sequences)
	clear(b.records)
	return r
}

// HandleHeartbeat handles a heartbeat or leaving notice of a backend server. A heartbeat of a
// ready server does not wait for the leader, which receives it in a batch. A [trace.BadParameter]
// error means that the record is invalid.
func (k *Keeper) HandleHeartbeat(ctx context.Context, r *wire.ServerRecord) error {
	if err := k.validate(r); err != nil {
		return err
	}
	if r.GetState() == wire.ServerState_SERVER_STATE_READY && !k.node.IsLeader() && k.hasLeaderContact() {
		if k.copyFresh() && k.servers.Refresh(r, time.Now()) {
			k.heartbeats.add(r)
			return nil
		}
		return k.heartbeats.addRecord(r)
	}
	_, err := callLeader[wire.Empty](ctx, k, "Fleet.Beat", r, (&service{k}).Beat)
	return err
}

// validate returns an error for a record that cannot be accepted under the newest declaration.
func (k *Keeper) validate(r *wire.ServerRecord) error {
	k.updateServices()
	return k.servers.Validate(r)
}

// updateServices tells the table which services are declared.
func (k *Keeper) updateServices() {
	d, _ := k.machine.Declaration()
	k.servers.SetServices(d.GetNumber(), func() (names []string) {
		for _, s := range d.GetCatalog().GetServices() {
			names = append(names, s.GetName())
		}
		return names
	})
}

// forwardLoop forwards heartbeats to the leader. Those without changes may be lost, as a
// server counts as silent only after several are missing; those with changes are retried.
func (k *Keeper) forwardLoop(ctx context.Context) error {
	return loop.EveryOrSignaled(ctx, heartbeatForwardInterval, k.heartbeats.added, recordBatchDelay, func() { k.forwardHeartbeats(ctx) })
}

// forwardHeartbeats sends the batch to the leader, if one is known. Records that could not be sent
// are put back into the batch.
func (k *Keeper) forwardHeartbeats(ctx context.Context) {
	leader := k.node.Status().GetLeader()
	if leader == "" {
		return
	}
	report := k.heartbeats.take()
	if report == nil {
		return
	}
	if leader == k.Address {
		k.applyHeartbeats(report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := rpc.Call[wire.Empty](ctx, k.Pool.Get(leader), "Fleet.Alive", report); err != nil {
		k.Log.Debug("Failed to forward heartbeats to the leader.", "servers", len(report.GetIds()), "records", len(report.GetRecords()), "error", err)
		for _, r := range report.GetRecords() {
			_ = k.heartbeats.addRecord(r) // the server sends another heartbeat
		}
	}
}

// applyHeartbeats applies a batch of heartbeats at the leader.
func (k *Keeper) applyHeartbeats(report *wire.AliveReport) {
	now := time.Now()
	k.updateServices()
	k.servers.ApplyAliveReport(report, now)
	for _, r := range report.GetRecords() {
		if err := k.applyRecord(r, now); err != nil {
			k.ReportInvalidRecord(r.GetId(), "another keeper", err)
		}
	}
}

// ReportInvalidRecord counts and logs a heartbeat or notice that is not a valid server record, or for which there
// is no room.
func (k *Keeper) ReportInvalidRecord(id, from string, err error) {
	k.metrics.invalidRecords.Inc()
	k.limitedLog.Info(k.Log, "Ignored an invalid record of a backend server.", "server", id[:min(len(id), maxLoggedBytes)], "from", from, "error", trace.UserMessage(err))
}

// applyRecord applies a record at the leader and logs what has changed.
func (k *Keeper) applyRecord(r *wire.ServerRecord, now time.Time) error {
	news, err := k.servers.ApplyHeartbeat(r, now)
	if news {
		k.limitedLog.Info(k.Log, "Backend server record changed.", "server", r.GetId(), "service", r.GetService(),
			"address", r.GetAddress(), "state", r.GetState().String(), "sequence", r.GetSequence())
	}
	return err
}

// Alive receives a batch of heartbeats from another keeper.
func (s *service) Alive(r *wire.AliveReport, _ *wire.Empty) error {
	if !s.keeper.node.IsLeader() {
		return s.keeper.requireLeadership()
	}
	s.keeper.applyHeartbeats(r)
	return nil
}

// copyFresh reports whether this keeper's copy of the server records is up to date: the leader has
// responded within the time that one follow request may take.
func (k *Keeper) copyFresh() bool {
	return time.Since(time.Unix(0, k.copiedAt.Load())) < copyTimeout
}

// hasLeaderContact reports whether the leader has responded recently, or this keeper started so
// recently that the leader may not have had the time to.
func (k *Keeper) hasLeaderContact() bool {
	last := time.Unix(0, max(k.copiedAt.Load(), k.startedAt.UnixNano()))
	return time.Since(last) < leaderContactTimeout
}
