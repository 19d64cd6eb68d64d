package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// What a replica says of itself in its answers.

// ReplicaTurned is a request that a replica turned away.
type ReplicaTurned struct {
	ID string
	At time.Time
	// Rest is for how long the replica then wanted nothing from who had sent it.
	Rest time.Duration
}

// TurnAway makes the replica turn away all that comes and ask for a rest with each answer;
// it ends with a rest of 0.
func (r *Replica) TurnAway(rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest = rest
}

// TurnedAway returns what was turned away, in order.
func (r *Replica) TurnedAway() []ReplicaTurned {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.turned)
}

// SayLeaving makes the replica say in its answers that it leaves, and nothing else: its
// heartbeats go on to say that it is ready. A later life says nothing of it.
func (r *Replica) SayLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingSince = time.Now()
}

// LeavingSince returns since when the replica's answers say that it leaves; zero where they
// don't.
func (r *Replica) LeavingSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leavingSince
}

// tell sets what the replica says of itself on an answer, and reports whether the request is
// turned away with it.
func (r *Replica) tell(w http.ResponseWriter, id string) (turnedAway bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nameLimit(w.Header())
	if !r.leavingSince.IsZero() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.rest == 0 {
		return false
	}
	r.turned = append(r.turned, ReplicaTurned{id, time.Now(), r.rest})
	const bits = 64
	w.Header().Set("Retry-After", strconv.FormatFloat(r.rest.Seconds(), 'f', -1, bits))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
