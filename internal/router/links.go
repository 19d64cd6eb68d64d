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
	// heardLately is how fresh word from an agent must be for it to be sent
	// what may not be repeated.
	heardLately = time.Second
	// probeEvery is how often an agent that was not reached is asked again.
	// Until it has answered, its server is passed over.
	probeEvery = 500 * time.Millisecond
	// probeFor is how long it is asked; after that a request must ask.
	probeFor = 10 * time.Minute
)

var errNoServer = errors.New("no backend server is left")

// link is what this router knows of one backend server's agent.
type link struct {
	server sumachead.ServerID
	client *rpc.Client

	mu          sync.Mutex // guards the fields below
	boot        string
	load        *wire.Load
	loadAt      time.Time
	outstanding int
	// down: the agent was not reached, and is being probed.
	down bool
	// downSince is when the agent was first not reached; zero when it answered last.
	downSince time.Time
}

// target is a link as one attempt uses it: with the process that it names.
type target struct {
	*link
	boot  string
	epoch sumachead.Epoch
}

// learn takes in the load that a reply brought.
func (l *link) learn(load *wire.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.loadAt, l.boot = load, time.Now(), load.GetBoot()
	l.down, l.downSince = false, time.Time{}
}

// silent returns since when the agent has not been reached; zero when it answered last.
func (l *link) silent() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.downSince
}

// markDown passes the server over until its agent answers again, and forgets
// its process.
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
	go l.probe(time.Now().Add(probeFor))
}

// probe asks the agent until it answers.
func (l *link) probe(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(probeEvery)
		l.mu.Lock()
		down := l.down
		l.mu.Unlock()
		if !down {
			return
		}
		if _, err := l.ask(context.Background()); err == nil {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

func (l *link) open()  { l.count(1) }
func (l *link) close() { l.count(-1) }

func (l *link) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outstanding += n
}

// hello returns the boot of the process at the address, asking if need be. A
// request that may not be repeated must not be sent where nobody may answer:
// sure asks again unless the agent was heard of just now.
func (l *link) hello(ctx context.Context, sure bool) (string, error) {
	l.mu.Lock()
	boot, recent := l.boot, time.Since(l.loadAt) < heardLately
	l.mu.Unlock()
	if boot != "" && (recent || !sure) {
		return boot, nil
	}
	boot, err := l.ask(ctx)
	if err != nil {
		l.markDown()
	}
	return boot, err
}

// ask calls the agent and learns from its answer.
func (l *link) ask(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.HelloReply](ctx, l.client, "Agent.Hello", &wire.HelloRequest{})
	if err != nil {
		return "", err
	}
	l.learn(reply.GetLoad())
	return reply.GetBoot(), nil
}

// linkTable holds the links by address.
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
		Load: l.load, LoadAt: l.loadAt, InFlight: l.outstanding,
	}, !l.down
}

// candidates lists the servers of a pool that may get new work. Those that
// were not reached lately come back only when there is no other.
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

// choose places an attempt at a server whose process is known.
func (r *Router) choose(ctx context.Context, x *exchange, tried []sumachead.ServerID) (*target, error) {
	tried = slices.Clone(tried)
	// The newest settings decide, not those that the request came in under.
	view := r.follower.View()
	pool := view.Pool(x.pool.ID)
	for pool != nil {
		now := time.Now()
		c, ok := r.Placer.Place(sumachead.PlaceRequest{
			Hall: r.Config.Hall, Pool: pool.ID, Priority: x.priority,
			Prefix: x.work.prefix, Tried: tried, Now: now,
		}, r.candidates(pool))
		if !ok {
			break
		}
		l := r.links.get(view.Server(c.Server))
		if boot, err := l.hello(ctx, x.notRepeatable); err == nil {
			return &target{link: l, boot: boot, epoch: c.Epoch}, nil
		}
		tried = append(tried, c.Server)
	}
	f := refuseSoon(sumachead.NotRun, sumachead.ReasonNoServer, errNoServer.Error())
	return nil, errors.Join(errNoServer, f)
}

// link returns the target that an attempt names.
func (r *Router) link(a *wire.Attempt, v *settings.View) (*target, error) {
	s := v.Server(sumachead.ServerID(a.GetServer()))
	if s == nil {
		return nil, errNoServer
	}
	return &target{link: r.links.get(s), boot: a.GetBoot(), epoch: s.Epoch}, nil
}
