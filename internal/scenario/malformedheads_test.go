package scenario

import (
	"strings"
	"sync"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// Responses with malformed heads must not reach callers, and must not keep sound ones from them.
func TestMalformedHeadsReachNoCaller(t *testing.T) {
	f := startFleet(t, fleetShape{keepers: 3, routers: 1, engines: 3, desks: 3, prepaid: 10_000_000})
	for _, r := range f.replicas {
		r.SetFaults(standin.ReplicaFaults{Framing: "any", MalformedOneIn: 3})
	}
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range 50 {
				for _, kind := range []string{"stream", "hold", "check"} {
					f.do(fleetRequest{kind: kind, router: "router-1", events: 2, timeout: 2 * time.Second})
				}
			}
		})
	}
	callers.Wait()
	outcomes := make(map[string]int)
	for _, c := range f.callers {
		outcomes[c.kind+" "+c.String()]++
		const slack = time.Second
		if took := c.endedAt.Sub(c.sentAt); took > c.timeout+slack {
			t.Errorf("%s took %v", c.id, took)
		}
	}
	t.Logf("outcomes %v", outcomes)
	for _, o := range []string{"stream status=200 whole=true", "hold status=200 whole=true", "check status=200 whole=true", "hold status=502 whole=false"} {
		if outcomes[o] == 0 {
			t.Errorf("no %s", o)
		}
	}
	if violations := f.violations(f.shape.prepaid); len(violations) > 0 {
		t.Errorf("broken:\n%s", strings.Join(violations, "\n"))
	}
}
