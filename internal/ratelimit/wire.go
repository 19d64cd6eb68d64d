package ratelimit

import (
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// ToWire returns the message for an observation that is sent at a time, or nil for the zero value.
func (o Observation) ToWire(now sumachead.BootTime) *wire.LimitObservation {
	if o == (Observation{}) {
		return nil
	}
	return &wire.LimitObservation{Rate: float64(o.Rate), AgeMicros: max(now.Sub(o.At), 0).Microseconds()}
}

// FromWire returns the observation in a message received at a time, or the zero value for nil.
func FromWire(m *wire.LimitObservation, now sumachead.BootTime) Observation {
	if m == nil {
		return Observation{}
	}
	age := time.Duration(m.GetAgeMicros()) * time.Microsecond
	return Observation{Rate: sumachead.RequestRate(m.GetRate()), At: now.Add(-age)}
}
