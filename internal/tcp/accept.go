package tcp

import (
	"errors"
	"net"
	"time"
)

// acceptRetryInterval is the pause after a failed Accept, such as for lack of descriptors.
const acceptRetryInterval = 20 * time.Millisecond

// Accept calls handle with each connection until the listener is closed. Other errors end nothing: they
// concern a single connection, or pass once descriptors or memory are available again.
func Accept(lis net.Listener, handle func(net.Conn)) {
	for {
		conn, err := lis.Accept()
		switch {
		case err == nil:
			handle(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetryInterval)
		}
	}
}
