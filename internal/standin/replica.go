package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sumachead/internal/loop"
)

// replicaSlots is how many requests a replica says that it works on at a time; it
// takes more.
const replicaSlots = 8

// ReplicaFaults are switches of a [Replica]; all are off at the start.
type ReplicaFaults struct {
	// LoseAnswer: requests run, and the connection ends without an answer.
	LoseAnswer bool
	// BreakAfter: a stream breaks off in the middle of an event after so many.
	BreakAfter int
	// Surplus: a whole answer is followed by another that nobody asked for.
	Surplus bool
	// Refuse: the replica answers that it did not run the request.
	Refuse bool
	// Hang: the replica takes requests and says nothing.
	Hang bool
	// BadOneIn: one in so many requests, whose paths begin with BadOn, fails with an answer of
	// the replica's own, or takes Slower times as long.
	BadOneIn int
	BadOn    string
	Slower   int
}

// ReplicaRun is what a replica saw of one request.
type ReplicaRun struct {
	ID        string
	Workspace string
	Replica   string
	At        time.Time
	// Done is set once the replica no longer works on it.
	Done time.Time
}

// Replica plays a backend server of the users' platform: it registers by
// heartbeats, streams events or answers plainly, and records what it ran. Set the
// exported fields before Run.
type Replica struct {
	ID      string
	Service string
	Hall    string
	// Version is that of its software; empty where it tells none.
	Version string
	// Address is where it serves, host:port.
	Address string
	// Control returns the addresses that take heartbeats.
	Control func() []string
	// Every is the interval between heartbeats.
	Every time.Duration
	// EventEvery is the time between events, Work that of a plain answer.
	EventEvery time.Duration
	Work       time.Duration

	mu     sync.Mutex // guards the fields below, and what runs point to
	faults ReplicaFaults
	runs   []*ReplicaRun
	// sequence counts the heartbeats of this life, which started at born.
	sequence int
	born     time.Time
	draining bool
	// silentBorn: the replica does not tell when it started.
	silentBorn bool
	// lives counts the starts after the first, and cold are the times within which the
	// replica was cold.
	lives int
	cold  []coldSpan
	// starts are those of all lives after the first, oldest first.
	starts []time.Time
	// acked is when leaving was acknowledged.
	acked time.Time
	// endUnder is how bodies begin under which the process ends, and sameID whether it then
	// starts again under the id that it had.
	endUnder string
	sameID   bool
	// ends counts the ends of the process by the body; down while it has not started again,
	// and process is the one that runs.
	ends    map[string]int
	down    bool
	process *http.Server
	// again: the process starts again at once; stopped: it never does.
	again   bool
	stopped bool
	// rest is what the replica asks for with each request, which it turns away; 0 for none.
	// turned are those that it has, and leavingSince is since when its answers say that it
	// leaves.
	rest         time.Duration
	turned       []ReplicaTurned
	leavingSince time.Time
	// limits are the request limits that its answers named, oldest first.
	limits []ReplicaLimit
}

// coldSpan is a time within which a replica was cold.
type coldSpan struct{ from, until time.Time }

// StartAnew makes the replica another life with an id of its own, cold for a time.
func (r *Replica) StartAnew(cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.lives++
	r.startLife()
	r.cold = append(r.cold, coldSpan{now, now.Add(cold)})
}

// life returns the id of the life that runs. The caller holds mu.
func (r *Replica) life() string {
	if r.lives == 0 {
		return r.ID
	}
	return fmt.Sprintf("%s-%d", r.ID, r.lives)
}

// coldLeft returns for how much longer the replica is cold. The caller holds mu.
func (r *Replica) coldLeft(now time.Time) time.Duration {
	if len(r.cold) == 0 {
		return 0
	}
	return max(r.cold[len(r.cold)-1].until.Sub(now), 0)
}

