package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/patience"
	"sumachead/internal/registry"
	"sumachead/internal/upstream"
)

// After a loss of power of everything the servers that are known from before may be
// gone, or other lives of theirs may have their addresses. A request that is sent there
// has used up an attempt, and often its only one. So silent servers are asked who they
// are before they get a request, and while there is no other server a request waits: a
// server that is there tells of itself within the interval of heartbeats.

const (
	// checkAgain is the least time between checks of one server, and checkTimeout
	// bounds one: some round trips between data halls.
	checkAgain   = 300 * time.Millisecond
	checkTimeout = 200 * time.Millisecond
	// checksAtOnce bounds the checks of a service that run at a time: a few servers
	// that are found soon are enough to begin with.
	checksAtOnce = 8
)

// checks is what a router knows of checks of silent servers, and since when services
// have had no server. The zero value is ready.
type checks struct {
	mu sync.Mutex // guards the fields below
	// at is when servers were last checked.
	at map[string]time.Time
	// lackingSince is since when there has been no server that may be sent to, by the
	// service and the data halls that a request may be sent to.
	lackingSince map[scope]time.Time
}

// due picks the servers that may be checked now, and notes that they are. One that rests has
// said that it is there, and a check would be one more request.
func (c *checks) due(records []*wire.ServerRecord, rest func(sumachead.ServerID) time.Duration, now time.Time) []*wire.ServerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = make(map[string]time.Time)
	}
	var out []*wire.ServerRecord
	for _, r := range records {
		if len(out) < checksAtOnce && now.Sub(c.at[r.GetId()]) > checkAgain && rest(sumachead.ServerID(r.GetId())) == 0 {
			c.at[r.GetId()] = now
			out = append(out, r)
		}
	}
	return out
}

// lacking notes whether servers of a scope are lacking, and returns since when they are.
func (c *checks) lacking(of scope, lacks bool, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !lacks {
		delete(c.lackingSince, of)
		return time.Time{}
	}
	if c.lackingSince == nil {
		c.lackingSince = make(map[scope]time.Time)
	}
	if c.lackingSince[of].IsZero() {
		c.lackingSince[of] = now
	}
	return c.lackingSince[of]
}

// forget drops the checks of servers that are not known any more.
func (c *checks) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.at {
		if now.Sub(at) > checkAgain {
			delete(c.at, id)
		}
	}
}

// candidates returns the servers that the request may be sent to. Where all that are
// known are silent, they are checked, and the request waits for one while that is of
// use; after that it may be sent to a silent one, whose health may lie.
func (d *dispatch) candidates() ([]*wire.ServerRecord, error) {
	if d.homes != nil && len(d.homes) == 0 {
		return nil, refuseFinally(sumachead.ReasonNoServer, "the route and the workspace are at home in no region that there is")
	}
	for {
		changed := d.servers.Changed()
		all := d.known()
		now := time.Now()
		since := d.checks.lacking(d.scope(), !slices.ContainsFunc(all, isHeard), now)
		if since.IsZero() || d.last != nil {
			return all, nil
		}
		if due := d.checks.due(all, d.unchecked, now); len(due) > 0 {
			go d.check(due, d.x.service.GetHealthPath())
		}
		p := patience.TypicalEstimate{Since: since, By: since.Add(d.Heartbeat)}
		again, wait := patience.ShouldWait(p, d.x.use(), now)
		switch {
		case len(all) == 0 && d.servers.OnlyVacated(d.x.service.GetName(), d.homes, now):
			return nil, refuseFinally(sumachead.ReasonNoServer, "all data halls with servers that the request may be sent to are vacated")
		case !wait && len(all) > 0:
			return all, nil
		case !wait:
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonNoServer, "no backend server is known to run", patience.RetryAt(p, d.x.use(), d.x.urgency(), now))
		}
		if next := now.Add(checkAgain); next.Before(again) {
			again = next
		}
		if !loop.Pause(d.ctx, changed, again) {
			return nil, d.ended()
		}
	}
}

// isHeard reports whether a server has been heard of lately.
func isHeard(r *wire.ServerRecord) bool {
	return r.GetState() != wire.ServerState_SERVER_STATE_SILENT
}

// unchecked returns for how much longer a server is not to be checked. One that limits requests
// has answered, and a check would count as a request.
func (g *Gateway) unchecked(id sumachead.ServerID) time.Duration {
	if g.limits.Get(id).Rate > 0 {
		return checkAgain
	}
	return g.rests.Remaining(id)
}

// check asks silent servers who they are. One that answers as it is known may be sent
// to; where another life answers, the one that is known is over.
func (g *Gateway) check(records []*wire.ServerRecord, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	tasks, work := errgroup.WithContext(ctx)
	for _, r := range records {
		tasks.Go(func() error {
			a, err := g.upstream.Check(work, upstream.Server{ID: sumachead.ServerID(r.GetId()), Address: r.GetAddress()}, path)
			switch {
			case err != nil:
				g.failures.Info(g.Log, "A silent server did not answer.", "server", r.GetId(), "error", err)
			case string(a.Server) == registry.Name(r):
				g.servers.Confirm(r.GetId(), a.ColdUntil, time.Now())
			default:
				g.failures.Info(g.Log, "A silent server's life is over.", "server", r.GetId(), "answered", a.Server)
				g.servers.Leave(r.GetId(), time.Now())
			}
			return nil // one that does not answer ends no other check
		})
	}
	_ = tasks.Wait() // no task returns an error
}
