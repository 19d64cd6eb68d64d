// Package tcp sets the TCP options by which the connections of a process detect an
// unresponsive peer: one that lost power or is partitioned sends no reset.
// [Dialer] sets them for outgoing and [ListenConfig] for incoming connections. The options also end a connection
// whose peer does not read for long; [Watch] and [PatientListenConfig] are for peers that may do so.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may remain unacknowledged, and a peer's window closed: many
	// round trips between data halls, but less than a caller waits.
	userTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveInterval are the minimum that the kernel supports.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// keepAliveConfig returns a configuration of keep-alive probes that close an unresponsive
// connection within a few seconds.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// control sets the user timeout on a socket; it is the Control function of net.Dialer and
// net.ListenConfig.
func control(_, _ string, c syscall.RawConn) error {
	var optErr error
	if err := c.Control(func(fd uintptr) { optErr = setUserTimeout(int(fd), userTimeout) }); err != nil {
		return err
	}
	return optErr
}

// setUserTimeout sets the user timeout of a socket.
func setUserTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// ListenConfig returns a listener configuration with these options.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: control}
}

// PatientListenConfig returns a listener configuration for peers that may stop reading for as long as they
// like. It has no user timeout, which would reset them, so that a silent peer with unacknowledged data is
// detected only by a [Watch] or by deadlines.
func PatientListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig()}
}

// Dialer returns a dialer with these options and a timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: control}
}
