package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sumachead/internal/loop"
)

// replicaSlots is the number of slots that a replica reports. It accepts more requests.
const replicaSlots = 8

// ReplicaFaults are the faults that a [Replica] can inject. All are off initially.
// Scenario scripts set them as JSON objects with the names of the fields.
type ReplicaFaults struct {
	// LoseAnswer runs requests, but ends the connection without a response.
	LoseAnswer bool
	// BreakAfter interrupts a stream within the event that follows this many events.
	BreakAfter int
	// Surplus sends an additional, unsolicited response after a complete one.
	Surplus bool
	// LateSurplus sends the complete response of one request once more in the place of the next
	// one on its connection, which then ends.
	LateSurplus bool
	// Refuse responds that the request was not run.
	Refuse bool
	// Hang accepts requests and never responds.
	Hang bool
	// BadOneIn makes one in this many requests, chosen at random among those whose path begins
	// with BadOn, fail with status 500, or take Slower times as long if Slower is set.
	BadOneIn int
	BadOn    string
	Slower   int
	// Framing is how the ends of responses are marked: length, chunked, close, or any for one of them
	// at random; empty for length with plain responses and chunked with streams.
	Framing string
	// CutOneIn breaks one in this many responses off at a random byte, if Framing is set: its connection
	// is closed or reset or, with CutCrashes, the process crashes.
	CutOneIn   int
	CutCrashes bool
	// MalformedOneIn makes the heads of one in this many responses malformed, if Framing is set.
	MalformedOneIn int
}

// ReplicaRun is a replica's record of one request.
type ReplicaRun struct {
	ID        string
	Workspace string
	Replica   string
	At        time.Time
	// Done is when the replica finished the request; zero before.
	Done time.Time
	// Blocks are the blocks of the prompt, as the request names them.
	Blocks string
	// Prompt is the number of prompt tokens of a stream, and LastEvent the id of the last event
	// that was sent; 0 while there was none. What follows a malformed head is no event.
	Prompt, LastEvent int
}

// Replica simulates a backend server of the users' platform: it registers by
// heartbeats, serves streamed or plain responses, and records the requests that it
// ran. Set the exported fields before Run.
type Replica struct {
	ID      string
	Service string
	Hall    string
	// Version is the version that it reports; empty for none.
	Version string
	// Address is the host:port at which it serves.
	Address string
	// ControlAddresses returns the addresses that accept heartbeats.
	ControlAddresses func() []string
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// EventInterval is the time between events, ResponseTime that of a plain response.
	EventInterval time.Duration
	ResponseTime  time.Duration

	mu     sync.Mutex // guards the fields below and the elements of runs
	faults ReplicaFaults
	runs   []*ReplicaRun
	// arrivals are the requests that have reached the replica.
	arrivals []ReplicaArrival
	// sequence counts the heartbeats of this incarnation, which started at born.
	sequence int
	born     time.Time
	draining bool
	// hidesStartTime omits the start time from heartbeats.
	hidesStartTime bool
	// newIDCount counts the restarts with a new ID. cold are the times in which the replica
	// was cold.
	newIDCount int
	cold       []coldSpan
	// restarts are the start times of all incarnations after the first, oldest first.
	restarts []time.Time
	// drainAckedAt is when draining was acknowledged.
	drainAckedAt time.Time
	// crashPrefix is the prefix of bodies on which the process crashes. sameID is set if it
	// then restarts under the same ID.
	crashPrefix string
	sameID      bool
	// crashBlock is the prompt block on which the process crashes; empty for none.
	crashBlock string
	// crashes are the crashes of the process by request body or prompt block. down is set until it
	// has restarted. process is the running server.
	crashes map[string][]time.Time
	down    bool
	process *http.Server
	// restartNow is set if the process must restart at once, stopped if it must not restart.
	restartNow bool
	stopped    bool
	// backoff is the backoff that the replica requests while it rejects all requests; 0 if it
	// accepts them. rejections are the rejected requests. leavingSince is since when its
	// responses announce that it is leaving.
	backoff      time.Duration
	rejections   []ReplicaRejection
	leavingSince time.Time
	// limits are the request limits that its responses reported, oldest first.
	limits []ReplicaLimit
	// framed are the connections of responses in flight with a chosen framing.
	framed map[net.Conn]struct{}
}

// coldSpan is a time span in which a replica was cold.
type coldSpan struct{ from, until time.Time }

// RestartCold starts a new incarnation of the replica with a new ID that is cold for the
// given time.
func (r *Replica) RestartCold(cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.newIDCount++
	r.resetForRestart()
	r.cold = append(r.cold, coldSpan{now, now.Add(cold)})
}

// incarnationID returns the ID of the running incarnation. The caller holds mu.
func (r *Replica) incarnationID() string {
	if r.newIDCount == 0 {
		return r.ID
	}
	return fmt.Sprintf("%s-%d", r.ID, r.newIDCount)
}

// coldRemaining returns how much longer the replica stays cold. The caller holds mu.
func (r *Replica) coldRemaining(now time.Time) time.Duration {
	if len(r.cold) == 0 {
		return 0
	}
	return max(r.cold[len(r.cold)-1].until.Sub(now), 0)
}

