package ratelimit

import (
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// ToWire returns the message that tells an observation at a time; nil for none.
func (o Observation) ToWire(now sumachead.BootTime) *wire.LimitObservation {
	if o == (Observation{}) {
		return nil
	}
	return &wire.LimitObservation{Rate: float64(o.Rate), AgeMicros: max(now.Sub(o.At), 0).Microseconds()}
}

// FromWire returns the observation of a message that came at a time; the zero value for nil.
func FromWire(m *wire.LimitObservation, now sumachead.BootTime) Observation {
	if m == nil {
		return Observation{}
	}
	age := time.Duration(m.GetAgeMicros()) * time.Microsecond
	return Observation{Rate: sumachead.RequestRate(m.GetRate()), At: now.Add(-age)}
}
