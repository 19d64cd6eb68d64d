// Package loadtracker runs beside a model engine and tells routers that are about to choose one what
// all of them have in flight there ([place.LoadTracker]).
//
// Routers notify it when they send a request, when its response begins, and when it ends. A
// router that gets no reply in time chooses by what it knows itself. The package also grants
// permits for requests to servers that are cold or limit requests ([ratelimit.Permits]): to its
// engine, and to servers of plain services that routers assign to it. It stores nothing on disk
// and forwards nothing.
package loadtracker

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

// Name is the RPC service name of a [Service].
const Name = "Gauge"

const (
	// limitTimeout is how long a request limit is kept that no router reports.
	limitTimeout = time.Minute
	// maxLimits bounds the servers whose limits are kept before old ones are dropped.
	maxLimits = 64
)

// Service serves routers' calls. Set the exported field before the first call.
type Service struct {
	// Since is when this process began to count; permits of an earlier incarnation may still be
	// in use.
	Since time.Time

	tracker place.LoadTracker
	limits  ratelimit.Table

	mu      sync.Mutex // guards permits
	permits ratelimit.Permits
}

// Ask answers a router that is about to choose a server.
func (s *Service) Ask(q *wire.GaugeQuestion, reply *wire.GaugeAnswer) error {
	a := s.tracker.Query(q, time.Now())
	proto.Merge(reply, a)
	reply.Limit = s.limits.Get(sumachead.ServerID(q.GetServer())).ToWire(boottime.Clock{}.Now())
	return nil
}

// Note records what a router reports of its requests.
func (s *Service) Note(n *wire.GaugeNotes, _ *wire.Empty) error {
	s.tracker.Update(n, time.Now())
	for _, x := range n.GetNotes() {
		s.mergeLimit(sumachead.ServerID(n.GetServer()), x.GetLimit())
	}
	return nil
}

// Admit grants a router a permit for one request to a server that is cold or limits requests.
func (s *Service) Admit(r *wire.AdmitRequest, reply *wire.AdmitReply) error {
	id := sumachead.ServerID(r.GetIncarnation())
	s.mergeLimit(id, r.GetLimit())
	limit := s.limits.Get(id)
	b := warmup.Bound{Rate: r.GetRate(), Burst: r.GetBurst()}
	granted, retryAfter := s.admit(r.GetServer(), b.Intersect(ratelimit.BoundOf(limit.Rate)), r.GetUrgency())
	reply.Granted, reply.AgainMicros = granted, retryAfter.Microseconds()
	reply.Limit = limit.ToWire(boottime.Clock{}.Now())
	return nil
}

func (s *Service) admit(server string, b warmup.Bound, urgency uint32) (granted bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.StartedAt = s.Since
	return s.permits.Admit(server, b, urgency, time.Now())
}

// mergeLimit records a router's observation of a server's request limit.
func (s *Service) mergeLimit(id sumachead.ServerID, m *wire.LimitObservation) {
	if m == nil || id == "" {
		return
	}
	now := boottime.Clock{}.Now()
	if s.limits.Len() >= maxLimits {
		s.limits.Expire(func(_ sumachead.ServerID, o ratelimit.Observation) bool { return now.Sub(o.At) > limitTimeout })
	}
	s.limits.Merge(id, ratelimit.FromWire(m, now))
}
