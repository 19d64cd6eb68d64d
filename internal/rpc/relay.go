package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"sumachead/internal/tcp"
)

const (
	// maxTargetBytes is the maximum length of the line with the target of a relayed connection.
	maxTargetBytes = 64
	// relayIdleTimeout is how long a relayed connection without traffic stays open: several
	// times the wait of the long polls that go through it.
	relayIdleTimeout = 20 * time.Second
)

// requestRelay sends a relay the target of a new connection.
func requestRelay(conn net.Conn, target string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	_, err := io.WriteString(conn, target+"\n")
	return trace.Wrap(err)
}

// Relay forwards connections to other processes. It provides an indirect path between
// processes that cannot reach each other. Set the exported fields before Run.
type Relay struct {
	// Address is host:port.
	Address string
	// Allowed reports whether connections to target may be forwarded.
	Allowed func(target string) bool
	// MaxConns is the maximum number of connections forwarded concurrently.
	MaxConns int

	// slots is a semaphore of MaxConns forwarded connections.
	slots chan struct{}
}

// Run forwards connections until ctx is done.
func (r *Relay) Run(ctx context.Context) error {
	lis, err := tcp.ListenConfig().Listen(ctx, "tcp", r.Address)
	if err != nil {
		return trace.Wrap(err, "listening for connections to relay on %s", r.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	r.slots = make(chan struct{}, r.MaxConns)
	tcp.Accept(lis, func(conn net.Conn) {
		select {
		case r.slots <- struct{}{}:
			go r.forward(ctx, conn)
		default:
			_ = conn.Close()
		}
	})
	return nil
}

// forward reads the target of a connection and copies bytes in both directions until
// either side closes.
func (r *Relay) forward(ctx context.Context, conn net.Conn) {
	defer func() { <-r.slots }()
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, maxTargetBytes)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout)) // the read below fails if this does
	line, err := in.ReadSlice('\n')
	if err != nil {
		return
	}
	target := strings.TrimSuffix(string(line), "\n")
	if !r.Allowed(target) {
		return
	}
	out, err := tcp.Dialer(dialTimeout).DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close()
		_ = out.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { copyBytes(out, in, conn) })
	both.Go(func() { copyBytes(conn, out, out) })
	both.Wait()
}

// copyBytes copies from src, which reads from conn, to dst until either side closes.
func copyBytes(dst net.Conn, src io.Reader, conn net.Conn) {
	defer func() { _ = dst.Close() }()
	const size = 4 << 10
	buf := make([]byte, size)
	for {
		if conn.SetReadDeadline(time.Now().Add(relayIdleTimeout)) != nil {
			return
		}
		n, err := src.Read(buf)
		if n > 0 {
			if dst.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
