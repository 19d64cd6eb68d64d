package gateway

import (
	"time"

	"sumachead/api/wire"
	"sumachead/internal/linkload"
)

// ShouldClose reports whether a caller's connection should be closed after the response to the
// request that has just arrived: the router is stopping, or the next request should go to another
// router.
func (g *Gateway) ShouldClose(c linkload.ConnectionID) bool {
	if g.stopping.Load() {
		return true
	}
	closes := g.link.ShouldClose(c, time.Now())
	if closes {
		g.metrics.loadCloses.Inc()
	}
	return closes
}

// linkPercent returns how much of the link callers use, which the leading keeper is told: at least 1,
// or 0 if the capacity of the link is unknown. It is also 0 while the router is stopping, so that its
// emptying link does not count as room for moved callers.
func (g *Gateway) linkPercent() linkload.Percent {
	if g.link.BytesPerSecond <= 0 || g.stopping.Load() {
		return 0
	}
	return max(g.link.Load(time.Now()), 1)
}

// applyHallLink applies what the leading keeper tells of the other routers of the data hall.
func (g *Gateway) applyHallLink(h *wire.HallLink) {
	g.link.SetNeighbors(linkload.Neighbors{
		Routers: int(h.GetRouters()), Mean: linkload.Percent(h.GetMeanPercent()),
		Room: linkload.Percent(h.GetRoomPercent()),
	}, time.Now())
}

// neighborsPercent returns the mean use of the other routers' links; 0 if it is unknown.
func (g *Gateway) neighborsPercent() linkload.Percent {
	n, ok := g.link.Neighbors(time.Now())
	if !ok {
		return 0
	}
	return n.Mean
}
