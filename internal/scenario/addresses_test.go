package scenario

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
)

// Addresses of a test run are 127.BASE.0.N. A base is claimed by listening on a port of one of
// its addresses, which keeps other fleets of this run and other runs on the machine off it.
const (
	// firstFleetBase and fleetBases are the range of fleets, whose processes bind to addresses
	// bindOffset bases above the ones they advertise.
	firstFleetBase, fleetBases, bindOffset = 20, 90, 100
	// firstRunBase and runBases are the range of everything else in a run.
	firstRunBase, runBases = 210, 40
	claimPort              = 11999
	// firstPort and lastPort bound ports below the kernel's ephemeral range.
	firstPort, lastPort = 12000, 32000
)

// claimCount numbers the claims of this run, so that each starts at a different base.
var claimCount atomic.Int32

// claimBase claims one of n bases until the returned listener is closed.
func claimBase(first, n int) (base int, claim net.Listener, err error) {
	begin := os.Getpid() + int(claimCount.Add(1))
	for i := range n {
		base = first + (begin+i)%n
		claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.250:%d", base, claimPort))
		if err == nil {
			return base, claim, nil
		}
	}
	return 0, nil, fmt.Errorf("all %d bases starting at %d are taken: %w", n, first, err)
}

// runClaim holds runBase until the process exits.
var runClaim net.Listener

// runBase is the base of this run.
var runBase = sync.OnceValue(func() (base int) {
	var err error
	if base, runClaim, err = claimBase(firstRunBase, runBases); err != nil {
		panic(err)
	}
	return base
})

var nextPort atomic.Int32

// freePort returns a port that is unique within this run.
func freePort() int { return firstPort + int(nextPort.Add(1))%(lastPort-firstPort) }

// loopback returns the address of a port, unique across runs on this machine.
func loopback(port int) string { return fmt.Sprintf("127.%d.0.1:%d", runBase(), port) }

func TestClaimsAreExclusive(t *testing.T) {
	const n = 3
	seen := make(map[int]bool)
	for range n {
		base, claim, err := claimBase(250, n)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = claim.Close() }()
		if seen[base] {
			t.Errorf("base %d is claimed twice", base)
		}
		seen[base] = true
	}
	if base, claim, err := claimBase(250, n); err == nil {
		_ = claim.Close()
		t.Errorf("base %d was claimed although all were taken", base)
	}
}
