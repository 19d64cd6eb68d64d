package gateway

import (
	"errors"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/moment"
	"sumachead/internal/patience"
	"sumachead/internal/place"
	"sumachead/internal/registry"
	"sumachead/internal/warmup"
)

const (
	// admitsMost is how many cold servers a request asks for a grant before it waits for
	// one: where so many are cold and have none left, most others are like them.
	admitsMost = 6
	// noGrantFor is when a cold server is asked again that could not be asked.
	noGrantFor = 200 * time.Millisecond
)

// choose picks a server for the request and counts the request there. A cold server is
// taken only with a grant; without one the request goes to another server, and waits
// while that is of use where all that it has looked at are cold and have none left.
func (d *dispatch) choose() (*place.Placement, error) {
	if d.wake.await() {
		d.lines.Info(d.Log, "This process has slept; it has asked for what is new.")
	}
	if l := d.placeSample(); l != nil {
		return l, nil
	}
	held := &heldUp{}
	var apart []sumachead.ServerID // at which other suspects run on trial
	for {
		servers, err := d.candidates()
		if err != nil {
			return nil, err
		}
		l := d.placeAmong(servers, slices.Concat(d.tried, held.servers, apart))
		if l != nil && d.admitted(l, held) {
			err := d.tryAt(l)
			if err == nil {
				return l, nil
			}
			l.CancelNotRun(time.Now())
			if !errors.Is(err, errApart) {
				return nil, err
			}
			apart = append(apart, sumachead.ServerID(l.Record.GetId()))
			continue
		}
		if l != nil && len(held.servers) < admitsMost {
			continue
		}
		if len(apart) > 0 {
			return nil, d.endsServers(wire.Standing_STANDING_SUSPECTED)
		}
		if err := d.awaitServer(servers, held); err != nil {
			return nil, err
		}
	}
}

// awaitServer waits, while that is of use, until one of some servers should take the request,
// none of which does now. The error is how it ends otherwise.
func (d *dispatch) awaitServer(servers []*wire.ServerRecord, held *heldUp) error {
	if ends := d.chooser.BackoffEnd(servers, d.tried, time.Now()); !ends.IsZero() {
		return d.awaitRest(servers, held, ends)
	}
	switch {
	case len(held.servers) > 0:
		return d.awaitGrant(held)
	case d.last != nil:
		return d.giveUp(d.last.Reason, "no backend server is left: "+d.last.Err.Error())
	}
	return d.refuse(sumachead.ReasonNoServer, "no backend server is left")
}

// placeAmong asks the gauges of the likely servers and places the request at the best one;
// nil where all are passed over.
func (d *dispatch) placeAmong(servers []*wire.ServerRecord, passed []sumachead.ServerID) *place.Placement {
	w := d.x.work()
	few := d.chooser.Candidates(servers, passed, w, time.Now())
	d.gauges.ask(d.ctx, few, w)
	if more := d.chooser.MoreCandidates(servers, few, passed, w, time.Now()); len(more) > 0 {
		d.gauges.ask(d.ctx, more, w)
		few = slices.Concat(few, more)
	}
	return d.chooser.Place(few, passed, w, time.Now())
}

// heldUp are the cold servers that had no grant for a request.
type heldUp struct {
	servers []sumachead.ServerID
	// since is when the first of them had none, and next when one should have.
	since time.Time
	next  time.Time
}

// note adds a server that may have a grant again after a time.
func (h *heldUp) note(id sumachead.ServerID, again time.Duration, now time.Time) {
	if h.since.IsZero() {
		h.since = now
	}
	if at := now.Add(again); len(h.servers) == 0 || at.Before(h.next) {
		h.next = at
	}
	h.servers = append(h.servers, id)
}

// admitted reports whether the request may be sent where it was placed: the server is
// warm, or there is a grant. Otherwise the placement is cancelled.
func (d *dispatch) admitted(l *place.Placement, held *heldUp) bool {
	b, id := d.coldBound(l.Record), sumachead.ServerID(l.Record.GetId())
	limited := d.limits.Get(id).Rate > 0
	if b.Rate == 0 && !limited {
		return true
	}
	l.Cold = b.Rate > 0
	granted, again := d.admit(l.Record, b)
	if l.Cold {
		d.metrics.noteAdmit(granted)
	}
	if limited {
		d.metrics.notePermit(granted)
	}
	if granted {
		return true
	}
	now := time.Now()
	held.note(id, again, now)
	if limited {
		d.limits.Denials.Set(id, again)
	}
	l.CancelNotRun(now)
	return false
}

