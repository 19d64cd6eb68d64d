package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// crashBodies are the bodies of requests that crash the engines that run them.
var crashBodies = []string{crashBody + " one", crashBody + " two"}

// sendCrashing repeats each crashing request until the given time, one at a time, through random
// routers.
func (s *fleetSoak) sendCrashing(all *sync.WaitGroup, until time.Time) {
	for i, body := range crashBodies {
		r := rand.New(rand.NewPCG(uint64(i), soakSeed)) // separate, so that the other series stay reproducible
		all.Go(func() {
			for time.Now().Before(until) {
				// Servers may have been replaced since the last round.
				s.f.crashOn(crashBody, r.IntN(2) == 0)
				s.f.do(s.crashingRequest(r, body))
				time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
			}
		})
	}
}

// crashingRequest returns one attempt of a crashing request.
func (s *fleetSoak) crashingRequest(r *rand.Rand, body string) fleetRequest {
	return fleetRequest{kind: "stream", router: fmt.Sprintf("router-%d", r.IntN(s.f.shape.routers)+1), body: body, prompt: 20, events: 3}
}

// checkCrashes checks, after all faults, that the crashing requests get barred and crash no
// server from then on. While faults go on, each may cost one more server, since reports of
// crashes are lost with killed processes.
func (s *fleetSoak) checkCrashes() {
	s.f.crashOn(crashBody, false)
	r := rand.New(rand.NewPCG(soakSeed, soakSeed))
	for _, body := range crashBodies {
		err := eventually(recoveryTimeout, fmt.Sprintf("%q is barred after all faults", body), func() bool {
			return strings.Contains(s.f.do(s.crashingRequest(r, body)).refusal, "ends_servers")
		})
		if err != nil {
			s.recordViolation("%v", err)
		}
		before := s.f.crashCountOn(body)
		const attempts = 8
		for range attempts {
			s.f.do(s.crashingRequest(r, body))
		}
		if n := s.f.crashCountOn(body) - before; n > 0 {
			s.recordViolation("%d servers crashed on %q, which was barred", n, body)
		}
		faults := 0
		for _, n := range s.faults {
			faults += n
		}
		if n, allowed := s.f.crashCountOn(body), maxCrashes+faults; n > allowed {
			s.recordViolation("%d servers crashed on %q, with %d faults", n, body, faults)
		}
	}
}
