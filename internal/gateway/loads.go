package gateway

import (
	"context"
	"time"

	"sumachead"
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
	for {
		pause := loadsEvery + loadsEach*time.Duration(g.client.Routers())
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		loads := g.placer.loads()
		if len(loads) == 0 && idle {
			continue
		}
		idle = len(loads) == 0
		g.exchangeLoads(ctx, loads)
	}
}

// exchangeLoads tells the leading keeper this router's loads, and takes in those
// of the others.
func (g *Gateway) exchangeLoads(ctx context.Context, loads []*wire.ServerLoad) {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	report := &wire.LoadReport{Node: string(g.Node), Loads: loads}
	reply, err := fleetclient.CallOnce[wire.LoadReply](ctx, g.client, "Fleet.Loads", report)
	if err != nil {
		g.Log.Debug("Loads were not exchanged.", "error", err)
		return
	}
	g.placer.others(reply.GetLoads(), time.Now())
}

// loads returns what this router has under way at each server.
func (p *placer) loads() []*wire.ServerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*wire.ServerLoad
	for id, s := range p.states {
		if s.running > 0 {
			out = append(out, &wire.ServerLoad{Id: string(id), Queued: int64(s.prefill), Running: int64(s.running)})
		}
	}
	return out
}

// others takes in what all other routers have under way.
func (p *placer) others(loads []*wire.ServerLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.othersAt = now
	for _, s := range p.states {
		s.otherPrefill, s.otherRunning = 0, 0
	}
	for _, l := range loads {
		s := p.state(sumachead.ServerID(l.GetId()))
		s.otherPrefill, s.otherRunning = sumachead.Tokens(l.GetQueued()), int(l.GetRunning())
	}
}
