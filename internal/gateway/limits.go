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

// A request limit applies to what all routers together send to a server, so a router needs a permit
// for each request: from the load tracker beside an engine or, for a server of a plain service,
// from one load tracker that all routers agree on.

// unreachableLimitShare is the share of a limit that routers use together while they cannot reach
// the load tracker that grants permits, which may grant all of it to others meanwhile.
const unreachableLimitShare = 0.5

// requestLimits is what a router knows about servers that limit requests. Set the exported field
// before the first call.
type requestLimits struct {
	ratelimit.Table
	// Denials holds until when servers have no permit left, as far as known.
	Denials *backoff.Table
	// shares is this router's share of limits without permits.
	shares rateShares
}

// recordLimit records whether a response names a request limit, and reports a change.
func (g *Gateway) recordLimit(id sumachead.ServerID, n sumachead.ServerNotice, sentAt sumachead.BootTime) {
	switch {
	case n.Limit > 0:
		g.metrics.limitResponses.Inc()
		if !g.limits.Set(id, n.Limit, boottime.Clock{}.Now()) {
			return
		}
		g.failureLog.Info(g.Log, "Backend server set a request limit.", "server", id, "limit", n.Limit)
	case !n.LimitMalformed && g.limits.Clear(id, sentAt):
		g.failureLog.Info(g.Log, "Backend server removed its request limit.", "server", id)
	default:
		return
	}
	g.reportLimit(id)
}

// reportLimit sends what is known of a server's limit to the load tracker that grants its permits.
func (g *Gateway) reportLimit(id sumachead.ServerID) {
	for _, r := range g.servers.Records() {
		if r.GetId() != string(id) {
			continue
		}
		m := g.limits.Get(id).ToWire(boottime.Clock{}.Now())
		g.trackers.enqueueNote(g.permitAddress(r), r, &wire.GaugeNote{Note: &wire.GaugeNote_Limit{Limit: m}})
		return
	}
}

// expireLimits drops the request limits of servers that are gone.
func (g *Gateway) expireLimits() {
	g.limits.Denials.Expire()
	if g.limits.Len() == 0 {
		return
	}
	known := make(map[sumachead.ServerID]bool)
	for _, r := range g.servers.Records() {
		known[sumachead.ServerID(r.GetId())] = true
	}
	g.limits.Expire(func(id sumachead.ServerID, _ ratelimit.Observation) bool { return !known[id] })
}

// permitAddress returns the address that grants permits for a server; empty if there is none.
func (g *Gateway) permitAddress(r *wire.ServerRecord) string {
	if g.trackers.Address == nil {
		return ""
	}
	v := g.client.View()
	if v == nil {
		return ""
	}
	isEngine := func(r *wire.ServerRecord) bool { return v.Service(r.GetService()).GetEngine() != nil }
	if isEngine(r) {
		return g.trackers.Address(r)
	}
	best, bestRank := "", uint64(0)
	for _, e := range g.servers.Records() {
		if !isEngine(e) {
			continue
		}
		a := g.trackers.Address(e)
		if k := fleet.RendezvousHash(registry.ServerName(r), a); a != "" && (best == "" || k < bestRank) {
			best, bestRank = a, k
		}
	}
	return best
}

// requestPermit requests a permit to send a request to a server that has a known limit, or that is
// cold and has a rate limit of its own. Otherwise it returns when to ask again.
func (d *dispatch) requestPermit(r *wire.ServerRecord, cold warmup.Bound) (granted bool, retryAfter time.Duration) {
	id := sumachead.ServerID(r.GetId())
	limit := d.limits.Get(id)
	address := d.permitAddress(r)
	if address != "" {
		now := boottime.Clock{}.Now()
		reply, ok := d.trackers.requestPermit(address, &wire.AdmitRequest{
			Server: registry.ServerName(r), Rate: cold.Rate, Burst: cold.Burst, Urgency: d.x.urgency(),
			Incarnation: r.GetId(), Limit: limit.ToWire(now),
		})
		if ok {
			d.trackers.mergeLimit(id, reply.GetLimit())
			return reply.GetGranted(), time.Duration(reply.GetAgainMicros()) * time.Microsecond
		}
	}
	if cold.Rate > 0 {
		return false, grantRetryDelay
	}
	b := ratelimit.BoundOf(limit.Rate)
	if address != "" {
		b.Rate *= unreachableLimitShare
	}
	return d.limits.shares.take(registry.ServerName(r), b, d.client.Routers())
}
