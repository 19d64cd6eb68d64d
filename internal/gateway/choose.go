package gateway

import (
	"errors"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/place"
	"sumachead/internal/registry"
	"sumachead/internal/timeutil"
	"sumachead/internal/waitpolicy"
	"sumachead/internal/warmup"
)

const (
	// maxGrantAttempts is how many cold servers a request asks for a grant before it waits for one:
	// if that many are cold and have none left, most others have none either.
	maxGrantAttempts = 6
	// grantRetryDelay is the delay before a cold server that could not be asked is asked again.
	grantRetryDelay = 200 * time.Millisecond
)

// choose picks a server for the request and counts the request there. A cold server is used only
// with a grant; without one the request goes to another server. It waits, while that is useful, if
// all servers it has considered are cold and have no grant left.
func (d *dispatch) choose() (*place.Placement, error) {
	if d.suspension.refreshIfSuspended() {
		d.servedLog.Info(d.Log, "Process was suspended; requested updates from the leading keeper.")
	}
	if l := d.placeCanary(); l != nil {
		return l, nil
	}
	denied := &deniedServers{}
	var busy []sumachead.ServerID // servers at which other suspects run on trial
	for {
		servers, err := d.candidates()
		if err != nil {
			return nil, err
		}
		l := d.placeOnBest(servers, slices.Concat(d.tried, denied.servers, busy))
		if l != nil && d.tryAdmit(l, denied) {
			err := d.acquireTrial(l)
			if err == nil {
				return l, nil
			}
			l.CancelNotRun(time.Now())
			if !errors.Is(err, errOtherTrial) {
				return nil, err
			}
			busy = append(busy, sumachead.ServerID(l.Record.GetId()))
			continue
		}
		if l != nil && len(denied.servers) < maxGrantAttempts {
			continue
		}
		if len(busy) > 0 {
			return nil, d.refuseSuspect(wire.Standing_STANDING_SUSPECTED)
		}
		if err := d.awaitServer(servers, denied); err != nil {
			return nil, err
		}
	}
}

// awaitServer waits, while that is useful, until one of the servers is likely to accept the
// request; none does now. The error is the final one of a request that does not wait.
func (d *dispatch) awaitServer(servers []*wire.ServerRecord, denied *deniedServers) error {
	if ends := d.scheduler.BackoffEnd(servers, d.tried, time.Now()); !ends.IsZero() {
		return d.awaitBackoff(servers, denied, ends)
	}
	switch {
	case len(denied.servers) > 0:
		return d.awaitGrant(denied)
	case d.lastFailure != nil:
		return d.giveUp(d.lastFailure.Reason, "no backend server is left: "+d.lastFailure.Err.Error())
	}
	return d.refuse(sumachead.ReasonNoServer, "no backend server is left")
}

// placeOnBest queries the load trackers of the most likely servers and places the request on the
// best one; nil if all servers are excluded.
func (d *dispatch) placeOnBest(servers []*wire.ServerRecord, excluded []sumachead.ServerID) *place.Placement {
	w := d.x.placeRequest()
	candidates := d.scheduler.Candidates(servers, excluded, w, time.Now())
	d.trackers.query(d.ctx, candidates, w)
	if further := d.scheduler.MoreCandidates(servers, candidates, excluded, w, time.Now()); len(further) > 0 {
		d.trackers.query(d.ctx, further, w)
		candidates = slices.Concat(candidates, further)
	}
	return d.scheduler.Place(candidates, excluded, w, time.Now())
}

// deniedServers are the cold or limited servers that had no grant or permit for a request.
type deniedServers struct {
	servers []sumachead.ServerID
	// since is when the first of them had none, and nextGrant when one is expected.
	since     time.Time
	nextGrant time.Time
}

// add adds a server that may have a grant after a delay.
func (h *deniedServers) add(id sumachead.ServerID, retryAfter time.Duration, now time.Time) {
	if h.since.IsZero() {
		h.since = now
	}
	if at := now.Add(retryAfter); len(h.servers) == 0 || at.Before(h.nextGrant) {
		h.nextGrant = at
	}
	h.servers = append(h.servers, id)
}

