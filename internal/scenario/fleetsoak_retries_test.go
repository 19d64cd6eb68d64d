package scenario

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sumachead/internal/standin"
)

// failService has all servers of the plain service reject requests for some seconds now and then, while
// many callers send to it.
func (s *fleetSoak) failService(r *rand.Rand, until time.Time) {
	const minPause, minFailure = 2 * time.Second, 2 * time.Second
	for {
		time.Sleep(minPause + time.Duration(r.Int64N(int64(minPause))))
		if !time.Now().Before(until) {
			return
		}
		s.count(s.faults, "service fails")
		end := time.Now().Add(minFailure + time.Duration(r.Int64N(int64(minFailure))))
		var all sync.WaitGroup
		const callers = 8
		for i := range callers {
			all.Go(func() { s.sendToFailing(i, end) })
		}
		for time.Now().Before(end) {
			s.setFaults(standin.ReplicaFaults{Refuse: true})
			const interval = 100 * time.Millisecond // other faults end meanwhile
			time.Sleep(interval)
		}
		s.setFaults(standin.ReplicaFaults{})
		all.Wait()
	}
}

// setFaults sets the faults of all servers of the plain service.
func (s *fleetSoak) setFaults(f standin.ReplicaFaults) {
	for _, r := range s.serversOf("desk") {
		r.SetFaults(f)
	}
}

// sendToFailing is a caller that comes back at once and often.
func (s *fleetSoak) sendToFailing(n int, until time.Time) {
	for i := n; time.Now().Before(until); i++ {
		const pause = 5 * time.Millisecond
		s.f.do(fleetRequest{kind: "check", router: fmt.Sprintf("router-%d", i%s.f.shape.routers+1), timeout: time.Second})
		time.Sleep(pause)
	}
}

// reportRetries prints how much of the limit on retries was used.
func (s *fleetSoak) reportRetries() {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	all, _ := s.f.observations()
	for _, u := range retryRule(all).Worst() {
		s.t.Logf("%v (%.2f of the limit)", u, u.Share())
	}
}
