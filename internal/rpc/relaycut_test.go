package rpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"sumachead/api/wire"
)

// forwardReply forwards a call to a server and the first bytes of its reply, then closes or resets the connection.
func forwardReply(conn net.Conn, server string, bytes int64, resets bool) {
	defer func() { _ = conn.Close() }()
	out, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() { _, _ = io.Copy(out, conn) }()
	_, _ = io.CopyN(conn, out, bytes)
	time.Sleep(5 * time.Millisecond) // the bytes are relayed before the reset
	if resets {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against the part of a reply that a relay ends in order though its connection was cut.
func TestReplyCutBehindARelayIsNoReply(t *testing.T) {
	server, stop := serveEcho(t, "")
	defer stop()
	lis, target := listen(t)
	relayListener, relayAddress := listen(t)
	_ = relayListener.Close()
	r := &Relay{Address: relayAddress, MaxConns: 100, Allowed: func(a string) bool { return a == target }}
	go func() { _ = r.Run(t.Context()) }()
	for range 100 {
		if conn, err := net.Dial("tcp", relayAddress); err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	const boot = "a reply of some length"
	call := func() (*wire.HelloReply, error) {
		c := &Client{Address: target, RelayAddress: relayAddress}
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return Call[wire.HelloReply](ctx, c, "Echo.Answer", &wire.HelloReply{Boot: boot})
	}
	for _, resets := range []bool{false, true} {
		t.Run(fmt.Sprintf("resets %t", resets), func(t *testing.T) {
			const maxReplyBytes = 200
			for n := range int64(maxReplyBytes) {
				go func() {
					if conn, err := lis.Accept(); err == nil {
						forwardReply(conn, server, n, resets)
					}
				}()
				reply, err := call()
				if err != nil {
					continue
				}
				if reply.GetBoot() != boot {
					t.Fatalf("%d bytes of the reply: got %q", n, reply.GetBoot())
				}
				if n < int64(len(boot)) {
					t.Fatalf("%d bytes of the reply pass for the whole", n)
				}
				return
			}
			t.Error("the whole reply was never received")
		})
	}
}
