package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// ReplicaLimit is a request limit that a replica has named since a time.
type ReplicaLimit struct {
	Since time.Time
	// Rate is in requests a second; 0 for no limit.
	Rate float64
	// Life counts the starts of the replica before.
	Life int
}

// NameLimit makes the replica name a request limit in its answers, in requests a second, until
// its next start; it names none with a rate of 0. The replica runs what exceeds it.
func (r *Replica) NameLimit(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, ReplicaLimit{time.Now(), rate, len(r.starts)})
}

// Limits returns the limits that the replica has named, oldest first.
func (r *Replica) Limits() []ReplicaLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.limits)
}

// nameLimit sets the header of an answer. The caller holds mu.
func (r *Replica) nameLimit(h http.Header) {
	if len(r.limits) == 0 {
		return
	}
	l := r.limits[len(r.limits)-1]
	if l.Rate == 0 || l.Life != len(r.starts) {
		return
	}
	const bits = 64
	h.Set("Server-Limit", strconv.FormatFloat(l.Rate, 'f', -1, bits))
}

// Starts returns when the replica has started after its first start, oldest first.
func (r *Replica) Starts() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.starts)
}
