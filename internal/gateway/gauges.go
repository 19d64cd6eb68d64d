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
	"sumachead/internal/gauge"
	"sumachead/internal/outbox"
	"sumachead/internal/place"
	"sumachead/internal/ratelimit"
	"sumachead/internal/rpc"
	"sumachead/internal/warmup"
)

const (
	// firstAsk is how long answers of gauges are expected to take before any has come:
	// a round trip between data halls.
	firstAsk = 4 * time.Millisecond
	// askTimes is how many times as long as nearly all answers take a request waits for
	// them, within askLeast and askMost: less than what a prompt's reading varies by.
	askTimes = 2
	askLeast = 5 * time.Millisecond
	askMost  = 25 * time.Millisecond
	// askRise and askFall move what nearly all answers take, by a part of the difference,
	// so that about one in ten takes longer.
	askRise = 0.2
	askFall = 0.02
	// askTimeout ends a question that nobody waits for any more; after one, and after a
	// connection that failed, the gauge is not asked for gaugeRest.
	askTimeout = 250 * time.Millisecond
	gaugeRest  = time.Second
	// noteTimeout bounds a call with notes, and notesAtOnce their number.
	noteTimeout = 300 * time.Millisecond
	notesAtOnce = 64
	// lifeBase is the base in which a process's life is written: short, since it goes
	// with each message over links that are small.
	lifeBase = 36
)

// gauges asks the gauges beside engines for what is under way there, and tells them what
// this router sends. Set the exported fields before the first call.
type gauges struct {
	// Address returns where the gauge of an engine is; empty where there is none.
	Address func(*wire.ServerRecord) string
	Pool    *rpc.Pool
	Chooser *place.Scheduler
	// Limits receives the request limits that gauges know of.
	Limits *ratelimit.Table

	// life names this process.
	life  string
	notes outbox.Outbox[gaugeOf, *wire.GaugeNote]

	mu sync.Mutex // guards the fields below
	// usual is what nearly all answers take.
	usual time.Duration
	// restTo is until when gauges are not asked, by address.
	restTo map[string]time.Time
}

// gaugeOf names a server and the address of its gauge.
type gaugeOf struct {
	address string
	server  sumachead.ServerID
}

// prepare makes what the other methods need.
func (g *gauges) prepare() {
	g.life = strconv.FormatUint(rand.Uint64(), lifeBase)
	g.usual = firstAsk
	g.restTo = make(map[string]time.Time)
	g.notes.Most, g.notes.Send = notesAtOnce, g.sendNotes
	g.Chooser.SendUpdate = g.tell
}

// ask asks the gauges of some servers, and waits for their answers for as long as nearly
// all of them take. Answers that come later are of use to the next request.
func (g *gauges) ask(ctx context.Context, servers []*wire.ServerRecord, w *place.Request) {
	if g.Address == nil || w.Engine == nil {
		return
	}
	keys := w.PartKeys()
	answered := make(chan struct{}, len(servers))
	asked := 0
	for _, r := range servers {
		address := g.Address(r)
		if address == "" || g.rests(address) {
			continue
		}
		asked++
		go func() {
			g.askOne(address, r, w, keys)
			answered <- struct{}{}
		}()
	}
	if asked == 0 {
		return
	}
	t := time.NewTimer(g.bound())
	defer t.Stop()
	for range asked {
		select {
		case <-answered:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// askOne asks one gauge.
func (g *gauges) askOne(address string, r *wire.ServerRecord, w *place.Request, keys []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	begun := time.Now()
	a, err := callGauge[wire.GaugeAnswer](ctx, g, address, "Ask",
		&wire.GaugeQuestion{Router: g.life, Server: r.GetId(), Parts: keys})
	if err != nil {
		return
	}
	now := time.Now()
	g.took(now.Sub(begun))
	g.noteLimit(sumachead.ServerID(r.GetId()), a.GetLimit())
	g.Chooser.ApplyReport(sumachead.ServerID(r.GetId()), w, a, now)
}

// noteLimit takes in what a gauge knows of a server's request limit; nil for nothing.
func (g *gauges) noteLimit(id sumachead.ServerID, m *wire.LimitObservation) {
	if m != nil {
		g.Limits.Merge(id, ratelimit.FromWire(m, boottime.Clock{}.Now()))
	}
}

// admit asks the gauge at an address for a permit. A gauge that does not answer grants nothing,
// and neither does a permit that comes too late: it would be used beside those of later times.
// What a server bears is counted by the name that all its lives have: one that has started
// again under its id also takes what was granted for its earlier life, up to the grants of 100
// ms (worked out, not measured).
func (g *gauges) admit(address string, q *wire.AdmitRequest) (reply *wire.AdmitReply, ok bool) {
	if g.rests(address) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), warmup.GrantLives)
	defer cancel()
	begun := boottime.Clock{}.Now() // a host that was suspended has no grant any more
	reply, err := callGauge[wire.AdmitReply](ctx, g, address, "Admit", q)
	if err != nil || (boottime.Clock{}).Now().Sub(begun) > warmup.GrantLives {
		return nil, false
	}
	return reply, true
}

// took learns how long answers take.
func (g *gauges) took(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	part := askFall
	if d > g.usual {
		part = askRise
	}
	g.usual += time.Duration(part * float64(d-g.usual))
}

// bound returns how long a request waits for answers.
func (g *gauges) bound() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(askTimes*g.usual, askLeast), askMost)
}

// rest passes a gauge over for a while.
func (g *gauges) rest(address string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restTo[address] = now.Add(gaugeRest)
}

// rests reports whether a gauge is passed over.
func (g *gauges) rests(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	to, ok := g.restTo[address]
	if ok && time.Now().After(to) {
		delete(g.restTo, address)
		return false
	}
	return ok
}

// tell brings a note to the gauge of a server.
func (g *gauges) tell(r *wire.ServerRecord, n *wire.GaugeNote) {
	if g.Address != nil {
		g.noteAt(g.Address(r), r, n)
	}
}

// noteAt brings a note about a server to the gauge at an address, empty for none.
func (g *gauges) noteAt(address string, r *wire.ServerRecord, n *wire.GaugeNote) {
	if address != "" {
		g.notes.Put(gaugeOf{address, sumachead.ServerID(r.GetId())}, n)
	}
}

// sendNotes brings notes to a gauge. What it does not take is dropped: it forgets requests
// by itself once their time is over.
func (g *gauges) sendNotes(to gaugeOf, batch []*wire.GaugeNote) (again []*wire.GaugeNote, pause time.Duration) {
	if g.rests(to.address) {
		return nil, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	// One that fails is dropped, as said above; the gauge then rests.
	_, _ = callGauge[wire.Empty](ctx, g, to.address, "Note",
		&wire.GaugeNotes{Router: g.life, Server: string(to.server), Notes: batch})
	return nil, 0
}

// callGauge calls the gauge at an address; one that fails is not asked for a while.
func callGauge[R any](ctx context.Context, g *gauges, address, method string, args proto.Message) (*R, error) {
	reply, err := rpc.Call[R](ctx, g.Pool.Get(address), gauge.Name+"."+method, args)
	if err != nil {
		g.rest(address, time.Now())
	}
	return reply, err
}
