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
	// aliveEvery is how often a keeper passes on the heartbeats that told nothing
	// new: some times in the interval of heartbeats.
	aliveEvery = 300 * time.Millisecond
	// recordsAfter is for how long heartbeats that told something new are gathered:
	// servers come in series, and callers have not missed a new one so far.
	recordsAfter = 40 * time.Millisecond
	// contactFor is how long after the leader's last answer, or its own start, a
	// keeper takes heartbeats of ready servers for it: some elections. With heartbeats
	// a second apart it is less than the silence after which a server is not used.
	contactFor = 4 * election
)

// aliveBatch gathers heartbeats of servers that are ready, which a keeper that does
// not lead has acknowledged and passes on to the leader.
type aliveBatch struct {
	// kick is told when there is a record.
	kick chan struct{}

	mu sync.Mutex // guards the fields below
	// sequences are the newest heartbeats that told nothing new, by the server's id.
	sequences map[string]uint64
	// records are the newest heartbeats that told something new, by the server's id.
	records map[string]*wire.ServerRecord
}

func newAliveBatch() *aliveBatch {
	return &aliveBatch{
		kick:      make(chan struct{}, 1),
		sequences: make(map[string]uint64), records: make(map[string]*wire.ServerRecord),
	}
}

// add notes a heartbeat that told nothing new.
func (b *aliveBatch) add(r *wire.ServerRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequences[r.GetId()] = max(b.sequences[r.GetId()], r.GetSequence())
}

// addRecord notes a heartbeat that told something new; the newest of a server counts.
func (b *aliveBatch) addRecord(r *wire.ServerRecord) {
	b.mu.Lock()
	if old := b.records[r.GetId()]; old == nil || old.GetSequence() < r.GetSequence() {
		b.records[r.GetId()] = r
	}
	b.mu.Unlock()
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// take empties the batch; nil when there is nothing.
func (b *aliveBatch) take() *wire.AliveReport {
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

// Beat takes in a backend server's heartbeat or notice. One of a ready server need
// not wait for the leader, which hears of it with others. A [trace.BadParameter] error says
// that it is no server's.
func (k *Keeper) Beat(ctx context.Context, r *wire.ServerRecord) error {
	if err := k.servers.Check(r); err != nil {
		return err
	}
	if r.GetState() == wire.ServerState_SERVER_STATE_READY && !k.node.Leading() && k.inContact() {
		if k.copyFresh() && k.servers.Refresh(r, time.Now()) {
			k.alive.add(r)
		} else {
			k.alive.addRecord(r)
		}
		return nil
	}
	_, err := ask[wire.Empty](ctx, k, "Fleet.Beat", r, (&service{k}).Beat)
	return err
}

// aliveLoop passes heartbeats on. One that told nothing new may be lost: a server
// counts as silent only after several. One that told something is sent again.
func (k *Keeper) aliveLoop(ctx context.Context) error {
	return loop.EveryOrKicked(ctx, aliveEvery, k.alive.kick, recordsAfter, func() { k.passAlive(ctx) })
}

// passAlive passes on what is gathered, once a leader is known. Records that were
// not passed on are put back for the next time.
func (k *Keeper) passAlive(ctx context.Context) {
	leader := k.node.Status().GetLeader()
	if leader == "" {
		return
	}
	report := k.alive.take()
	if report == nil {
		return
	}
	if leader == k.Address {
		k.takeAlive(report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := rpc.Call[wire.Empty](ctx, k.Pool.Get(leader), "Fleet.Alive", report); err != nil {
		k.Log.Debug("Heartbeats were not passed on.", "servers", len(report.GetIds()), "records", len(report.GetRecords()), "error", err)
		for _, r := range report.GetRecords() {
			k.alive.addRecord(r)
		}
	}
}

// takeAlive takes in a report at the leader.
func (k *Keeper) takeAlive(report *wire.AliveReport) {
	now := time.Now()
	k.servers.Alive(report, now)
	for _, r := range report.GetRecords() {
		if err := k.noteBeat(r, now); err != nil {
			k.NoteForeign(r.GetId(), "another keeper", err)
		}
	}
}

// NoteForeign counts and logs what some writer has told that is no server's.
func (k *Keeper) NoteForeign(id, from string, err error) {
	k.metrics.foreign.Inc()
	k.lines.Info(k.Log, "What is told of a backend server is passed over.", "server", id, "from", from, "error", trace.UserMessage(err))
}

// noteBeat takes in a record at the leader, and logs what is new in it.
func (k *Keeper) noteBeat(r *wire.ServerRecord, now time.Time) error {
	news, err := k.servers.Beat(r, now)
	if news {
		k.lines.Info(k.Log, "A backend server's record has changed.", "server", r.GetId(), "service", r.GetService(),
			"address", r.GetAddress(), "state", r.GetState().String(), "sequence", r.GetSequence())
	}
	return err
}

// Alive takes in heartbeats that another keeper has passed on.
func (s *service) Alive(r *wire.AliveReport, _ *wire.Empty) error {
	if !s.keeper.node.Leading() {
		return s.keeper.leading()
	}
	s.keeper.takeAlive(r)
	return nil
}

// copyFresh reports whether this keeper's copy of the records is the leader's as
// of a moment ago: it has answered within the time that one question may take.
func (k *Keeper) copyFresh() bool {
	return time.Since(time.Unix(0, k.copiedAt.Load())) < copyWithin
}

// inContact reports whether the leader has answered lately, or may not have had the
// time to since this keeper's start.
func (k *Keeper) inContact() bool {
	last := time.Unix(0, max(k.copiedAt.Load(), k.startedAt.UnixNano()))
	return time.Since(last) < contactFor
}
