package loop

import "sync"

// Gate lets goroutines wait until it is open. The zero value is a closed gate.
type Gate struct {
	mu sync.Mutex // guards the fields below
	// opened is closed while the gate is open; nil before the first call.
	opened chan struct{}
	open   bool
}

// Set opens or closes the gate.
func (g *Gate) Set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == open {
		return
	}
	g.open = open
	if !open {
		g.opened = nil
		return
	}
	close(g.channel())
}

// Wait returns a channel that is closed once the gate is open.
func (g *Gate) Wait() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.channel()
}

// channel returns the opened channel and creates it if necessary. The caller holds mu.
func (g *Gate) channel() chan struct{} {
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
	return g.opened
}
