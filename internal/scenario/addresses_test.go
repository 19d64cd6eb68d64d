package scenario

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
)

// Addresses of a test run are 127.BASE.0.N. A base is claimed by listening on a port of
// one of its addresses, so that neither another fleet of this run nor another run on the
// machine has it.
const (
	// firstFleetBase and fleetBases are for fleets; the processes of one are bound at
	// addresses boundAbove above those at which others reach them.
	firstFleetBase, fleetBases, boundAbove = 20, 90, 100
	// firstRunBase and runBases are for everything else of a run.
	firstRunBase, runBases = 210, 40
	claimPort              = 11999
	// firstPort and lastPort are below the range from which the kernel picks ports.
	firstPort, lastPort = 12000, 32000
)

// claims numbers the claims of this run, so that they begin at different bases.
var claims atomic.Int32

// claimBase takes one of n bases for as long as the listener that it returns is open.
func claimBase(first, n int) (base int, claim net.Listener, err error) {
	begin := os.Getpid() + int(claims.Add(1))
	for i := range n {
		base = first + (begin+i)%n
		claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.250:%d", base, claimPort))
		if err == nil {
			return base, claim, nil
		}
	}
	return 0, nil, fmt.Errorf("all %d bases from %d on are taken: %w", n, first, err)
}

// runClaim holds runBase until the process ends.
var runClaim net.Listener

// runBase is this run's own base.
var runBase = sync.OnceValue(func() (base int) {
	var err error
	if base, runClaim, err = claimBase(firstRunBase, runBases); err != nil {
		panic(err)
	}
	return base
})

var nextPort atomic.Int32

// freePort returns a port that nothing else in this run gets.
func freePort() int { return firstPort + int(nextPort.Add(1))%(lastPort-firstPort) }

// loopback returns a port's address, which no other run has.
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
		t.Errorf("base %d is claimed, and all were taken", base)
	}
}
