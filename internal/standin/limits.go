package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// ReplicaLimit is a request limit that a replica has reported since a time.
type ReplicaLimit struct {
	Since time.Time
	// Rate is in requests per second; 0 for no limit.
	Rate float64
	// Incarnation is the number of restarts of the replica before.
	Incarnation int
}

// ReportLimit makes the replica report a request limit in its responses, in requests per second,
// until its next restart; it reports none with a rate of 0. The replica still runs requests above
// the limit.
func (r *Replica) ReportLimit(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, ReplicaLimit{time.Now(), rate, len(r.restarts)})
}

// Limits returns the limits that the replica has reported, oldest first.
func (r *Replica) Limits() []ReplicaLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.limits)
}

// writeLimit sets the limit header of a response. The caller holds mu.
func (r *Replica) writeLimit(h http.Header) {
	if len(r.limits) == 0 {
		return
	}
	l := r.limits[len(r.limits)-1]
	if l.Rate == 0 || l.Incarnation != len(r.restarts) {
		return
	}
	const bits = 64
	h.Set("Server-Limit", strconv.FormatFloat(l.Rate, 'f', -1, bits))
}

// RestartTimes returns when the replica was restarted, oldest first.
func (r *Replica) RestartTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.restarts)
}
