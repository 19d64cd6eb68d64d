package loop

import "sync"

// Gate lets goroutines wait for a condition. The zero value is closed.
type Gate struct {
	mu sync.Mutex // guards the fields below
	// passage is closed while the gate is open; nil before the first call.
	passage chan struct{}
	open    bool
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
		g.passage = nil
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

// channel returns the passage, making it if need be. The caller holds mu.
func (g *Gate) channel() chan struct{} {
	if g.passage == nil {
		g.passage = make(chan struct{})
	}
	return g.passage
}
