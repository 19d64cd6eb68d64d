package standin

import (
	"net/http"
	"slices"
	"time"
)

// ReplicaArrival is a replica's record of a request that reached it, whether it was run or rejected.
type ReplicaArrival struct {
	ID        string
	Workspace string
	At        time.Time
	Method    string
	Path      string
	// Deadline is the value of the header, in milliseconds; empty if there is none.
	Deadline string
	// Usage and Blocks describe the prompt.
	Usage  string
	Blocks string
	// Reserved are the headers that only the system may set and that it does not use.
	Reserved []string
}

// ReservedHeaders are headers that callers may send and that must not reach a replica.
var ReservedHeaders = []string{"Hold", "Pin-Ms", "Kv-Backup", "Kv-From"}

// recordArrival records a request; one that is for no replica in particular is a health check.
func (r *Replica) recordArrival(q *http.Request) {
	if q.Header.Get("Request-Id") == "" && q.Header.Get("Expect-Replica") == "" {
		return
	}
	a := ReplicaArrival{
		ID: q.Header.Get("Request-Id"), Workspace: q.Header.Get("Tenant"), At: time.Now(), Method: q.Method, Path: q.URL.RequestURI(),
		Deadline: q.Header.Get("Deadline-Ms"), Usage: q.Header.Get("Token-Usage"), Blocks: q.Header.Get("Prompt-Prefix"),
	}
	for _, name := range ReservedHeaders {
		if q.Header.Get(name) != "" {
			a.Reserved = append(a.Reserved, name)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// Arrivals returns the requests that have reached the replica.
func (r *Replica) Arrivals() []ReplicaArrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// EndedBetween reports whether an incarnation of the replica ended or crashed between two times.
func (r *Replica) EndedBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	within := func(t time.Time) bool { return t.After(from) && t.Before(to) }
	for _, times := range r.crashes {
		if slices.ContainsFunc(times, within) {
			return true
		}
	}
	return slices.ContainsFunc(r.restarts, within)
}
