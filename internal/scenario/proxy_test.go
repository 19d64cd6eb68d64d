package scenario

import (
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// network decides which processes reach each other, and with what latency. Processes are matched
// by labels: their data hall, name and class. A direction is the two labels joined by a bar.
type network struct {
	mu sync.Mutex // guards the fields below
	// blocked are the directions that are blocked.
	blocked map[string]bool
	// delays are the latencies by direction.
	delays map[string]time.Duration
	// changed is closed when a direction is blocked or unblocked.
	changed chan struct{}
	// connections are the connections that proxies forward.
	connections map[*proxiedConn]bool
	// quorum records the times in which no keeper could lead.
	quorum quorumMonitor
}

// proxiedConn is one connection through a proxy, as its two TCP connections.
type proxiedConn struct {
	caller, target net.Conn
	// from and to are the labels of the caller and of the target.
	from, to []string
}

// newNetwork returns a network without partitions.
func newNetwork() *network {
	return &network{
		blocked: make(map[string]bool), delays: make(map[string]time.Duration),
		changed: make(chan struct{}), connections: make(map[*proxiedConn]bool),
	}
}

// setBlocked blocks or unblocks both directions between two labels.
func (n *network) setBlocked(a, b string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[a+"|"+b], n.blocked[b+"|"+a] = blocked, blocked
	n.notify()
}

// setBlockedOneWay blocks or unblocks one direction between two labels.
func (n *network) setBlockedOneWay(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[from+"|"+to] = blocked
	n.notify()
}

// setDelay sets the latency between two labels in both directions; 0 removes it.
func (n *network) setDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[a+"|"+b], n.delays[b+"|"+a] = d, d
}

// reset resets all TCP connections between two labels.
func (n *network) reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.connections {
		if connects(p.from, p.to, a, b) || connects(p.from, p.to, b, a) {
			abort(p.caller)
			abort(p.target)
		}
	}
}

// connects reports whether a connection leads from one label to another.
func connects(from, to []string, a, b string) bool {
	return slices.Contains(from, a) && slices.Contains(to, b)
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// notify wakes up all waiters in awaitReachable and updates the quorum monitor. The caller holds
// mu.
func (n *network) notify() {
	n.quorum.update(n.reachable, time.Now())
	close(n.changed)
	n.changed = make(chan struct{})
}

// track registers a proxied connection until the returned function is called.
func (n *network) track(p *proxiedConn) (leave func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[p] = true
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.connections, p)
	}
}

// delay returns the latency between two sets of labels: the maximum over all pairs.
func (n *network) delay(from, to []string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	var longest time.Duration
	for _, a := range from {
		for _, b := range to {
			longest = max(longest, n.delays[a+"|"+b])
		}
	}
	return longest
}

// healAll removes all blocks and delays.
func (n *network) healAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked, n.delays = make(map[string]bool), make(map[string]time.Duration)
	n.notify()
}

// effectDeadline returns when something acknowledged must be in force.
func (n *network) effectDeadline(acked time.Time, timeout time.Duration) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return effectDeadline(acked, timeout, n.quorum.losses, time.Now())
}

// awaitReachable waits until a direction is open. It returns false when the proxy is closed.
func (n *network) awaitReachable(from, to []string, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		reachable, changed := n.reachable(from, to), n.changed
		n.mu.Unlock()
		if reachable {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// reachable reports whether no direction between the labels is blocked. The caller holds mu.
func (n *network) reachable(from, to []string) bool {
	for _, a := range from {
		for _, b := range to {
			if n.blocked[a+"|"+b] {
				return false
			}
		}
	}
	return true
}

// proxy is a TCP proxy in front of one process. Bytes held back by a partition are delivered
// after it heals, as TCP does in a real network.
type proxy struct {
	lis net.Listener
	// target is the address to which the process binds, and labels are the process's labels.
	target string
	labels []string
	net    *network
	// labelsOf returns the labels of a caller by its IP address.
	labelsOf func(ip string) []string
	// done is closed by close.
	done chan struct{}
}

// run accepts connections until close is called.
func (r *proxy) run() {
	for {
		c, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// close ends run and connections that wait for a blocked direction.
func (r *proxy) close() {
	close(r.done)
	_ = r.lis.Close()
}

// serve forwards one connection until it ends.
func (r *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	ip, _, _ := strings.Cut(c.RemoteAddr().String(), ":")
	from := r.labelsOf(ip)
	if !r.net.awaitReachable(from, r.labels, r.done) {
		return
	}
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	defer r.net.track(&proxiedConn{c, up, from, r.labels})()
	var both sync.WaitGroup
	both.Go(func() { r.copyBytes(up, c, from, r.labels) })
	both.Go(func() { r.copyBytes(c, up, r.labels, from) })
	both.Wait()
}

// copyBytes copies from one connection to the other until EOF or an error, with the latency of
// the direction, and holds bytes back while it is blocked.
func (r *proxy) copyBytes(to, from net.Conn, fromLabels, toLabels []string) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(r.net.delay(fromLabels, toLabels))
		if !r.net.awaitReachable(fromLabels, toLabels, r.done) {
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
