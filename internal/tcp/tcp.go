// Package tcp holds how all connections of a process find out that their other
// end has gone silent: a peer that lost power or is cut off resets nothing.
// [Dialer] and [ListenConfig] make both ends of connections that do.
package tcp

import (
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout is how long sent bytes may stay without acknowledgement: many
	// round trips between data halls, and less than a caller waits.
	userTimeout = 2 * time.Second
	// probeIdle and probeInterval are the least that the kernel's timers allow.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
	// optUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds.
	optUserTimeout = 18
)

// keepAlive returns probes that end a silent connection within some seconds.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// control sets the user time-out on a socket, as the Control of a net.Dialer or
// net.ListenConfig.
func control(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optUserTimeout, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return inner
}

// ListenConfig returns a listener's settings with these options.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
}

// Dialer returns a dialer with these options that gives up after a timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: control}
}
