// Package tcp sets the TCP options by which the connections of a process detect an
// unresponsive peer: one that lost power or is partitioned sends no reset.
// [Dialer] sets them for outgoing and [ListenConfig] for incoming connections.
package tcp

import (
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout is how long sent data may remain unacknowledged: many round trips
	// between data halls, but less than a caller waits.
	userTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveInterval are the minimum that the kernel supports.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// optUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds.
	optUserTimeout = 18
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
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optUserTimeout, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optErr
}

// ListenConfig returns a listener configuration with these options.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: control}
}

// Dialer returns a dialer with these options and a timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: control}
}
