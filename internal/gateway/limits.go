package gateway

import (
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/backoff"
	"sumachead/internal/boottime"
	"sumachead/internal/fleet"
	"sumachead/internal/ratelimit"
	"sumachead/internal/registry"
	"sumachead/internal/warmup"
)

// A request limit holds for what all routers together send to a server, so a router needs a
// permit for each request: from the process beside an engine, or, for a server of a plain
// service, from one of these processes that all routers agree on.

// unreachedPart is the part of a limit that routers use together while they can't reach the
// process that grants permits, which may grant all of it to others meanwhile.
const unreachedPart = 0.5

// limits is what a router knows of servers that limit requests. Set the exported field before
// the first call.
type limits struct {
	ratelimit.Table
	// Denials holds until when servers have no permit left, as far as is known.
	Denials *backoff.Table
	// shares is this router's part of limits without permits.
	shares coldShares
}

// noteLimit records whether an answer names a request limit, and passes a change on.
func (g *Gateway) noteLimit(id sumachead.ServerID, n sumachead.ServerNotice, sentAt sumachead.BootTime) {
	switch {
	case n.Limit > 0:
		g.metrics.limitAnswers.Inc()
		if !g.limits.Set(id, n.Limit, boottime.Clock{}.Now()) {
			return
		}
		g.failures.Info(g.Log, "Backend server named a request limit.", "server", id, "limit", n.Limit)
	case !n.LimitUnclear && g.limits.Clear(id, sentAt):
		g.failures.Info(g.Log, "Backend server no longer names a request limit.", "server", id)
	default:
		return
	}
	g.reportLimit(id)
}

// reportLimit sends what is known of a server's limit to the process that grants its permits.
func (g *Gateway) reportLimit(id sumachead.ServerID) {
	for _, r := range g.servers.Known() {
		if r.GetId() != string(id) {
			continue
		}
		m := g.limits.Get(id).ToWire(boottime.Clock{}.Now())
		g.gauges.noteAt(g.permitAddress(r), r, &wire.GaugeNote{Note: &wire.GaugeNote_Limit{Limit: m}})
		return
	}
}

// forgetLimits drops the request limits of servers that are gone.
func (g *Gateway) forgetLimits() {
	g.limits.Denials.Expire()
	if g.limits.Len() == 0 {
		return
	}
	known := make(map[sumachead.ServerID]bool)
	for _, r := range g.servers.Known() {
		known[sumachead.ServerID(r.GetId())] = true
	}
	g.limits.Expire(func(id sumachead.ServerID, _ ratelimit.Observation) bool { return !known[id] })
}

// permitAddress returns where permits for a server are granted; empty for nowhere.
func (g *Gateway) permitAddress(r *wire.ServerRecord) string {
	if g.gauges.Address == nil {
		return ""
	}
	v := g.client.View()
	if v == nil {
		return ""
	}
	isEngine := func(r *wire.ServerRecord) bool { return v.Service(r.GetService()).GetEngine() != nil }
	if isEngine(r) {
		return g.gauges.Address(r)
	}
	best, least := "", uint64(0)
	for _, e := range g.servers.Known() {
		if !isEngine(e) {
			continue
		}
		a := g.gauges.Address(e)
		if k := fleet.Rank(registry.Name(r), a); a != "" && (best == "" || k < least) {
			best, least = a, k
		}
	}
	return best
}

// permit asks for a permit to send a request to a server of which a limit is known, or that is
// cold and within a bound of its own. Otherwise it returns when to ask again.
func (d *dispatch) permit(r *wire.ServerRecord, cold warmup.Bound) (granted bool, again time.Duration) {
	id := sumachead.ServerID(r.GetId())
	limit := d.limits.Get(id)
	address := d.permitAddress(r)
	if address != "" {
		now := boottime.Clock{}.Now()
		reply, ok := d.gauges.admit(address, &wire.AdmitRequest{
			Server: registry.Name(r), Rate: cold.Rate, Burst: cold.Burst, Urgency: d.x.urgency(),
			Incarnation: r.GetId(), Limit: limit.ToWire(now),
		})
		if ok {
			d.gauges.noteLimit(id, reply.GetLimit())
			return reply.GetGranted(), time.Duration(reply.GetAgainMicros()) * time.Microsecond
		}
	}
	if cold.Rate > 0 {
		return false, noGrantFor
	}
	b := ratelimit.BoundOf(limit.Rate)
	if address != "" {
		b.Rate *= unreachedPart
	}
	return d.limits.shares.take(registry.Name(r), b, d.client.Routers())
}