// coldBound returns what a server may be sent if it is cold; nothing bounds a warm one.
func (d *dispatch) coldBound(r *wire.ServerRecord) warmup.Bound {
	s := d.x.service
	if s.GetColdRate() == 0 {
		return warmup.Bound{}
	}
	// A hall that was opened again is known to be so some time after the order.
	coldTime := time.Duration(s.GetColdMillis())*time.Millisecond + d.Heartbeat
	if !time.Now().Before(d.servers.ColdUntil(r.GetId(), coldTime)) {
		return warmup.Bound{}
	}
	return warmup.BoundOf(s.GetColdRate(), d.ColdOverage, d.ColdSlack)
}

// admit asks for a grant: of the process beside an engine, or, for a cold server without one, of
// this router's share.
func (d *dispatch) admit(r *wire.ServerRecord, cold warmup.Bound) (granted bool, again time.Duration) {
	if cold.Rate > 0 && (d.x.service.GetEngine() == nil || d.permitAddress(r) == "") {
		granted, again = d.cold.take(registry.Name(r), cold, d.client.Routers())
		if !granted || d.limits.Get(sumachead.ServerID(r.GetId())).Rate == 0 {
			return granted, again
		}
		cold = warmup.Bound{}
	}
	return d.permit(r, cold)
}

// awaitGrant waits until a server should have a grant, while that is of use, and forgets
// which ones had none.
func (d *dispatch) awaitGrant(held *heldUp) error {
	now := time.Now()
	p := patience.TypicalEstimate{Since: held.since, By: held.next}
	again, wait := patience.ShouldWait(p, d.x.use(), now)
	if !wait {
		const detail = "the servers that are left are cold and get no more at present"
		if d.mayHaveRun {
			return d.giveUp(d.last.Reason, detail)
		}
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonCold, detail, patience.RetryAt(p, d.x.use(), d.x.urgency(), now))
	}
	if !loop.Sleep(d.ctx, again.Sub(now)) {
		return d.ended()
	}
	held.servers = nil
	return nil
}

// awaitRest waits until the first of some servers may be sent to again, where all of them have
// asked for rest or have no permit left, while that lets the request be in time. Otherwise it is
// refused at once: its caller is told when that is, spread so that callers don't come together.
func (d *dispatch) awaitRest(servers []*wire.ServerRecord, held *heldUp, ends time.Time) error {
	now := time.Now()
	if _, wait := patience.ShouldWait(patience.ReportedEstimate{At: ends}, d.x.use(), now); !wait {
		if d.anyLimited(servers) {
			return d.giveUp(sumachead.ReasonLimited, "all servers that are left limit requests and get no more at present")
		}
		return d.giveUp(sumachead.ReasonResting, "all servers that are left have asked for rest")
	}
	held.servers = nil
	again := moment.Later(patience.JitteredRetryAt(ends, d.x.use(), d.x.urgency(), now), ends)
	if !loop.Sleep(d.ctx, again.Sub(now)) {
		return d.ended()
	}
	return nil
}

// anyLimited reports whether one of some servers has no permit left.
func (d *dispatch) anyLimited(servers []*wire.ServerRecord) bool {
	return slices.ContainsFunc(servers, func(r *wire.ServerRecord) bool {
		return d.limits.Denials.Remaining(sumachead.ServerID(r.GetId())) > 0
	})
}

// coldShares is this router's part of what cold servers bear that have no gauge. The zero
// value is ready.
type coldShares struct {
	mu     sync.Mutex // guards shares
	shares warmup.Shares
}

// take reports whether a request may be sent to a server, and otherwise when to ask again.
func (c *coldShares) take(id string, b warmup.Bound, routers int) (granted bool, again time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shares.Take(id, b, routers, time.Now()), noGrantFor
}
