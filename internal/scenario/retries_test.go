package scenario

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// Guards against retries of a failing service that the requests for another service pay for, by real
// processes that are killed meanwhile.
func TestRetriesOfAFailingServiceKeepItsLimit(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetShape{keepers: 3, routers: 4, relays: 1, engines: 4, desks: 3, prepaid: 100_000_000})
	f.awaitServersKnown(t)
	const (
		duration                = 11 * time.Second
		callers, failingCallers = 12, 2
		failingPause            = 30 * time.Millisecond
		killAt                  = 4 * time.Second
	)
	until := time.Now().Add(duration)
	var all sync.WaitGroup
	send := func(n int, kind string, pause time.Duration) {
		for i := n; time.Now().Before(until); i++ {
			f.do(fleetRequest{kind: kind, router: fmt.Sprintf("router-%d", i%f.shape.routers+1), prompt: 1, events: 1, timeout: time.Second})
			time.Sleep(pause)
		}
	}
	for i := range callers {
		all.Go(func() { send(i, "stream", 0) })
	}
	for _, name := range []string{"desk-1", "desk-2", "desk-3"} {
		f.replicas[name].SetFaults(standin.ReplicaFaults{Refuse: true})
	}
	for i := range failingCallers {
		all.Go(func() { send(i, "check", failingPause) })
	}
	all.Go(func() {
		time.Sleep(killAt)
		for _, name := range []string{"router-1", "router-2", f.leadingKeeper()} {
			p := f.processes[name]
			p.kill()
			if err := f.start(p); err != nil {
				t.Error(err)
			}
		}
	})
	all.Wait()
	if violations := f.violations(f.shape.prepaid); len(violations) > 0 {
		t.Errorf("broken:\n%s", strings.Join(violations, "\n"))
	}
	f.mu.Lock()
	seen, _ := f.observations()
	f.mu.Unlock()
	worst := retryRule(seen).Worst()
	t.Log(worst)
	const minShare = 0.5
	if u := worst["desk"]; u.Share() < minShare {
		t.Errorf("%v: %.2f of the limit is used, want %.2f", u, u.Share(), minShare)
	}
}
