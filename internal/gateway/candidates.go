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
	"sumachead/internal/registry"
	"sumachead/internal/upstream"
	"sumachead/internal/waitpolicy"
)

// After a power failure of the whole fleet, previously known servers may be gone, or other
// incarnations may have their addresses. A request sent there has used up an attempt, often its
// only one. So silent servers are asked for their identity before they receive a request, and a
// request waits while there is no other server: a running server sends a heartbeat within the
// heartbeat interval.

const (
	// checkInterval is the minimum interval between health checks of one server, and checkTimeout
	// limits one check: several round trips between data halls.
	checkInterval = 300 * time.Millisecond
	checkTimeout  = 200 * time.Millisecond
	// maxConcurrentChecks limits the concurrent health checks of a service: a few servers found
	// quickly are enough to start with.
	maxConcurrentChecks = 8
)

// healthChecks tracks the health checks of silent servers and since when services have had no
// server. The zero value is ready to use.
type healthChecks struct {
	mu sync.Mutex // guards the fields below
	// checkedAt is when servers were last checked.
	checkedAt map[string]time.Time
	// unavailableSince is since when there has been no usable server, by service and the data halls
	// that a request may be sent to.
	unavailableSince map[scope]time.Time
}

// takeDue returns the servers that may be checked now and marks them as checked. A server that
// backs off is known to run, and a check would be one more request to it.
func (c *healthChecks) takeDue(records []*wire.ServerRecord, delay func(sumachead.ServerID) time.Duration, now time.Time) []*wire.ServerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checkedAt == nil {
		c.checkedAt = make(map[string]time.Time)
	}
	var out []*wire.ServerRecord
	for _, r := range records {
		if len(out) < maxConcurrentChecks && now.Sub(c.checkedAt[r.GetId()]) > checkInterval && delay(sumachead.ServerID(r.GetId())) == 0 {
			c.checkedAt[r.GetId()] = now
			out = append(out, r)
		}
	}
	return out
}

// recordAvailability records whether a scope has no usable server, and returns since when that is
// so.
func (c *healthChecks) recordAvailability(s scope, unavailable bool, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !unavailable {
		delete(c.unavailableSince, s)
		return time.Time{}
	}
	if c.unavailableSince == nil {
		c.unavailableSince = make(map[scope]time.Time)
	}
	if c.unavailableSince[s].IsZero() {
		c.unavailableSince[s] = now
	}
	return c.unavailableSince[s]
}

// expire drops the checks that are older than the check interval.
func (c *healthChecks) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.checkedAt {
		if now.Sub(at) > checkInterval {
			delete(c.checkedAt, id)
		}
	}
}

// candidates returns the servers that the request may be sent to. If all known servers are silent,
// they are checked, and the request waits for one while that is useful. After that it may be sent
// to a silent server, because the health information may be wrong.
func (d *dispatch) candidates() ([]*wire.ServerRecord, error) {
	if d.halls != nil && len(d.halls) == 0 {
		return nil, refusePermanently(sumachead.ReasonNoServer, "the route and the workspace are at home in no region that there is")
	}
	for {
		changed := d.servers.Changed()
		all := d.known()
		if err := d.checkServed(all); err != nil {
			return nil, err
		}
		now := time.Now()
		since := d.checks.recordAvailability(d.scope(), !slices.ContainsFunc(all, isReporting), now)
		if since.IsZero() || d.lastFailure != nil {
			return all, nil
		}
		if due := d.checks.takeDue(all, d.checkDelay, now); len(due) > 0 {
			go d.check(due, d.x.service.GetHealthPath())
		}
		p := waitpolicy.TypicalEstimate{Since: since, By: since.Add(d.Heartbeat)}
		retryAt, wait := waitpolicy.ShouldWait(p, d.x.deadlines(), now)
		switch {
		case len(all) == 0 && d.servers.AllVacated(d.x.service.GetName(), d.halls, now):
			return nil, refusePermanently(sumachead.ReasonNoServer, "all data halls with servers that the request may be sent to are vacated")
		case !wait && len(all) > 0:
			return all, nil
		case !wait:
			return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonNoServer, "no backend server is known to run", waitpolicy.RetryAt(p, d.x.deadlines(), d.x.urgency(), now))
		}
		if nextCheck := now.Add(checkInterval); nextCheck.Before(retryAt) {
			retryAt = nextCheck
		}
		if !loop.Pause(d.ctx, changed, retryAt) {
			return nil, d.contextError()
		}
	}
}

// checkServed returns the final error of a request that none of the servers may run now or later; known
// are those that it may be sent to.
func (d *dispatch) checkServed(known []*wire.ServerRecord) error {
	if err := d.checkBarredBlocks(); err != nil {
		return err
	}
	return d.checkVersionServed(known)
}

// isReporting reports whether a server has sent a heartbeat recently.
func isReporting(r *wire.ServerRecord) bool {
	return r.GetState() != wire.ServerState_SERVER_STATE_SILENT
}

// checkDelay returns how long a server must not be checked. A server that limits requests has
// responded recently, and a check would count as a request.
func (g *Gateway) checkDelay(id sumachead.ServerID) time.Duration {
	if g.limits.Get(id).Rate > 0 {
		return checkInterval
	}
	return g.backoffs.Remaining(id)
}

// check asks silent servers for their identity. One that responds as the known incarnation may
// receive requests; if another incarnation responds, the known one has ended.
func (g *Gateway) check(records []*wire.ServerRecord, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	tasks, work := errgroup.WithContext(ctx)
	for _, r := range records {
		tasks.Go(func() error {
			a, err := g.upstream.Check(work, upstream.Server{ID: sumachead.ServerID(r.GetId()), Address: r.GetAddress()}, path)
			switch {
			case err != nil:
				g.failureLog.Info(g.Log, "Health check of a silent backend server failed.", "server", r.GetId(), "error", err)
			case string(a.Server) == registry.ServerName(r):
				g.servers.ConfirmAlive(r.GetId(), a.ColdUntil, time.Now())
			default:
				g.failureLog.Info(g.Log, "Silent backend server was replaced by another incarnation.", "server", r.GetId(), "answered", a.Server)
				g.servers.MarkLeaving(r.GetId(), time.Now())
			}
			return nil // a server that does not respond must not cancel the other checks
		})
	}
	_ = tasks.Wait() // no task returns an error
}