// ColdRuns returns the number of runs of one incarnation that began in the second before at
// while the replica was cold; 0 if it was warm at that time.
func (r *Replica) ColdRuns(at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The latest cold span before at counts: a restart without a cold span is warm and reports
	// itself as warm.
	i := len(r.cold) - 1
	for i >= 0 && r.cold[i].from.After(at) {
		i--
	}
	if i < 0 || at.After(r.cold[i].until) {
		return 0
	}
	// An incarnation that starts within the cold span of the previous one is cold from its own
	// start, with the full allowance of a cold server.
	from := r.cold[i].from
	for _, s := range r.restarts {
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

// SetFaults replaces the injected faults.
func (r *Replica) SetFaults(f ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Runs returns copies of the records of all requests that were run.
func (r *Replica) Runs() []ReplicaRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]ReplicaRun, 0, len(r.runs))
	for _, x := range r.runs {
		out = append(out, *x)
	}
	return out
}

// serve handles a request if it is addressed to this incarnation, and records its run.
func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	f, id, cold, crashPrefix := r.faults, r.incarnationID(), r.coldRemaining(time.Now()), r.crashPrefix
	r.mu.Unlock()
	if q.URL.Path == "/health" {
		w.Header().Set("Served-By", id)
		w.Header().Set("Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		return
	}
	r.recordArrival(q)
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	// A request may name no replica, but a check of the replica's identity has no ID and is not run.
	if expected := q.Header.Get("Expect-Replica"); expected != id && (expected != "" || q.Header.Get("Request-Id") == "") {
		w.Header().Set("Served-By", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.writeNotices(w, q.Header.Get("Request-Id")) {
		return
	}
	if f.Refuse {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &ReplicaRun{ID: q.Header.Get("Request-Id"), Workspace: q.Header.Get("Tenant"), Replica: id, At: time.Now(), Blocks: q.Header.Get("Prompt-Prefix")}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		run.Done = time.Now()
	}()
	if crashPrefix != "" && r.crashesOn(q, crashPrefix) {
		return
	}
	r.respond(w, q, f, run)
}

// crashesOn crashes the process if the body of the request has the prefix. It reports
// whether it did.
func (r *Replica) crashesOn(q *http.Request, prefix string) bool {
	body, err := io.ReadAll(q.Body)
	if err != nil || !strings.HasPrefix(string(body), prefix) {
		return false
	}
	time.Sleep(crashDelay)
	r.crash(string(body))
	return true
}

// respond sends the response to a request, with the faults injected.
func (r *Replica) respond(w http.ResponseWriter, q *http.Request, f ReplicaFaults, run *ReplicaRun) {
	if f.Hang {
		<-q.Context().Done()
		return
	}
	if f.LoseAnswer {
		r.sleep(q, r.ResponseTime)
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
		r.stream(w, q, f, usage, r.EventInterval*slower, run)
		return
	}
	if !r.sleep(q, r.ResponseTime*slower) {
		return
	}
	body := "done " + q.Header.Get("Request-Id")
	if f.Surplus || f.LateSurplus {
		r.sendTwice(w, q, body, f.LateSurplus)
		return
	}
	if f.Framing != "" {
		if x := r.frame(w, f, len(body), 1); x != nil {
			defer x.finish(true)
			w = x
		}
	}
	_, _ = fmt.Fprint(w, body) // a disconnected caller cancels the context
}

// isBad reports whether a request, sampled at random, must fail or be slow.
func (f *ReplicaFaults) isBad(q *http.Request) bool {
	return f.BadOneIn > 0 && strings.HasPrefix(q.URL.Path, f.BadOn) && rand.IntN(f.BadOneIn) == 0
}

// sleep waits for d. It reports whether the caller is still connected.
func (r *Replica) sleep(q *http.Request, d time.Duration) bool {
	return loop.Sleep(q.Context(), d)
}

// stream sends one event per token that the request allows, starting after the last
// event that the caller has received. Each event has the version of the replica as its data.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request, f ReplicaFaults, usage string, every time.Duration, run *ReplicaRun) {
	prompt, limit, _ := strings.Cut(usage, ",")
	n, _ := strconv.Atoi(limit)
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	malformed, last := false, from
	if f.Framing != "" && n > from {
		length := 0
		for i := from + 1; i <= n; i++ {
			length += len(r.event(i))
		}
		if x := r.frame(w, f, length, n-from); x != nil {
			defer func() { x.finish(last == n) }()
			w, malformed = x, x.malformed
		}
	}
	control := http.NewResponseController(w)
	for i := from + 1; i <= n; i++ {
		if f.BreakAfter > 0 && i > f.BreakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if !r.sleep(q, every) {
			return
		}
		if _, err := io.WriteString(w, r.event(i)); err != nil {
			return
		}
		_ = control.Flush() // the next write returns the error
		last = i
		if !malformed {
			r.mu.Lock()
			run.Prompt, _ = strconv.Atoi(prompt)
			run.LastEvent = i
			r.mu.Unlock()
		}
		if i == from+1 && r.crashesOnBlock(q) {
			return
		}
	}
}

// event returns an event of a stream.
func (r *Replica) event(i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i, r.Version) }

// sendTwice sends a response twice, as some faulty servers do; the second time at once or in response to
// the next request.
func (r *Replica) sendTwice(w http.ResponseWriter, q *http.Request, body string, late bool) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for i := range 2 {
		if late && i > 0 {
			_ = buffered.Flush()
			const maxWait = time.Second
			if conn.SetReadDeadline(time.Now().Add(maxWait)) != nil {
				return
			}
			next, err := http.ReadRequest(buffered.Reader)
			if err != nil {
				return
			}
			r.recordArrival(next)
		}
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
			q.Header.Get("Request-Id"), r.ID, len(body), body)
	}
	_ = buffered.Flush()
	time.Sleep(r.ResponseTime)
}