// ColdRuns counts the runs of one life that began in the second up to a time, while the
// replica was cold all along; 0 for a time at which it was warm.
func (r *Replica) ColdRuns(at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The newest cold time by then counts: a start without one is warm, and says so.
	i := len(r.cold) - 1
	for i >= 0 && r.cold[i].from.After(at) {
		i--
	}
	if i < 0 || at.After(r.cold[i].until) {
		return 0
	}
	// A life that starts while the cold time of the one before goes on is cold from its own
	// start on, and bears as much as that one did.
	from := r.cold[i].from
	for _, s := range r.starts {
		if s.After(from) && !s.After(at) {
			from = s
		}
	}
	n := 0
	for _, x := range r.runs {
		if x.At.After(from) && x.At.After(at.Add(-time.Second)) && !x.At.After(at) {
			n++
		}
	}
	return n
}

// Set switches faults.
func (r *Replica) Set(f ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Runs returns copies of what was run.
func (r *Replica) Runs() []ReplicaRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]ReplicaRun, 0, len(r.runs))
	for _, x := range r.runs {
		out = append(out, *x)
	}
	return out
}

// serve takes a request if it is meant for this life, and records its run.
func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	f, id, cold, endUnder := r.faults, r.life(), r.coldLeft(time.Now()), r.endUnder
	r.mu.Unlock()
	if q.URL.Path == "/health" {
		w.Header().Set("Served-By", id)
		w.Header().Set("Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		return
	}
	if expected := q.Header.Get("Expect-Replica"); expected != id {
		w.Header().Set("Served-By", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.tell(w, q.Header.Get("Request-Id")) {
		return
	}
	if f.Refuse {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &ReplicaRun{ID: q.Header.Get("Request-Id"), Workspace: q.Header.Get("Tenant"), Replica: id, At: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		run.Done = time.Now()
	}()
	if endUnder != "" && r.endsUnder(q, endUnder) {
		return
	}
	r.answer(w, q, f)
}

// endsUnder ends the process if a request's body begins so.
func (r *Replica) endsUnder(q *http.Request, begins string) bool {
	body, err := io.ReadAll(q.Body)
	if err != nil || !strings.HasPrefix(string(body), begins) {
		return false
	}
	time.Sleep(endAfter)
	r.end(string(body))
	return true
}

// answer answers a request as the faults say.
func (r *Replica) answer(w http.ResponseWriter, q *http.Request, f ReplicaFaults) {
	if f.Hang {
		<-q.Context().Done()
		return
	}
	if f.LoseAnswer {
		r.pause(q, r.Work)
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Request-Id", q.Header.Get("Request-Id"))
	h.Set("Response-Seal", r.ID)
	slower := time.Duration(1)
	if f.isBad(q) {
		if f.Slower == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		slower = time.Duration(f.Slower)
	}
	if usage := q.Header.Get("Token-Usage"); usage != "" {
		r.stream(w, q, f, usage, r.EventEvery*slower)
		return
	}
	if !r.pause(q, r.Work*slower) {
		return
	}
	body := "done " + q.Header.Get("Request-Id")
	if f.Surplus {
		r.twice(w, q, body)
		return
	}
	_, _ = fmt.Fprint(w, body) // a caller that has gone shows in the context
}

// isBad draws whether a request is one of those that the replica answers badly.
func (f *ReplicaFaults) isBad(q *http.Request) bool {
	return f.BadOneIn > 0 && strings.HasPrefix(q.URL.Path, f.BadOn) && rand.IntN(f.BadOneIn) == 0
}

// pause waits; it reports whether the caller is still there.
func (r *Replica) pause(q *http.Request, d time.Duration) bool {
	return loop.Sleep(q.Context(), d)
}

// stream sends as many events as the request allows tokens, one each, after the
// last that the caller has.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request, f ReplicaFaults, usage string, every time.Duration) {
	_, most, _ := strings.Cut(usage, ",")
	n, _ := strconv.Atoi(most)
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := from + 1; i <= n; i++ {
		if f.BreakAfter > 0 && i > f.BreakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if !r.pause(q, every) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: t\n\n", i); err != nil {
			return
		}
		_ = control.Flush() // the next write tells
	}
}

// twice sends an answer and once more, as some servers do.
func (r *Replica) twice(w http.ResponseWriter, q *http.Request, body string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for range 2 {
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
			q.Header.Get("Request-Id"), r.ID, len(body), body)
	}
	_ = buffered.Flush()
	time.Sleep(r.Work)
}
