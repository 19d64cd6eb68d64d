package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// badBodies are those of requests that end the engines which run them.
var badBodies = []string{badBody + " one", badBody + " two"}

// insistOnAll sends each bad request again and again until a moment, one at a time, to
// routers as they come.
func (s *fleetSoak) insistOnAll(all *sync.WaitGroup, until time.Time) {
	for i, body := range badBodies {
		r := rand.New(rand.NewPCG(uint64(i), soakSeed)) // its own: the other series stay what they were
		all.Go(func() {
			for time.Now().Before(until) {
				// Servers may have been replaced meanwhile.
				s.f.endUnder(badBody, r.IntN(2) == 0)
				s.f.ask(s.bad(r, body))
				time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
			}
		})
	}
}

// bad returns a try of a bad request.
func (s *fleetSoak) bad(r *rand.Rand, body string) fleetRequest {
	return fleetRequest{kind: "stream", router: fmt.Sprintf("router-%d", r.IntN(s.f.shape.routers)+1), body: body, prompt: 20, events: 3}
}

// checkEnds checks, after all faults, that the bad requests are barred soon, and end no
// server from then on. What was lost with processes while faults went on may have cost one
// more server for each fault.
func (s *fleetSoak) checkEnds() {
	s.f.endUnder(badBody, false)
	r := rand.New(rand.NewPCG(soakSeed, soakSeed))
	for _, body := range badBodies {
		err := eventually(settle, fmt.Sprintf("%q is barred after all faults", body), func() bool {
			return strings.Contains(s.f.ask(s.bad(r, body)).refusal, "ends_servers")
		})
		if err != nil {
			s.breaks("%v", err)
		}
		before := s.f.endedUnder(body)
		const more = 8
		for range more {
			s.f.ask(s.bad(r, body))
		}
		if n := s.f.endedUnder(body) - before; n > 0 {
			s.breaks("%d servers ended under %q, which was barred", n, body)
		}
		faults := 0
		for _, n := range s.faults {
			faults += n
		}
		if n, most := s.f.endedUnder(body), mostEnds+faults; n > most {
			s.breaks("%d servers ended under %q, with %d faults", n, body, faults)
		}
	}
}
