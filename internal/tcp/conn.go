package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stateClose is the state of a socket whose connection was reset or timed out (TCP_CLOSE).
	stateClose = 7
	// ackPollInterval is the interval between checks whether sent data was acknowledged.
	ackPollInterval = time.Millisecond
)

// Conn is a connection whose reads tell the end of the peer's data from a reset. The kernel reports a reset
// once: after a write has failed with it, reads of a plain connection return io.EOF. Its writing direction is
// only closed with the connection.
type Conn struct {
	net.Conn
	raw syscall.RawConn
}

// NewConn returns a Conn for an open connection.
func NewConn(c *net.TCPConn) (*Conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, raw: raw}, nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Read implements io.Reader. It returns io.EOF only if the peer has ended its data and not reset the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if brokenErr := c.broken(); brokenErr != nil {
			err = brokenErr
		}
	}
	return n, err
}

// broken returns an error if the connection was reset, timed out or was closed here.
func (c *Conn) broken() error {
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil:
		return err
	case infoErr != nil:
		return os.NewSyscallError("getsockopt", infoErr)
	case info.State == stateClose:
		return os.NewSyscallError("read", syscall.ECONNRESET)
	}
	return nil
}

// AwaitAcks waits until the peer has acknowledged all that was written. It returns an error if the connection
// breaks, or if the wait takes longer than a timeout.
func (c *Conn) AwaitAcks(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(ackPollInterval) {
		if err := c.broken(); err != nil {
			return err
		}
		var unacked int
		var queueErr error
		err := c.raw.Control(func(fd uintptr) { unacked, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		switch {
		case err != nil:
			return err
		case queueErr != nil:
			return os.NewSyscallError("ioctl", queueErr)
		case unacked == 0:
			return nil
		case time.Now().After(deadline):
			return os.ErrDeadlineExceeded
		}
	}
}
