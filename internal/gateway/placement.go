package gateway

import (
	"time"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// firstSpeed is how many tokens of prompts a server reads in a millisecond, as
	// long as nothing was measured; slowest and fastest bound what is measured.
	firstSpeed = 30.0
	slowest    = 1.0
	fastest    = 1000.0
	// speedWeight is the weight of one measurement.
	speedWeight = 0.05
	// measureFrom is the least number of tokens that a measurement needs to say
	// anything of the speed.
	measureFrom = 2000
	// suspectFirst and suspectMost bound for how long a server that failed is
	// passed over; the time doubles with each failure in a row.
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 8 * time.Second
	// suspectDoublings is more doublings than reach suspectMost, and few enough
	// not to overflow.
	suspectDoublings = 8
)

// placement is one attempt at a server; end it with done or cancel.
type placement struct {
	placer *placer
	record *wire.ServerRecord
	state  *serverState
	// unread is what the server is expected to have to read of the prompt, and
	// waiting the same until the first event, when it becomes 0.
	unread  sumachead.Tokens
	waiting sumachead.Tokens
	// queued and running are what all routers had there before, as far as this
	// one knew.
	queued  sumachead.Tokens
	running int
	// begun is when the attempt was placed.
	begun time.Time
	// home: the server is the first choice for the prompt's shared parts.
	home bool
	// fetchFrom is the address of a server that keeps more of these parts; empty for
	// none.
	fetchFrom string
}

// first notes that the answer has begun.
func (l *placement) first() {
	p := l.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := l.queued + l.waiting; l.waiting > 0 && n >= measureFrom {
		measured := float64(n) / max(float64(time.Since(l.begun))/float64(time.Millisecond), 1)
		p.speed += speedWeight * (min(max(measured, slowest), fastest) - p.speed)
	}
	l.read()
}

// read takes the prompt off what the server has to read. The caller holds mu.
func (l *placement) read() {
	l.state.prefill -= l.waiting
	l.waiting = 0
}

// done ends an attempt; healthy says that the server did its work.
func (l *placement) done(healthy bool) {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	s := l.state
	l.read()
	s.running--
	if healthy {
		s.failures, s.suspectTo = 0, time.Time{}
		return
	}
	rest := min(suspectFirst<<min(s.failures, suspectDoublings), suspectMost)
	s.failures++
	s.suspectTo = time.Now().Add(rest)
}

// cancel ends an attempt that says nothing of the server.
func (l *placement) cancel() {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	l.read()
	l.state.running--
}