// tryAdmit reports whether the request may be sent to the server it was placed on: the server is
// warm, or there is a grant. Otherwise the placement is cancelled.
func (d *dispatch) tryAdmit(l *place.Placement, denied *deniedServers) bool {
	b, id := d.warmupBound(l.Record), sumachead.ServerID(l.Record.GetId())
	limited := d.limits.Get(id).Rate > 0
	if b.Rate == 0 && !limited {
		return true
	}
	l.Cold = b.Rate > 0
	granted, retryAfter := d.requestGrant(l.Record, b)
	if l.Cold {
		d.metrics.recordGrant(granted)
	}
	if limited {
		d.metrics.recordPermit(granted)
	}
	if granted {
		return true
	}
	now := time.Now()
	denied.add(id, retryAfter, now)
	if limited {
		d.limits.Denials.Set(id, retryAfter)
	}
	l.CancelNotRun(now)
	return false
}

// warmupBound returns the rate limit of a server if it is cold; a warm server has none.
func (d *dispatch) warmupBound(r *wire.ServerRecord) warmup.Bound {
	s := d.x.service
	if s.GetColdRate() == 0 {
		return warmup.Bound{}
	}
	// Routers learn that a data hall has been reopened some time after the order.
	coldTime := time.Duration(s.GetColdMillis())*time.Millisecond + d.Heartbeat
	if !time.Now().Before(d.servers.ColdUntil(r.GetId(), coldTime)) {
		return warmup.Bound{}
	}
	return warmup.BoundOf(s.GetColdRate(), d.ColdOverage, d.ColdSlack)
}

// requestGrant requests a grant from the load tracker beside an engine or, for a cold server
// without one, from this router's share.
func (d *dispatch) requestGrant(r *wire.ServerRecord, cold warmup.Bound) (granted bool, retryAfter time.Duration) {
	if cold.Rate > 0 && (d.x.service.GetEngine() == nil || d.permitAddress(r) == "") {
		granted, retryAfter = d.cold.take(registry.ServerName(r), cold, d.client.Routers())
		if !granted || d.limits.Get(sumachead.ServerID(r.GetId())).Rate == 0 {
			return granted, retryAfter
		}
		cold = warmup.Bound{}
	}
	return d.requestPermit(r, cold)
}

// awaitGrant waits, while that is useful, until a server is expected to have a grant, and clears
// the list of servers that had none.
func (d *dispatch) awaitGrant(denied *deniedServers) error {
	now := time.Now()
	p := waitpolicy.TypicalEstimate{Since: denied.since, By: denied.nextGrant}
	retryAt, wait := waitpolicy.ShouldWait(p, d.x.deadlines(), now)
	if !wait {
		const detail = "the servers that are left are cold and get no more at present"
		if d.mayHaveRun {
			return d.giveUp(d.lastFailure.Reason, detail)
		}
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonCold, detail, waitpolicy.RetryAt(p, d.x.deadlines(), d.x.urgency(), now))
	}
	if !loop.Sleep(d.ctx, retryAt.Sub(now)) {
		return d.contextError()
	}
	denied.servers = nil
	return nil
}

// awaitBackoff waits until the first of the servers may receive requests again, if all of them have
// asked for a backoff or have no permit left and the request can still be served in time. Otherwise
// it refuses the request at once with a jittered retry time, so that callers do not all retry
// together.
func (d *dispatch) awaitBackoff(servers []*wire.ServerRecord, denied *deniedServers, backoffEnd time.Time) error {
	now := time.Now()
	if _, wait := waitpolicy.ShouldWait(waitpolicy.ReportedEstimate{At: backoffEnd}, d.x.deadlines(), now); !wait {
		if d.anyWithoutPermit(servers) {
			return d.giveUp(sumachead.ReasonLimited, "all servers that are left limit requests and get no more at present")
		}
		return d.giveUp(sumachead.ReasonResting, "all servers that are left have asked for rest")
	}
	denied.servers = nil
	retryAt := timeutil.Later(waitpolicy.JitteredRetryAt(backoffEnd, d.x.deadlines(), d.x.urgency(), now), backoffEnd)
	if !loop.Sleep(d.ctx, retryAt.Sub(now)) {
		return d.contextError()
	}
	return nil
}

// anyWithoutPermit reports whether one of the servers has no permit left.
func (d *dispatch) anyWithoutPermit(servers []*wire.ServerRecord) bool {
	return slices.ContainsFunc(servers, func(r *wire.ServerRecord) bool {
		return d.limits.Denials.Remaining(sumachead.ServerID(r.GetId())) > 0
	})
}

// rateShares is this router's share of the rate limits of servers that have no load tracker. The
// zero value is ready to use.
type rateShares struct {
	mu     sync.Mutex // guards shares
	shares warmup.Shares
}

// take reports whether a request may be sent to a server, and otherwise when to ask again.
func (c *rateShares) take(id string, b warmup.Bound, routers int) (granted bool, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shares.Take(id, b, routers, time.Now()), grantRetryDelay
}
