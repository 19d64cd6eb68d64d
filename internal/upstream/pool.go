package upstream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"sumachead"
)

// ErrNoConnection is returned if all connections that this node may have to a server are in use.
var ErrNoConnection = errors.New("all connections to the server are in use")

// errBlocked is returned if nothing may be sent to a server at present.
var errBlocked = errors.New("the server has asked to be sent nothing")

// errTooLate is returned if the connection took longer than the request may wait.
var errTooLate = errors.New("the connection came too late to send the request")

// maxIdleConns bounds the idle connections to one server.
const maxIdleConns = 16

// unusedServerTTL is how long an unused server stays in the pool.
const unusedServerTTL = time.Minute

// serverConns holds the connections to one incarnation of a backend server.
type serverConns struct {
	// idle holds the idle connections, the last used one last.
	idle []*conn
	// open counts all connections, including idle ones and those being dialed.
	open int
	// busy holds the connections with a request in flight.
	busy map[*conn]struct{}
	// usedAt is when a connection was last requested.
	usedAt time.Time
}

// Pool keeps connections to backend servers. It is safe for concurrent use. Set the exported
// fields before the first call.
type Pool struct {
	Dialect sumachead.Dialect
	// OnDial is called for each new connection; nil for none.
	OnDial func()
	// OnNotice is called with the notices in a server's response as soon as its head is read,
	// and with the time when the request was sent; nil for none.
	OnNotice func(id sumachead.ServerID, n sumachead.ServerNotice, sentAt sumachead.BootTime)
	// BlockReason returns why nothing may be sent to a server at present, and an empty reason if
	// it may; nil if no server is ever blocked. It is checked after a connection is available,
	// right before a request is sent: a notice of the server may have arrived since it was
	// chosen.
	BlockReason func(sumachead.ServerID) sumachead.Reason
	// Memory limits the heads of responses; nil for no limit.
	Memory *Memory
	// ProbeSettleTime is how long after the beginning of a probe its connection must be open; 0
	// selects the default.
	ProbeSettleTime time.Duration

	mu      sync.Mutex // guards servers
	servers map[Server]*serverConns
}

// notice passes on the notice in a response.
func (p *Pool) notice(id sumachead.ServerID, n sumachead.ServerNotice, sentAt sumachead.BootTime) {
	if p.OnNotice != nil {
		p.OnNotice(id, n, sentAt)
	}
}

// blocked returns the failure of a request that may not be sent; nil if it may.
func (p *Pool) blocked(id sumachead.ServerID) *Failure {
	if p.BlockReason == nil {
		return nil
	}
	if why := p.BlockReason(id); why != "" {
		return &Failure{sumachead.NotRun, why, errBlocked}
	}
	return nil
}

// Server identifies one incarnation of a backend server.
type Server struct {
	ID      sumachead.ServerID
	Address string
}

// connsOf returns the connections to a server. The caller holds mu.
func (p *Pool) connsOf(s Server) *serverConns {
	if p.servers == nil {
		p.servers = make(map[Server]*serverConns)
	}
	sc := p.servers[s]
	if sc == nil {
		sc = &serverConns{}
		p.servers[s] = sc
	}
	return sc
}

// acquireIdle returns an idle connection; nil if there is none, and then it reserves the place
// of a new one.
func (p *Pool) acquireIdle(s Server, maxConns int, now time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.connsOf(s)
	sc.usedAt = now
	for len(sc.idle) > 0 {
		c := sc.idle[len(sc.idle)-1]
		sc.idle = sc.idle[:len(sc.idle)-1]
		if c.reusable(now) {
			return c, nil
		}
		sc.open--
		_ = c.Close()
	}
	if sc.open >= maxConns {
		return nil, ErrNoConnection
	}
	sc.open++
	return nil, nil
}

// connect returns a connection to a server, an idle or a new one.
func (p *Pool) connect(ctx context.Context, s Server, maxConns int) (*conn, error) {
	c, err := p.acquireIdle(s, maxConns, time.Now())
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.dial(ctx, s.Address); err != nil {
			p.remove(s, nil)
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

// CloseServer closes all connections to an incarnation that has ended: its host may be down
// without closing them, and requests in flight there fail now instead of at their deadlines.
func (p *Pool) CloseServer(s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[s]
	if sc == nil {
		return
	}
	for c := range sc.busy {
		_ = c.Close() // its user gets an error
	}
	for _, c := range sc.idle {
		_ = c.Close()
		sc.open--
	}
	sc.idle = nil
}

// remove removes one connection from the count, nil for one that was not dialed.
func (p *Pool) remove(s Server, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[s]
	sc.open--
	delete(sc.busy, c)
}

// release makes a connection idle.
func (p *Pool) release(s Server, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[s]
	delete(sc.busy, c)
	if len(sc.idle) < maxIdleConns {
		sc.idle = append(sc.idle, c)
		return
	}
	sc.open--
	_ = c.Close()
}

// Prune closes connections whose idle timeout has passed, and drops servers that are no longer
// used.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, sc := range p.servers {
		sc.idle = slices.DeleteFunc(sc.idle, func(c *conn) bool {
			if now.Before(c.reuseUntil) {
				return false
			}
			sc.open--
			_ = c.Close()
			return true
		})
		if sc.open == 0 && now.Sub(sc.usedAt) > unusedServerTTL {
			delete(p.servers, s)
		}
	}
}

// Close closes the idle connections.
func (p *Pool) Close() { p.Prune(time.Now().Add(unusedServerTTL)) }
