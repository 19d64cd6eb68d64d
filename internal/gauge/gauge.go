// Package gauge runs beside a model engine and answers routers that are about to choose
// one: what all of them have under way there ([place.Gauge]).
//
// Routers tell it when they send a request, when its answer begins, and when it ends; a
// router that gets no answer in time chooses by what it knows itself. While the engine is
// cold, it also counts what all routers send there, and grants no more than the engine
// bears ([warmup.Gate]). It keeps nothing on disk, and passes nothing on.
package gauge

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/place"
	"sumachead/internal/warmup"
)

// Name is the name under which a [Service] takes calls.
const Name = "Gauge"

// keptGates is how many lives of the engine have a gate: the one that runs and the one
// before it, and some that a router may take for it.
const keptGates = 4

// Service takes routers' calls. Set the exported field before the first call.
type Service struct {
	// Since is when this process began to count; what an earlier one has granted may
	// still be on its way.
	Since time.Time

	gauge place.Gauge

	mu sync.Mutex // guards the fields below
	// gates are by the engine's life, and lives lists these, oldest first.
	gates map[string]*warmup.Gate
	lives []string
}

// Ask answers a router that is about to choose.
func (s *Service) Ask(q *wire.GaugeQuestion, answer *wire.GaugeAnswer) error {
	a := s.gauge.Answer(q, time.Now())
	proto.Merge(answer, a)
	return nil
}

// Note takes in what a router tells of its requests.
func (s *Service) Note(n *wire.GaugeNotes, _ *wire.Empty) error {
	s.gauge.Note(n, time.Now())
	return nil
}

// Admit grants a router one request to the engine while that is cold.
func (s *Service) Admit(r *wire.AdmitRequest, reply *wire.AdmitReply) error {
	granted, again := s.admit(r, time.Now())
	reply.Granted, reply.AgainMicros = granted, again.Microseconds()
	return nil
}

func (s *Service) admit(r *wire.AdmitRequest, now time.Time) (granted bool, again time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := warmup.Bound{Rate: r.GetRate(), Burst: r.GetBurst()}
	g := s.gates[r.GetServer()]
	if g == nil {
		g = warmup.NewGate(s.Since, b, now)
		s.keep(r.GetServer(), g)
	}
	return g.Admit(b, r.GetUrgency(), now)
}

// keep adds a life's gate, and forgets the oldest where there are too many. The caller
// holds mu.
func (s *Service) keep(life string, g *warmup.Gate) {
	if s.gates == nil {
		s.gates = make(map[string]*warmup.Gate)
	}
	s.gates[life] = g
	s.lives = append(s.lives, life)
	if len(s.lives) > keptGates {
		delete(s.gates, s.lives[0])
		s.lives = s.lives[1:]
	}
}
