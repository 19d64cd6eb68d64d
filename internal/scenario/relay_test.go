package scenario

import (
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// network decides which places reach each other, and how fast. A place is a hall, a
// process or a class of processes. A way leads in one direction, and is the two names
// with a bar between them.
type network struct {
	mu sync.Mutex // guards the fields below
	// blocked are the ways that are cut.
	blocked map[string]bool
	// delays are how long bytes take, by the way.
	delays map[string]time.Duration
	// changed is closed when a way is cut or heals.
	changed chan struct{}
	// pairs are the connections that relays pass on.
	pairs map[*pair]bool
	// parted are the times within which nobody could lead.
	parted parting
}

// pair is one connection that a relay passes on, as the two that it consists of.
type pair struct {
	caller, target net.Conn
	// from and to are the places that the caller and the target count among.
	from, to []string
}

// newNetwork returns a network without a cut.
func newNetwork() *network {
	return &network{
		blocked: make(map[string]bool), delays: make(map[string]time.Duration),
		changed: make(chan struct{}), pairs: make(map[*pair]bool),
	}
}

// set cuts or heals the way between two places, both ways.
func (n *network) set(a, b string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[a+"|"+b], n.blocked[b+"|"+a] = blocked, blocked
	n.notify()
}

// setOneWay cuts or heals the way from one place to another.
func (n *network) setOneWay(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[from+"|"+to] = blocked
	n.notify()
}

// setDelay makes bytes between two places late, both ways; 0 ends that.
func (n *network) setDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[a+"|"+b], n.delays[b+"|"+a] = d, d
}

// reset ends all connections between two places by a reset.
func (n *network) reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pairs {
		if joins(p.from, p.to, a, b) || joins(p.from, p.to, b, a) {
			abort(p.caller)
			abort(p.target)
		}
	}
}

// joins reports whether a connection leads from one place to another.
func joins(from, to []string, a, b string) bool {
	return slices.Contains(from, a) && slices.Contains(to, b)
}

// abort closes a connection by a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// notify wakes up all that wait for a way, and looks at what the keepers can do. The caller
// holds mu.
func (n *network) notify() {
	n.parted.look(n.free, time.Now())
	close(n.changed)
	n.changed = make(chan struct{})
}

// join notes a pair of connections until the function it returns is called.
func (n *network) join(p *pair) (leave func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pairs[p] = true
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.pairs, p)
	}
}

// delay returns how long bytes take: the longest of what is set for any pair of the
// places.
func (n *network) delay(from, to []string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	var most time.Duration
	for _, a := range from {
		for _, b := range to {
			most = max(most, n.delays[a+"|"+b])
		}
	}
	return most
}

// healAll ends all cuts and delays.
func (n *network) healAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked, n.delays = make(map[string]bool), make(map[string]time.Duration)
	n.notify()
}

// due returns when something that was acknowledged must be in force at the latest.
func (n *network) due(acked time.Time, within time.Duration) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return due(acked, within, n.parted.spans, time.Now())
}

// open waits until the way is free; false means that the relay has ended.
func (n *network) open(from, to []string, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		free, changed := n.free(from, to), n.changed
		n.mu.Unlock()
		if free {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// free reports whether no way between the places is cut. The caller holds mu.
func (n *network) free(from, to []string) bool {
	for _, a := range from {
		for _, b := range to {
			if n.blocked[a+"|"+b] {
				return false
			}
		}
	}
	return true
}

// relay stands before one process. Bytes that a cut holds back go on after it
// has healed, as they do in a real network.
type relay struct {
	lis net.Listener
	// target is the process's own address, and places what it counts among.
	target string
	places []string
	net    *network
	// placesOf names the places of a caller by its IP address.
	placesOf func(ip string) []string
	// done is closed by close.
	done chan struct{}
}

// run takes connections until close is called.
func (r *relay) run() {
	for {
		c, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// close ends run, and connections that wait for a way which is cut.
func (r *relay) close() {
	close(r.done)
	_ = r.lis.Close()
}

// serve passes one connection on until it ends.
func (r *relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	ip, _, _ := strings.Cut(c.RemoteAddr().String(), ":")
	from := r.placesOf(ip)
	if !r.net.open(from, r.places, r.done) {
		return
	}
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	defer r.net.join(&pair{c, up, from, r.places})()
	var both sync.WaitGroup
	both.Go(func() { r.pump(up, c, from, r.places) })
	both.Go(func() { r.pump(c, up, r.places, from) })
	both.Wait()
}

// pump copies what one side sends to the other until an end, late where the way is
// delayed, and holding back while it is cut.
func (r *relay) pump(to, from net.Conn, fromPlaces, toPlaces []string) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(r.net.delay(fromPlaces, toPlaces))
		if !r.net.open(fromPlaces, toPlaces, r.done) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
