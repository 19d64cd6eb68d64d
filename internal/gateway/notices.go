package gateway

import (
	"time"

	"sumachead"
)

// What a server says of itself in an answer reaches the router first, and also where it is cut
// off from all keepers; heartbeats come seconds later. So it is in force at this router at once,
// whatever it came with. Without it a fleet of two routers sent 19 to 1,875 requests in 3.5 s to
// servers that had asked it for rest, and refused up to three of four although other servers
// were free; none with it (TestServersThatAskForRest, five fleets of six engines).

// noteNotice takes in what a server says of itself in an answer to a request sent at a time.
func (g *Gateway) noteNotice(id sumachead.ServerID, n sumachead.ServerNotice, sentAt sumachead.BootTime) {
	g.noteLimit(id, n, sentAt)
	if n.Unreadable != "" {
		g.metrics.unreadable.Inc()
		g.failures.Info(g.Log, "What a backend server says of itself can't be read.", "server", id, "what", n.Unreadable)
	}
	if n.Leaving && !g.servers.Leaving(string(id)) {
		g.metrics.leaving.Inc()
		g.failures.Info(g.Log, "A backend server says in an answer that it leaves.", "server", id)
		g.servers.Leave(string(id), time.Now())
	}
	if n.RestUntil.IsZero() {
		return
	}
	g.metrics.rests.Inc()
	if rest := time.Until(n.RestUntil); g.rests.Set(id, rest) {
		g.failures.Info(g.Log, "Backend server requested backoff.", "server", id, "rest", rest)
	}
}

// unwanted returns why a server is to be sent nothing. Between the choice of a server and the
// send a request may wait for a grant, a trial and a connection, up to half a second each.
func (g *Gateway) unwanted(id sumachead.ServerID) (why sumachead.Reason) {
	switch {
	case g.servers.Closed(string(id)):
		why = sumachead.ReasonLeaving
	case g.rests.Remaining(id) > 0:
		why = sumachead.ReasonResting
	default:
		return ""
	}
	g.metrics.keptBack.WithLabelValues(string(why)).Inc()
	return why
}
