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
	// maxTarget bounds the line that names where a relayed connection goes.
	maxTarget = 64
	// relayIdle ends a relayed connection on which nothing has moved: some
	// holds of the questions that go over it.
	relayIdle = 20 * time.Second
)

// requestRelay tells a relay where to pass a new connection on to.
func requestRelay(conn net.Conn, target string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	_, err := io.WriteString(conn, target+"\n")
	return trace.Wrap(err)
}

// Relay passes connections of one process on to others: a second way for those
// that can't reach each other. Set the exported fields before Run.
type Relay struct {
	// Address is host:port.
	Address string
	// Allowed reports whether connections may be passed on to an address.
	Allowed func(target string) bool
	// MaxConns bounds the connections passed on at a time.
	MaxConns int

	// slots has room for as many connections as may be passed on.
	slots chan struct{}
}

// Run passes connections on until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	lis, err := tcp.ListenConfig().Listen(ctx, "tcp", r.Address)
	if err != nil {
		return trace.Wrap(err, "listening for connections to relay on %s", r.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	r.slots = make(chan struct{}, r.MaxConns)
	for {
		conn, err := lis.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		select {
		case r.slots <- struct{}{}:
			go r.pass(ctx, conn)
		default:
			_ = conn.Close()
		}
	}
}

// pass reads where a connection is to go, and copies bytes both ways until it
// ends.
func (r *Relay) pass(ctx context.Context, conn net.Conn) {
	defer func() { <-r.slots }()
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, maxTarget)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout)) // the read below tells
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

// copyBytes copies from src, which reads from conn, until either side ends.
func copyBytes(dst net.Conn, src io.Reader, conn net.Conn) {
	defer func() { _ = dst.Close() }()
	const size = 4 << 10
	buf := make([]byte, size)
	for {
		if conn.SetReadDeadline(time.Now().Add(relayIdle)) != nil {
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
