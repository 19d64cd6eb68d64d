package ratelimit

import (
	"time"

	"sumachead"
	"sumachead/internal/warmup"
)

// burstFactor is the burst allowed after a pause, beyond one request, as a multiple of the requests
// allowed per second.
const burstFactor = 0.2

// BoundOf returns the bound on the requests that all routers together send to a server with a request
// limit. If permits are used within [warmup.GrantTTL], a server with a limit of r requests per second
// receives at most r*(t+0.3) + 1 requests in any t seconds.
func BoundOf(r sumachead.RequestRate) warmup.Bound {
	if r <= 0 {
		return warmup.Bound{}
	}
	return warmup.Bound{Rate: float64(r), Burst: 1 + burstFactor*float64(r)}
}

// Permits grants permits for requests to servers with limits, on behalf of all routers. It is not
// safe for concurrent use. Set the exported field before the first call.
type Permits struct {
	// StartedAt is when this process started; permits of its previous incarnation may still be in use.
	StartedAt time.Time

	gates map[string]*gate
}

// gate is the state of one server, keyed by the name that its incarnations share.
type gate struct {
	*warmup.Gate
	usedAt time.Time
}

// gateTimeout is how long the gate of a server is kept without use. Its token bucket is full again by
// then.
const gateTimeout = time.Minute

// Admit reports whether one more request may be sent to a server now, and if not, how long it takes
// until one may. Requests are not counted for a bound with rate 0.
func (p *Permits) Admit(server string, b warmup.Bound, urgency uint32, now time.Time) (granted bool, retryAfter time.Duration) {
	if b.Rate == 0 {
		return true, 0
	}
	g := p.gates[server]
	if g == nil {
		p.expire(now)
		g = &gate{Gate: warmup.NewGate(p.StartedAt, b, now)}
		p.gates[server] = g
	}
	g.usedAt = now
	return g.Admit(b, urgency, now)
}

// expire removes the gates of servers without recent requests.
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
