package scenario

import (
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// network decides which halls reach each other, and how fast.
type network struct {
	mu sync.Mutex // guards the fields below
	// blocked are ways in one direction, and delays how long bytes take on one.
	blocked map[string]bool
	delays  map[string]time.Duration
	changed chan struct{}
	// pairs are the connections that relays pass on.
	pairs map[*pair]bool
}

// pair is one connection that a relay passes on, and where it is from and to.
type pair struct {
	caller, target net.Conn
	from, to       []string
}

func newNetwork() *network {
	return &network{
		blocked: make(map[string]bool), delays: make(map[string]time.Duration),
		changed: make(chan struct{}), pairs: make(map[*pair]bool),
	}
}

// set cuts or heals the way between two places, both ways. A place is a hall
// or a process.
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

// setDelay makes bytes between two places late; 0 ends that.
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

// notify wakes up all that wait for a way. The caller holds mu.
func (n *network) notify() {
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

// delay returns how long bytes take on a way.
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

func (n *network) healAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked, n.delays = make(map[string]bool), make(map[string]time.Duration)
	n.notify()
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
	lis    net.Listener
	target string
	places []string
	net    *network
	// placesOf names the places of a caller by its IP address.
	placesOf func(ip string) []string
	done     chan struct{}
}

func (r *relay) run() {
	for {
		c, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *relay) close() {
	close(r.done)
	_ = r.lis.Close()
}

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

// pump copies one way until an end, holding back while the way is cut.
func (r *relay) pump(to, from net.Conn, a, b []string) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(r.net.delay(a, b))
		if !r.net.open(a, b, r.done) {
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
