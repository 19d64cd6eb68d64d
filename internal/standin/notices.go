package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// The notices that a replica adds to its responses.

// ReplicaRejection is a request that a replica rejected.
type ReplicaRejection struct {
	ID string
	At time.Time
	// Backoff is the backoff that the replica requested from the sender.
	Backoff time.Duration
}

// RejectRequests makes the replica reject all requests and request a backoff with each response. A
// backoff of 0 ends it.
func (r *Replica) RejectRequests(backoff time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoff = backoff
}

// Rejections returns the rejected requests in order.
func (r *Replica) Rejections() []ReplicaRejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rejections)
}

// AnnounceLeaving makes the replica announce in its responses only that it is leaving: its
// heartbeats still report it as ready. The next incarnation does not announce it.
func (r *Replica) AnnounceLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingSince = time.Now()
}

// LeavingSince returns since when the replica's responses announce that it is leaving; zero if
// they don't.
func (r *Replica) LeavingSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leavingSince
}

// writeNotices adds the replica's notices to a response. It reports whether it has rejected the request.
func (r *Replica) writeNotices(w http.ResponseWriter, id string) (rejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLimit(w.Header())
	if !r.leavingSince.IsZero() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.backoff == 0 {
		return false
	}
	r.rejections = append(r.rejections, ReplicaRejection{id, time.Now(), r.backoff})
	const bits = 64
	w.Header().Set("Retry-After", strconv.FormatFloat(r.backoff.Seconds(), 'f', -1, bits))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
