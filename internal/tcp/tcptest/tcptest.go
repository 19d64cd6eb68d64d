// Package tcptest simulates hosts that lose power or are partitioned.
package tcptest

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Silence makes the host of one end of a connection drop all packets that arrive, without acknowledgements or
// resets. The other end of the connection sees a host without power.
func Silence(t testing.TB, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	program := &unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
}
