package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"sumachead/internal/standin"
)

// Software versions in the soak test: servers are replaced by those of other versions without a
// rollout order, and callers resume the streams that break off.

const (
	// serversPerRelease is the number of consecutive replacements that have the same version, fewer
	// than there are engines: a version gets no requests once a rollout has replaced it.
	serversPerRelease = 3
	// maxResumes is how often a caller resumes one stream.
	maxResumes = 3
)

// releaseServers replaces engines by those of other versions until the given time.
func (s *fleetSoak) releaseServers(r *rand.Rand, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		engines := s.serversOf("pool")
		if len(engines) == 0 {
			continue
		}
		s.count(s.faults, "release a server")
		old := engines[r.IntN(len(engines))]
		version := fmt.Sprintf("r%d", i/serversPerRelease)
		s.f.addVersionOf(old, fmt.Sprintf("%s+%s-%d", strings.Split(old.ID, "+")[0], version, i), version, standin.ReplicaFaults{})
		s.drain(old)
	}
}

// breakStreams lets engines break off all streams for a while, one after the other.
func (s *fleetSoak) breakStreams(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+r.IntN(1000)) * time.Millisecond)
		engines := s.serversOf("pool")
		if len(engines) == 0 {
			continue
		}
		e := engines[r.IntN(len(engines))]
		e.SetFaults(standin.ReplicaFaults{BreakAfter: 1 + r.IntN(15)})
		time.Sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
		e.SetFaults(standin.ReplicaFaults{})
	}
}

// runVersions starts the series of this file.
func (s *fleetSoak) runVersions(all *sync.WaitGroup, releases, breaks *rand.Rand, until time.Time) {
	all.Go(func() { s.releaseServers(releases, until) })
	all.Go(func() { s.breakStreams(breaks, until) })
}

// resumeStream resumes a stream that broke off, at random routers.
func (s *fleetSoak) resumeStream(r *rand.Rand, q fleetRequest, broken *caller) {
	if q.kind != "stream" || broken.complete || broken.lastEvent == 0 || q.cancelAfter > 0 {
		return
	}
	var routers []string
	for range maxResumes {
		routers = append(routers, fmt.Sprintf("router-%d", r.IntN(s.f.shape.routers)+1))
	}
	c := s.f.resume(q, broken, routers)
	s.count(s.outcomes, fmt.Sprintf("resumed stream %s %s", c, c.refusalReason()))
}
