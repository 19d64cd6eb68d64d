package tcp

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is the interval between two checks of a watched connection. The kernel ends a connection one
	// user timeout after the peer's window has closed, so that at least one check comes before.
	watchInterval = userTimeout / 2
	// maxProbeInterval bounds the interval of window probes while the user timeout is extended.
	maxProbeInterval = userTimeout + watchInterval
	// maxUnansweredProbes is the number of consecutive window probes after which a peer counts as silent: a single
	// one may be lost.
	maxUnansweredProbes = 2
)

// Watch tells a peer that acknowledges data but does not read it from one that is silent. The kernel's user
// timeout does not: it also ends connections whose peer has a closed window. While a connection is watched, only
// a silent peer ends it. Set the exported fields before Start.
type Watch struct {
	Conn net.Conn
	// UserTimeout states that the connection has a user timeout, which must be extended while the peer's window
	// is closed.
	UserTimeout bool

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	// running is set while checks are scheduled, and draining after StopWhenSent.
	running, draining bool
	// closedSince is when the peer's window was first seen closed; zero if it is open. Until then the peer had
	// acknowledged ackedBytes.
	closedSince time.Time
	ackedBytes  uint64
	// unansweredSince is when the peer was first seen not to acknowledge retransmissions; zero if it has
	// acknowledged data since.
	unansweredSince time.Time
}

// Start begins to watch the connection. It makes no system calls.
func (w *Watch) Start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running, w.draining, w.unansweredSince = true, false, time.Time{}
	w.schedule()
}

// schedule sets the timer for the next check. The caller holds mu.
func (w *Watch) schedule() {
	if w.timer == nil {
		w.timer = time.AfterFunc(watchInterval, w.check)
		return
	}
	w.timer.Reset(watchInterval)
}

// StopWhenSent ends the watch once the peer has acknowledged all data.
func (w *Watch) StopWhenSent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// Stop ends the watch. The connection has its user timeout again.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
}

// stop is Stop for callers that hold mu.
func (w *Watch) stop() {
	w.running = false
	if w.timer != nil {
		w.timer.Stop()
	}
	w.restoreUserTimeout()
}

// check examines the connection, closes it if the peer is silent, and schedules the next check.
func (w *Watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		return
	}
	i, err := w.info()
	if err != nil {
		w.running = false // the connection is closed, or the kernel does not support the option
		return
	}
	now := time.Now()
	if w.isSilent(i, now) {
		w.running = false
		_ = w.Conn.Close() // readers and writers of the connection get errors of their own
		return
	}
	if hasClosedWindow(i) {
		w.extendUserTimeout(i, now)
	} else {
		w.restoreUserTimeout()
	}
	if w.draining && i.Unacked == 0 && i.Notsent_bytes == 0 {
		w.running = false
		return
	}
	w.schedule()
}

// hasClosedWindow reports whether data waits for the peer to read. A peer that has reduced its buffer drops
// segments in flight, and acknowledges their retransmissions without progress.
func hasClosedWindow(i *unix.TCPInfo) bool {
	if i.Unacked == 0 {
		return i.Notsent_bytes > 0
	}
	return i.Backoff > 0 && (i.Retransmits == 0 || sinceAck(i) < watchInterval)
}

// isSilent reports whether the peer has lost power or is partitioned. The caller holds mu.
func (w *Watch) isSilent(i *unix.TCPInfo, now time.Time) bool {
	switch {
	case i.Unacked == 0 || i.Retransmits == 0:
		w.unansweredSince = time.Time{}
	case w.unansweredSince.IsZero():
		w.unansweredSince = now
	}
	switch {
	case sinceAck(i) < userTimeout:
		return false
	case !w.unansweredSince.IsZero():
		return now.Sub(w.unansweredSince) >= userTimeout
	case !w.closedSince.IsZero() && sinceAck(i) > maxProbeInterval*maxUnansweredProbes:
		return true
	}
	return i.Probes >= maxUnansweredProbes
}

// sinceAck returns the time since the last acknowledgement.
func sinceAck(i *unix.TCPInfo) time.Duration {
	return time.Duration(i.Last_ack_recv) * time.Millisecond
}

// extendUserTimeout lets the connection survive the next check. The kernel counts from the first window probe,
// and probes at least once in the time that remains. The caller holds mu.
func (w *Watch) extendUserTimeout(i *unix.TCPInfo, now time.Time) {
	if !w.UserTimeout {
		return
	}
	if w.closedSince.IsZero() || i.Bytes_acked != w.ackedBytes {
		w.closedSince, w.ackedBytes = now, i.Bytes_acked
	}
	w.setUserTimeout(now.Sub(w.closedSince) + maxProbeInterval)
}

// restoreUserTimeout ends the effect of extendUserTimeout. The caller holds mu.
func (w *Watch) restoreUserTimeout() {
	if !w.closedSince.IsZero() {
		w.closedSince = time.Time{}
		w.setUserTimeout(userTimeout)
	}
}

// setUserTimeout sets the connection's user timeout.
func (w *Watch) setUserTimeout(timeout time.Duration) {
	_ = w.control(func(fd int) error { return setUserTimeout(fd, timeout) }) // a closed connection needs none
}

// info returns the kernel's information about the connection.
func (w *Watch) info() (*unix.TCPInfo, error) {
	var i *unix.TCPInfo
	err := w.control(func(fd int) (err error) {
		i, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return i, err
}

// control calls f with the connection's descriptor.
func (w *Watch) control(f func(fd int) error) error {
	c, ok := w.Conn.(syscall.Conn)
	if !ok {
		return net.ErrClosed
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) { optErr = f(int(fd)) }); err != nil {
		return err
	}
	return optErr
}
