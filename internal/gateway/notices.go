package gateway

import (
	"time"

	"sumachead"
)

// What a server reports about itself in a response reaches the router first, even one cut off from
// all keepers; heartbeats arrive seconds later. So it takes effect at this router at once, with any
// response. Without this, a fleet of two routers sent 19 to 1,875 requests in 3.5 s to servers that
// had asked it for a backoff, and refused up to three of four requests although other servers were
// free; with it, none (TestServersThatRequestBackoff, five fleets of six engines).

// handleNotice applies what a server reports about itself in the response to a request sent at a
// time.
func (g *Gateway) handleNotice(id sumachead.ServerID, n sumachead.ServerNotice, sentAt sumachead.BootTime) {
	g.recordLimit(id, n, sentAt)
	if n.Malformed != "" {
		g.metrics.malformedNotices.Inc()
		g.failureLog.Info(g.Log, "Backend server sent a malformed notice.", "server", id, "what", n.Malformed)
	}
	if n.Leaving && !g.servers.IsLeaving(string(id)) {
		g.metrics.leavingNotices.Inc()
		g.failureLog.Info(g.Log, "Backend server announced shutdown.", "server", id)
		g.servers.MarkLeaving(string(id), time.Now())
	}
	if n.BackoffUntil.IsZero() {
		return
	}
	g.metrics.backoffs.Inc()
	if delay := time.Until(n.BackoffUntil); g.backoffs.Set(id, delay) {
		g.failureLog.Info(g.Log, "Backend server requested backoff.", "server", id, "rest", delay)
	}
}

// withholdReason returns why nothing is to be sent to a server. Between the choice of a server and
// the send a request may wait for a grant, a trial and a connection, up to half a second each.
func (g *Gateway) withholdReason(id sumachead.ServerID) (why sumachead.Reason) {
	switch {
	case g.servers.IsExcluded(string(id)):
		why = sumachead.ReasonLeaving
	case g.backoffs.Remaining(id) > 0:
		why = sumachead.ReasonResting
	default:
		return ""
	}
	g.metrics.withheldSends.WithLabelValues(string(why)).Inc()
	return why
}
