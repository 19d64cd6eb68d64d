package ratelimit

import (
	"time"

	"sumachead"
	"sumachead/internal/warmup"
)

// burstSeconds is how many seconds' worth of a limit may come at once after a pause, beyond one
// request.
const burstSeconds = 0.2

// BoundOf returns the bound on what all routers together send to a server with a request limit.
// With permits that are used within [warmup.GrantLives], a server that takes r requests a second
// receives at most r*(t+0.3) + 1 in any t seconds.
func BoundOf(r sumachead.RequestRate) warmup.Bound {
	if r <= 0 {
		return warmup.Bound{}
	}
	return warmup.Bound{Rate: float64(r), Burst: 1 + burstSeconds*float64(r)}
}

// Permits grants permits for requests to some servers on behalf of all routers. It is not safe
// for concurrent use. Set the exported field before the first call.
type Permits struct {
	// Since is when this process started; what an earlier one granted may still be in use.
	Since time.Time

	gates map[string]*gate
}

// gate is the state of one server, by the name that its incarnations share.
type gate struct {
	*warmup.Gate
	usedAt time.Time
}

// gateTimeout is how long the gate of a server is kept without use: by then it is full again.
const gateTimeout = time.Minute

// Admit reports whether one more request may be sent to a server now, and otherwise how long it
// takes until one may. Nothing is counted for a bound of 0.
func (p *Permits) Admit(server string, b warmup.Bound, urgency uint32, now time.Time) (granted bool, again time.Duration) {
	if b.Rate == 0 {
		return true, 0
	}
	g := p.gates[server]
	if g == nil {
		p.expire(now)
		g = &gate{Gate: warmup.NewGate(p.Since, b, now)}
		p.gates[server] = g
	}
	g.usedAt = now
	return g.Admit(b, urgency, now)
}

// expire drops the gates of servers that nobody asks for any more.
func (p *Permits) expire(now time.Time) {
	if p.gates == nil {
		p.gates = make(map[string]*gate)
	}
	for server, g := range p.gates {
		if now.Sub(g.usedAt) > gateTimeout {
			delete(p.gates, server)
		}
	}
}
