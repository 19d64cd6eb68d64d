package retrybudget

import (
	"sync"
	"time"

	"sumachead"
)

// Granter is the leading keeper's part of the budget. It is safe for concurrent use. Set the exported
// fields before the first call.
type Granter struct {
	Limit
	Clock sumachead.Clock
	// RecordUse makes known to the next leader whether retries of a service's fixed number may have
	// been granted within the last window.
	RecordUse func(service string, active bool) error

	mu sync.Mutex // guards the fields below
	// term identifies the leadership.
	term     string
	services map[string]*pool
}

// pool is what the leading keeper knows of one service.
type pool struct {
	credits credits
	// grants are those of the fixed number within the last window, oldest first.
	grants []grant
	// blockedUntil is until when nothing of the fixed number is granted, because the previous leader
	// may have granted all of it.
	blockedUntil sumachead.BootTime
	// recorded is set while the next leader knows that the fixed number is in use. recording is
	// closed when an attempt to record whether it is has ended; nil while there is none.
	recorded  bool
	recording chan struct{}
}

// grant is a number of retries granted at a time.
type grant struct {
	at    sumachead.BootTime
	count int
}

// StartLeading records that this keeper leads, and the services whose fixed number was in use by then;
// a term that it knows changes nothing.
func (g *Granter) StartLeading(term string, inUse []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term == g.term {
		return
	}
	g.term, g.services = term, make(map[string]*pool)
	now := g.Clock.Now()
	for _, service := range inUse {
		p := g.poolOf(service, now)
		p.recorded, p.blockedUntil = true, now.Add(g.grantWindow())
	}
}

// Grant grants up to wanted retries of a service, which a router asks for with credits of its own. If
// there are fewer, it returns how long there will be no further grant. An error means that nothing was
// granted.
func (g *Granter) Grant(term, service string, credits float64, wanted int) (granted int, wait time.Duration, err error) {
	p, granted, extra := g.grantCredits(term, service, credits, wanted)
	if p == nil || extra == 0 {
		return granted, g.wait(p, granted, wanted), nil
	}
	if err := g.recordUse(p, service); err != nil && granted == 0 {
		return 0, 0, err
	}
	granted += g.grantExtra(term, service, p, extra)
	return granted, g.wait(p, granted, wanted), nil
}

// grantCredits grants what credits pay for, and returns how many retries of the fixed number may be
// granted beyond that. The pool is nil if this keeper no longer leads in the term.
func (g *Granter) grantCredits(term, service string, credits float64, wanted int) (p *pool, granted, extra int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.term {
		return nil, 0, 0
	}
	now := g.Clock.Now()
	p = g.poolOf(service, now)
	p.credits.add(max(credits, 0))
	if cost, ok := g.cost(); ok {
		for granted < wanted && p.credits.take(cost) {
			granted++
		}
	}
	return p, granted, min(wanted-granted, g.extraLeft(p, now))
}

// recordUse records that the fixed number of a service is in use, unless that is known already.
func (g *Granter) recordUse(p *pool, service string) error {
	for {
		g.mu.Lock()
		if p.recorded {
			g.mu.Unlock()
			return nil
		}
		if other := p.recording; other != nil {
			g.mu.Unlock()
			<-other
			continue
		}
		done := make(chan struct{})
		p.recording = done
		g.mu.Unlock()
		err := g.RecordUse(service, true)
		g.mu.Lock()
		p.recorded, p.recording = err == nil, nil
		g.mu.Unlock()
		close(done)
		return err
	}
}

// grantExtra grants retries of the fixed number, unless the pool was dropped meanwhile.
func (g *Granter) grantExtra(term, service string, p *pool, wanted int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	p.advance(g, now)
	n := min(wanted, g.extraLeft(p, now))
	if term != g.term || g.services[service] != p || !p.recorded || n == 0 {
		return 0
	}
	p.grants = append(p.grants, grant{at: now, count: n})
	return n
}

// RecordUnused records that the fixed number of a service is no longer in use, for those of which
// nothing was granted within a window. It must be called periodically by a leader.
func (g *Granter) RecordUnused() {
	for service, p := range g.unused() {
		// If this fails, the next leader waits for nothing.
		_ = g.RecordUse(service, false)
		g.mu.Lock()
		done := p.recording
		p.recording = nil
		g.mu.Unlock()
		close(done)
	}
}

// unused returns the services whose fixed number is no longer in use. It is recorded anew once that has
// been recorded.
func (g *Granter) unused() map[string]*pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	found := make(map[string]*pool)
	for name, p := range g.services {
		p.advance(g, now)
		switch {
		case p.recording != nil:
		case p.recorded && len(p.grants) == 0 && now >= p.blockedUntil:
			p.recorded, p.recording = false, make(chan struct{})
			found[name] = p
		case !p.recorded && p.credits.sum() == 0:
			delete(g.services, name)
		}
	}
	return found
}

// poolOf returns the pool of a service without what has expired.
func (g *Granter) poolOf(service string, now sumachead.BootTime) *pool {
	p := g.services[service]
	if p == nil {
		p = &pool{}
		g.services[service] = p
	}
	p.advance(g, now)
	return p
}

// advance drops what has expired.
func (p *pool) advance(g *Granter, now sumachead.BootTime) {
	p.credits.advance(g.part(creditPart), now)
	for len(p.grants) > 0 && now.Sub(p.grants[0].at) >= g.grantWindow() {
		p.grants = p.grants[1:]
	}
}

// grantWindow is the window in which grants are counted: retries that are granted a whole such window
// apart never arrive within the same window.
func (g *Granter) grantWindow() time.Duration {
	return g.Window + g.part(grantPart) + g.part(arrivalPart)
}

// extraLeft returns how many retries of the fixed number may be granted now.
func (g *Granter) extraLeft(p *pool, now sumachead.BootTime) int {
	if now < p.blockedUntil {
		return 0
	}
	left := int(g.Extra * extraShare)
	for _, x := range p.grants {
		left -= x.count
	}
	return max(left, 0)
}

// wait returns how long there will be no further grant of the fixed number, if fewer than wanted were
// granted.
func (g *Granter) wait(p *pool, granted, wanted int) time.Duration {
	if p == nil || granted >= wanted {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at := p.blockedUntil
	if len(p.grants) > 0 {
		at = max(at, p.grants[0].at.Add(g.grantWindow()))
	}
	return max(at.Sub(g.Clock.Now()), 0)
}
