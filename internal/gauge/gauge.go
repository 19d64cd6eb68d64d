// Package gauge runs beside a model engine and answers routers that are about to choose
// one: what all of them have under way there ([place.Gauge]).
//
// Routers tell it when they send a request, when its answer begins, and when it ends. It
// decides nothing, keeps nothing on disk, and passes nothing on; a router that gets no
// answer in time chooses by what it knows itself.
package gauge

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/place"
)

// Name is the name under which a [Service] takes calls.
const Name = "Gauge"

// Service takes routers' calls. The zero value is ready.
type Service struct{ gauge place.Gauge }

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
