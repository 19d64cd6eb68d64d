package gateway

import (
	"time"

	"sumachead"
)

// noteNotice takes in what a server says of itself in an answer.
func (g *Gateway) noteNotice(id sumachead.ServerID, n sumachead.ServerNotice) {
	if n.Unreadable != "" {
		g.metrics.unreadable.Inc()
		g.failures.Info(g.Log, "What a backend server says of itself can't be read.", "server", id, "what", n.Unreadable)
	}
	if n.Leaving && !g.servers.Leaving(string(id)) {
		g.metrics.leaving.Inc()
		g.failures.Info(g.Log, "A backend server says in an answer that it leaves.", "server", id)
	}
	if n.RestUntil.IsZero() {
		return
	}
	rest := time.Until(n.RestUntil)
	g.metrics.rests.Inc()
	g.rests.Ask(id, rest)
	g.failures.Info(g.Log, "A backend server asks for rest.", "server", id, "rest", rest)
}

// noteSend counts a request that is sent to a server which wants nothing.
func (g *Gateway) noteSend(id sumachead.ServerID) {
	if left := g.rests.Left(id); left > 0 {
		g.metrics.againstRest.Inc()
		g.failures.Info(g.Log, "A request is sent to a backend server that rests.", "server", id, "left", left)
	}
}
