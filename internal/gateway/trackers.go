package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/loadtracker"
	"sumachead/internal/outbox"
	"sumachead/internal/place"
	"sumachead/internal/ratelimit"
	"sumachead/internal/rpc"
	"sumachead/internal/warmup"
)

const (
	// initialQueryLatency is the assumed latency of load trackers before any has responded: a round
	// trip between data halls.
	initialQueryLatency = 4 * time.Millisecond
	// A request waits for responses for queryWaitFactor times the latency that nearly all of them
	// stay below, within minQueryWait and maxQueryWait: less than the variation of a prompt's
	// prefill time.
	queryWaitFactor = 2
	minQueryWait    = 5 * time.Millisecond
	maxQueryWait    = 25 * time.Millisecond
	// latencyRise and latencyFall move the latency estimate by a fraction of the difference, so
	// that about one in ten responses takes longer.
	latencyRise = 0.2
	latencyFall = 0.02
	// queryTimeout ends a query that no request waits for any more; after one, and after a failed
	// connection, the load tracker is not queried for trackerBackoff.
	queryTimeout   = 250 * time.Millisecond
	trackerBackoff = time.Second
	// noteTimeout limits a call with notes, and maxNotesPerCall the number of notes in it.
	noteTimeout     = 300 * time.Millisecond
	maxNotesPerCall = 64
	// incarnationBase is the base in which a process's incarnation is written: short, because it is
	// part of each message over slow links.
	incarnationBase = 36
)

// trackerClient queries the load trackers beside engines for the requests in flight there, and
// tells them what this router sends. Set the exported fields before the first call.
type trackerClient struct {
	// Address returns the address of an engine's load tracker; empty if there is none.
	Address   func(*wire.ServerRecord) string
	Pool      *rpc.Pool
	Scheduler *place.Scheduler
	// Limits receives the request limits that load trackers know.
	Limits *ratelimit.Table

	// incarnation identifies this process.
	incarnation string
	notes       outbox.Outbox[trackerTarget, *wire.GaugeNote]

	mu sync.Mutex // guards the fields below
	// latency is what nearly all responses stay below.
	latency time.Duration
	// backoffUntil is until when load trackers are not queried, by address.
	backoffUntil map[string]time.Time
}

// trackerTarget is a server and the address of its load tracker.
type trackerTarget struct {
	address string
	server  sumachead.ServerID
}

// prepare initializes what the other methods need.
func (g *trackerClient) prepare() {
	g.incarnation = strconv.FormatUint(rand.Uint64(), incarnationBase)
	g.latency = initialQueryLatency
	g.backoffUntil = make(map[string]time.Time)
	g.notes.MaxBatch, g.notes.Send = maxNotesPerCall, g.sendNotes
	g.Scheduler.SendUpdate = g.notify
}

