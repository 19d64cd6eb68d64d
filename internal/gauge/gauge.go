// Package gauge runs beside a model engine and answers routers that are about to choose
// one: what all of them have under way there ([place.Gauge]).
//
// Routers tell it when they send a request, when its answer begins, and when it ends; a
// router that gets no answer in time chooses by what it knows itself. It also grants the
// permits for requests to servers that are cold or limit requests ([ratelimit.Permits]): to its
// engine, and to servers of plain services that routers assign to it. It keeps nothing on
// disk, and passes nothing on.
package gauge

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/place"
	"sumachead/internal/ratelimit"
	"sumachead/internal/warmup"
)

// Name is the name under which a [Service] takes calls.
const Name = "Gauge"

const (
	// limitTimeout is how long a request limit is remembered that no router mentions.
	limitTimeout = time.Minute
	// maxLimits bounds the servers whose limits are remembered before old ones are dropped.
	maxLimits = 64
)

// Service takes routers' calls. Set the exported field before the first call.
type Service struct {
	// Since is when this process began to count; what an earlier one has granted may
	// still be on its way.
	Since time.Time

	gauge  place.LoadTracker
	limits ratelimit.Table

	mu      sync.Mutex // guards permits
	permits ratelimit.Permits
}

// Ask answers a router that is about to choose.
func (s *Service) Ask(q *wire.GaugeQuestion, answer *wire.GaugeAnswer) error {
	a := s.gauge.Query(q, time.Now())
	proto.Merge(answer, a)
	answer.Limit = s.limits.Get(sumachead.ServerID(q.GetServer())).ToWire(boottime.Clock{}.Now())
	return nil
}

// Note takes in what a router tells of its requests.
func (s *Service) Note(n *wire.GaugeNotes, _ *wire.Empty) error {
	s.gauge.Update(n, time.Now())
	for _, x := range n.GetNotes() {
		s.noteLimit(sumachead.ServerID(n.GetServer()), x.GetLimit())
	}
	return nil
}

// Admit grants a router a permit for one request to a server that is cold or limits requests.
func (s *Service) Admit(r *wire.AdmitRequest, reply *wire.AdmitReply) error {
	id := sumachead.ServerID(r.GetIncarnation())
	s.noteLimit(id, r.GetLimit())
	limit := s.limits.Get(id)
	b := warmup.Bound{Rate: r.GetRate(), Burst: r.GetBurst()}
	granted, again := s.admit(r.GetServer(), b.And(ratelimit.BoundOf(limit.Rate)), r.GetUrgency())
	reply.Granted, reply.AgainMicros = granted, again.Microseconds()
	reply.Limit = limit.ToWire(boottime.Clock{}.Now())
	return nil
}

func (s *Service) admit(server string, b warmup.Bound, urgency uint32) (granted bool, again time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.Since = s.Since
	return s.permits.Admit(server, b, urgency, time.Now())
}

// noteLimit takes in what a router knows of a server's request limit.
func (s *Service) noteLimit(id sumachead.ServerID, m *wire.LimitObservation) {
	if m == nil || id == "" {
		return
	}
	now := boottime.Clock{}.Now()
	if s.limits.Len() >= maxLimits {
		s.limits.Expire(func(_ sumachead.ServerID, o ratelimit.Observation) bool { return now.Sub(o.At) > limitTimeout })
	}
	s.limits.Merge(id, ratelimit.FromWire(m, now))
}
