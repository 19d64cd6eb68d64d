package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/rpc"
	"sumachead/internal/settings"
)

const (
	helloTimeout = 500 * time.Millisecond
	// maxLoadAge is the maximum age of an agent's last response at which a
	// non-idempotent request is sent to the agent without asking it first.
	maxLoadAge = time.Second
	// probeInterval is the interval between probes of an unreachable agent. Its
	// server is ejected until a probe succeeds.
	probeInterval = 500 * time.Millisecond
	// maxProbeTime is how long an unreachable agent is probed. After that its server
	// may get requests again.
	maxProbeTime = 10 * time.Minute
)

var errNoServer = errors.New("no backend server is left")

// link holds this router's client and state of the agent of a backend server.
type link struct {
	server sumachead.ServerID
	client *rpc.Client

	mu       sync.Mutex // guards the fields below
	boot     string
	load     *wire.Load
	loadAt   time.Time
	inFlight int
	// down is set while the agent is unreachable and being probed.
	down bool
	// downSince is when the agent became unreachable; zero if the last call to it
	// succeeded.
	downSince time.Time
}

// target is the destination of one attempt: a link and the agent process that
// the attempt is bound to.
type target struct {
	*link
	boot  string
	epoch sumachead.Epoch
}

// recordLoad records the load reported in a reply.
func (l *link) recordLoad(load *wire.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.loadAt, l.boot = load, time.Now(), load.GetBoot()
	l.down, l.downSince = false, time.Time{}
}

// silentSince returns since when the agent has been unreachable; zero if the last
// call to it succeeded.
func (l *link) silentSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.downSince
}

// markDown ejects the server until its agent responds again, and clears the boot
// ID of the agent.
func (l *link) markDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.boot = ""
	if l.down {
		return
	}
	l.down = true
	if l.downSince.IsZero() {
		l.downSince = time.Now()
	}
	go l.probe(time.Now().Add(maxProbeTime))
}

// probe calls the agent until it responds or the time until has passed.
func (l *link) probe(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(probeInterval)
		l.mu.Lock()
		down := l.down
		l.mu.Unlock()
		if !down {
			return
		}
		if _, err := l.callHello(context.Background()); err == nil {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

func (l *link) addInFlight()    { l.changeInFlight(1) }
func (l *link) removeInFlight() { l.changeInFlight(-1) }

func (l *link) changeInFlight(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight += n
}

// currentBoot returns the boot ID of the agent process at the address, and calls the
// agent if that ID is unknown. If requireFresh is set, it also calls an agent whose last
// response is older than maxLoadAge: a non-idempotent request must not be sent
// to an agent that may be unreachable.
func (l *link) currentBoot(ctx context.Context, requireFresh bool) (string, error) {
	l.mu.Lock()
	boot, recent := l.boot, time.Since(l.loadAt) < maxLoadAge
	l.mu.Unlock()
	if boot != "" && (recent || !requireFresh) {
		return boot, nil
	}
	boot, err := l.callHello(ctx)
	if err != nil {
		l.markDown()
	}
	return boot, err
}

// callHello calls Agent.Hello, records the load of the agent and returns its boot ID.
func (l *link) callHello(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.HelloReply](ctx, l.client, "Agent.Hello", &wire.HelloRequest{})
	if err != nil {
		return "", err
	}
	l.recordLoad(reply.GetLoad())
	return reply.GetBoot(), nil
}

// linkTable holds the links by agent address.
type linkTable struct {
	pool *rpc.Pool

	mu    sync.RWMutex // guards links
	links map[string]*link
}

func newLinkTable(pool *rpc.Pool) *linkTable {
	return &linkTable{pool: pool, links: make(map[string]*link)}
}

func (t *linkTable) get(s *settings.ResolvedServer) *link {
	t.mu.RLock()
	l := t.links[s.Agent]
	t.mu.RUnlock()
	if l != nil && l.server == s.ID {
		return l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l = &link{server: s.ID, client: t.pool.Get(s.Agent)}
	t.links[s.Agent] = l
	return l
}

func (l *link) candidate(s *settings.ResolvedServer) (c sumachead.Candidate, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sumachead.Candidate{
		Server: s.ID, Hall: s.Hall, Address: s.Agent, Epoch: s.Epoch,
		Load: l.load, LoadAt: l.loadAt, InFlight: l.inFlight,
	}, !l.down
}

// candidates lists the servers of a pool that may get new requests. Servers with
// an unreachable agent are listed only if there is no other.
func (r *Router) candidates(p *settings.ResolvedPool) []sumachead.Candidate {
	var up, down []sumachead.Candidate
	for i := range p.Servers {
		s := &p.Servers[i]
		if s.State == settings.ServerLeaving {
			continue
		}
		if c, ok := r.links.get(s).candidate(s); ok {
			up = append(up, c)
		} else {
			down = append(down, c)
		}
	}
	if len(up) == 0 {
		return down
	}
	return up
}

// chooseTarget chooses the target of an attempt. It skips servers whose agent does not
// respond.
func (r *Router) chooseTarget(ctx context.Context, x *exchange, tried []sumachead.ServerID) (*target, error) {
	tried = slices.Clone(tried)
	// The current settings count, not those at the arrival of the request.
	view := r.follower.View()
	pool := view.Pool(x.pool.ID)
	for pool != nil {
		now := time.Now()
		c, ok := r.Placer.Place(sumachead.PlaceRequest{
			Hall: r.Config.Hall, Pool: pool.ID, Priority: x.priority,
			Prefix: x.backend.prefixHash, Tried: tried, Now: now,
		}, r.candidates(pool))
		if !ok {
			break
		}
		l := r.links.get(view.Server(c.Server))
		if boot, err := l.currentBoot(ctx, x.nonIdempotent); err == nil {
			return &target{link: l, boot: boot, epoch: c.Epoch}, nil
		}
		tried = append(tried, c.Server)
	}
	f := refuseWithRetry(sumachead.NotRun, sumachead.ReasonNoServer, errNoServer.Error())
	return nil, errors.Join(errNoServer, f)
}

// targetOf returns the target of an existing attempt.
func (r *Router) targetOf(a *wire.Attempt, v *settings.View) (*target, error) {
	s := v.Server(sumachead.ServerID(a.GetServer()))
	if s == nil {
		return nil, errNoServer
	}
	return &target{link: r.links.get(s), boot: a.GetBoot(), epoch: s.Epoch}, nil
}