// query queries the load trackers of some servers and waits for their responses as long as nearly
// all of them take. Later responses are used by the next request.
func (g *trackerClient) query(ctx context.Context, servers []*wire.ServerRecord, w *place.Request) {
	if g.Address == nil || w.Engine == nil {
		return
	}
	keys := w.PartKeys()
	done := make(chan struct{}, len(servers))
	asked := 0
	for _, r := range servers {
		address := g.Address(r)
		if address == "" || g.backedOff(address) {
			continue
		}
		asked++
		go func() {
			g.queryOne(address, r, w, keys)
			done <- struct{}{}
		}()
	}
	if asked == 0 {
		return
	}
	t := time.NewTimer(g.waitLimit())
	defer t.Stop()
	for range asked {
		select {
		case <-done:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (g *trackerClient) queryOne(address string, r *wire.ServerRecord, w *place.Request, keys []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	begun := time.Now()
	a, err := callTracker[wire.GaugeAnswer](ctx, g, address, "Ask",
		&wire.GaugeQuestion{Router: g.incarnation, Server: r.GetId(), Parts: keys})
	if err != nil {
		return
	}
	now := time.Now()
	g.recordLatency(now.Sub(begun))
	g.mergeLimit(sumachead.ServerID(r.GetId()), a.GetLimit())
	g.Scheduler.ApplyReport(sumachead.ServerID(r.GetId()), w, a, now)
}

// mergeLimit merges what a load tracker knows about a server's request limit; nil for nothing.
func (g *trackerClient) mergeLimit(id sumachead.ServerID, m *wire.LimitObservation) {
	if m != nil {
		g.Limits.Merge(id, ratelimit.FromWire(m, boottime.Clock{}.Now()))
	}
}

// requestPermit requests a permit from the load tracker at an address. A load tracker that does not
// respond grants nothing, and neither does a permit that arrives too late: it would be used in
// addition to later ones. The capacity of a server is counted under the name that all its
// incarnations share: one that has restarted under the same ID also receives what was granted to
// its earlier incarnation, up to the grants of 100 ms.
func (g *trackerClient) requestPermit(address string, q *wire.AdmitRequest) (reply *wire.AdmitReply, ok bool) {
	if g.backedOff(address) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), warmup.GrantTTL)
	defer cancel()
	begun := boottime.Clock{}.Now() // the boot clock includes suspension: a permit must not survive it
	reply, err := callTracker[wire.AdmitReply](ctx, g, address, "Admit", q)
	if err != nil || (boottime.Clock{}).Now().Sub(begun) > warmup.GrantTTL {
		return nil, false
	}
	return reply, true
}

// recordLatency updates the latency estimate.
func (g *trackerClient) recordLatency(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	weight := latencyFall
	if d > g.latency {
		weight = latencyRise
	}
	g.latency += time.Duration(weight * float64(d-g.latency))
}

// waitLimit returns how long a request waits for responses.
func (g *trackerClient) waitLimit() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(queryWaitFactor*g.latency, minQueryWait), maxQueryWait)
}

// backOff stops queries to a load tracker for a while.
func (g *trackerClient) backOff(address string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoffUntil[address] = now.Add(trackerBackoff)
}

// backedOff reports whether a load tracker is not queried at present.
func (g *trackerClient) backedOff(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	to, ok := g.backoffUntil[address]
	if ok && time.Now().After(to) {
		delete(g.backoffUntil, address)
		return false
	}
	return ok
}

// notify sends a note to the load tracker of a server.
func (g *trackerClient) notify(r *wire.ServerRecord, n *wire.GaugeNote) {
	if g.Address != nil {
		g.enqueueNote(g.Address(r), r, n)
	}
}

// enqueueNote enqueues a note about a server for the load tracker at an address; an empty address
// drops it.
func (g *trackerClient) enqueueNote(address string, r *wire.ServerRecord, n *wire.GaugeNote) {
	if address != "" {
		g.notes.Put(trackerTarget{address, sumachead.ServerID(r.GetId())}, n)
	}
}

// sendNotes sends notes to a load tracker. Notes it does not accept are dropped: it expires
// requests itself once their time is over.
func (g *trackerClient) sendNotes(to trackerTarget, batch []*wire.GaugeNote) (retry []*wire.GaugeNote, pause time.Duration) {
	if g.backedOff(to.address) {
		return nil, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	// Failed notes are dropped, and callTracker then backs off from the load tracker.
	_, _ = callTracker[wire.Empty](ctx, g, to.address, "Note",
		&wire.GaugeNotes{Router: g.incarnation, Server: string(to.server), Notes: batch})
	return nil, 0
}

// callTracker calls the load tracker at an address; one that fails is not called for a while.
func callTracker[R any](ctx context.Context, g *trackerClient, address, method string, args proto.Message) (*R, error) {
	reply, err := rpc.Call[R](ctx, g.Pool.Get(address), loadtracker.Name+"."+method, args)
	if err != nil {
		g.backOff(address, time.Now())
	}
	return reply, err
}
