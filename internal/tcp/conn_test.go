package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, err := NewConn(dialed.(*net.TCPConn))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), peer.Close() })
	return c, peer.(*net.TCPConn)
}

// Guards against a reset that passes for the end of the data because a write has returned it.
func TestResetIsNoEndOfData(t *testing.T) {
	const ackTimeout = 50 * time.Millisecond
	upload := make([]byte, 16<<20) // more than the buffers of a connection hold
	tests := []struct {
		name   string
		upload bool
		end    func(peer *net.TCPConn)
		// read and acks are the errors of a read to the end and of waiting for acknowledgments.
		read, acks error
	}{
		{"closed", false, func(p *net.TCPConn) { _ = p.Close() }, nil, nil},
		{"half-closed", false, func(p *net.TCPConn) { _ = p.CloseWrite() }, nil, nil},
		{"half-closed during an upload", true, func(p *net.TCPConn) { _ = p.CloseWrite() }, nil, os.ErrDeadlineExceeded},
		{"reset", false, func(p *net.TCPConn) { _, _ = p.SetLinger(0), p.Close() }, syscall.ECONNRESET, syscall.ECONNRESET},
		{"reset during an upload", true, func(p *net.TCPConn) { _, _ = p.SetLinger(0), p.Close() }, syscall.ECONNRESET, syscall.ECONNRESET},
		{"closed during an upload", true, func(p *net.TCPConn) { _ = p.Close() }, syscall.ECONNRESET, syscall.ECONNRESET},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, peer := connect(t)
			written := make(chan error, 1)
			if tt.upload {
				go func() {
					_, err := c.Write(upload)
					written <- err
				}()
				if _, err := io.ReadFull(peer, make([]byte, 1<<10)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.WriteString(peer, "part"); err != nil {
				t.Fatal(err)
			}
			tt.end(peer)
			if tt.upload && tt.read != nil {
				if err := <-written; err == nil {
					t.Fatal("the write did not fail")
				}
			}
			data, err := io.ReadAll(c)
			if string(data) != "part" && tt.read == nil {
				t.Errorf("read %q", data)
			}
			if !errors.Is(err, tt.read) {
				t.Errorf("read error %v, want %v", err, tt.read)
			}
			if err := c.AwaitAcks(ackTimeout); !errors.Is(err, tt.acks) {
				t.Errorf("acknowledgments: error %v, want %v", err, tt.acks)
			}
		})
	}
}
