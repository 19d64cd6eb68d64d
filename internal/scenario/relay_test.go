package scenario

import (
	"net"
	"strings"
	"sync"
)

// network decides which halls reach each other.
type network struct {
	mu      sync.Mutex // guards the fields below
	blocked map[string]bool
	changed chan struct{}
}

func newNetwork() *network {
	return &network{blocked: make(map[string]bool), changed: make(chan struct{})}
}

// set cuts or heals the way between two places, both ways. A place is a hall
// or a process.
func (n *network) set(a, b string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[a+"|"+b], n.blocked[b+"|"+a] = blocked, blocked
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) healAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = make(map[string]bool)
	close(n.changed)
	n.changed = make(chan struct{})
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
	var both sync.WaitGroup
	both.Go(func() { r.pump(up, c, from) })
	both.Go(func() { r.pump(c, up, from) })
	both.Wait()
}

// pump copies one way until an end, holding back while the way is cut.
func (r *relay) pump(to, from net.Conn, places []string) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !r.net.open(places, r.places, r.done) {
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
