package gateway

import (
	"context"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/fleetclient"
)

const (
	// loadsEvery is how often routers tell each other, through the leading
	// keeper, what they have under way: a few times while one prompt is read.
	loadsEvery = 60 * time.Millisecond
	// loadsEach is added to that for each router, so that the keeper's work does
	// not grow with the square of their number.
	loadsEach = 4 * time.Millisecond
	// loadsTimeout bounds an exchange; the next one brings newer figures.
	loadsTimeout = 300 * time.Millisecond
)

// loadsLoop exchanges loads while there are any.
func (g *Gateway) loadsLoop(ctx context.Context) error {
	idle := false
	var seen *wire.LoadReply // the last reply
	for {
		pause := loadsEvery + loadsEach*time.Duration(g.client.Routers())
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		now := time.Now()
		g.chooser.ForgetOthers(now)
		loads := g.chooser.Loads(now)
		if len(loads) == 0 && idle {
			continue
		}
		idle = len(loads) == 0
		seen = g.exchangeLoads(ctx, loads, seen)
	}
}

// exchangeLoads tells the leading keeper this router's loads, and takes in those
// of the others. It returns the newest reply, seen if there is none.
func (g *Gateway) exchangeLoads(ctx context.Context, loads []*wire.ServerLoad, seen *wire.LoadReply) *wire.LoadReply {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	report := &wire.LoadReport{Node: string(g.Node), Loads: loads, Brought: g.chooser.Brought(), Seen: seen.GetSeen(), History: seen.GetHistory()}
	reply, err := fleetclient.CallOnce[wire.LoadReply](ctx, g.client, "Fleet.Loads", report)
	if err != nil {
		g.Log.Debug("Loads were not exchanged.", "error", err)
		return seen
	}
	now := time.Now()
	g.chooser.Others(reply.GetLoads(), now)
	g.chooser.BroughtByOthers(reply.GetBrought(), now)
	return reply
}
