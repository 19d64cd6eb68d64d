package upstream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"sumachead"
)

// ErrNoConnection says that all connections that this node may have to a server
// are in use.
var ErrNoConnection = errors.New("all connections to the server are in use")

// errUnwanted says that a server wants nothing at present.
var errUnwanted = errors.New("the server has asked to be sent nothing")

// keepIdle bounds the connections that rest for one server.
const keepIdle = 16

// forgetServer is how long a server without use keeps its place in the pool.
const forgetServer = time.Minute

// serverConns are the connections to one life of a backend server.
type serverConns struct {
	// idle are those that rest, the last one used last.
	idle []*conn
	// open counts all, those that rest and those that are to be opened included.
	open int
	// busy are those with a request under way.
	busy map[*conn]struct{}
	// usedAt is when one was last asked for.
	usedAt time.Time
}

// Pool keeps connections to backend servers. It is safe for concurrent use. Set
// the exported fields before the first call.
type Pool struct {
	Dialect sumachead.Dialect
	// OnDial is told of each new connection; nil for nobody.
	OnDial func()
	// OnNotice receives what servers say of themselves in each answer when its head is read,
	// and when the request was sent; nil for nobody.
	OnNotice func(id sumachead.ServerID, n sumachead.ServerNotice, sentAt sumachead.BootTime)
	// Unwanted returns why a server is to be sent nothing at present, and empty for one that
	// is; nil where all are. It is looked at once there is a connection, right before a
	// request is sent: a server may have said what it wants since it was chosen.
	Unwanted func(sumachead.ServerID) sumachead.Reason

	mu      sync.Mutex // guards servers
	servers map[Server]*serverConns
}

// notice passes on what a server says of itself in an answer.
func (p *Pool) notice(id sumachead.ServerID, n sumachead.ServerNotice, sentAt sumachead.BootTime) {
	if p.OnNotice != nil {
		p.OnNotice(id, n, sentAt)
	}
}

// unwanted returns the failure of a request that is not to be sent; nil where it is.
func (p *Pool) unwanted(id sumachead.ServerID) *Failure {
	if p.Unwanted == nil {
		return nil
	}
	if why := p.Unwanted(id); why != "" {
		return &Failure{sumachead.NotRun, why, errUnwanted}
	}
	return nil
}

// Server is one life of a backend server.
type Server struct {
	ID      sumachead.ServerID
	Address string
}

// take returns a connection that rests; nil when there is none, and then room is
// made for a new one.
func (p *Pool) take(s Server, most int, now time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = make(map[Server]*serverConns)
	}
	sc := p.servers[s]
	if sc == nil {
		sc = &serverConns{}
		p.servers[s] = sc
	}
	sc.usedAt = now
	for len(sc.idle) > 0 {
		c := sc.idle[len(sc.idle)-1]
		sc.idle = sc.idle[:len(sc.idle)-1]
		if c.clean(now) {
			return c, nil
		}
		sc.open--
		_ = c.Close()
	}
	if sc.open >= most {
		return nil, ErrNoConnection
	}
	sc.open++
	return nil, nil
}

// connect returns a connection to a server, one that rests or a new one.
func (p *Pool) connect(ctx context.Context, s Server, most int) (*conn, error) {
	c, err := p.take(s, most, time.Now())
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = dial(ctx, s.Address); err != nil {
			p.drop(s, nil)
			return nil, err
		}
		if p.OnDial != nil {
			p.OnDial()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[s]
	if sc.busy == nil {
		sc.busy = make(map[*conn]struct{})
	}
	sc.busy[c] = struct{}{}
	return c, nil
}

// End closes all connections to a life of a server that has ended: its host may have gone
// without a word, and what is under way there fails now and not once its time is up.
func (p *Pool) End(s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[s]
	if sc == nil {
		return
	}
	for c := range sc.busy {
		_ = c.Close() // who uses it finds it closed
	}
	for _, c := range sc.idle {
		_ = c.Close()
		sc.open--
	}
	sc.idle = nil
}

// drop takes one connection off the count, nil for one that was not opened.
func (p *Pool) drop(s Server, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[s]
	sc.open--
	delete(sc.busy, c)
}

// put lets a connection rest.
func (p *Pool) put(s Server, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[s]
	delete(sc.busy, c)
	if len(sc.idle) < keepIdle {
		sc.idle = append(sc.idle, c)
		return
	}
	sc.open--
	_ = c.Close()
}

// Tidy closes connections that have rested too long, and forgets servers that
// are not used any more.
func (p *Pool) Tidy(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, sc := range p.servers {
		sc.idle = slices.DeleteFunc(sc.idle, func(c *conn) bool {
			if now.Before(c.usable) {
				return false
			}
			sc.open--
			_ = c.Close()
			return true
		})
		if sc.open == 0 && now.Sub(sc.usedAt) > forgetServer {
			delete(p.servers, s)
		}
	}
}

// Close closes the connections that rest.
func (p *Pool) Close() { p.Tidy(time.Now().Add(forgetServer)) }
