package scenario

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sumachead/internal/standin"
)

// fleetRequest is one request to a fleet.
type fleetRequest struct {
	kind   string // stream, hold or check
	router string
	key    string
	path   string
	body   string
	prompt int
	// blocks are the IDs of the prompt's blocks; none for a prompt that shares nothing.
	blocks  []string
	events  int
	timeout time.Duration
	// cancelAfter is when the caller disconnects, or 0 for never.
	cancelAfter time.Duration
	// client reuses connections; nil opens a new connection for each request.
	client *http.Client
	// lastEvent is the event after which a stream is resumed; 0 to start one. resumes is the id of
	// the request that received the first event.
	lastEvent int
	resumes   string
}

// caller is the outcome of a request as its caller saw it, kept for checks at the end.
type caller struct {
	id             string
	workspace      string
	kind           string
	router         string
	status         int
	complete       bool
	receivedTokens int // tokens, including the prompt's from the first event on
	retryAfter     float64
	// hasRetryAfter reports whether the response has a Retry-After, which may be zero.
	hasRetryAfter bool
	// lastEvent is the last event received, and versions are the software versions that its events
	// name, each once. streamID is the id of the request that received the first event of the stream.
	lastEvent int
	versions  []string
	streamID  string
	// refusal is the body of an unsuccessful response.
	refusal string
	err     error
	// mixed describes a response that no caller may get: of another request, or with a gap.
	mixed string
	// method, path, usage and blocks are what the caller sent, timeout is its deadline, and cancelledAt
	// is when it disconnected; zero if it did not.
	method, path, usage, blocks string
	timeout                     time.Duration
	cancelledAt                 time.Time
	sentAt                      time.Time
	// respondedAt is when the response headers arrived, or zero if they did not.
	respondedAt time.Time
	endedAt     time.Time
}

// String formats the outcome as scripts match it.
func (c *caller) String() string { return fmt.Sprintf("status=%d whole=%t", c.status, c.complete) }

// refusalReason returns the reason that an unsuccessful response names; empty if it names none.
func (c *caller) refusalReason() string {
	var d struct {
		Error string `json:"error"`
	}
	if json.Unmarshal([]byte(c.refusal), &d) != nil {
		return ""
	}
	return d.Error
}

// doWithRetry sends a request and retries as long as responses have a Retry-After and the
// caller's timeout allows. Each attempt has its own id.
func (f *fleet) doWithRetry(q fleetRequest) *caller {
	if q.timeout == 0 {
		q.timeout = 5 * time.Second
	}
	until := time.Now().Add(q.timeout)
	for {
		c := f.do(q)
		q.timeout = time.Until(until) - time.Duration(c.retryAfter*float64(time.Second))
		if c.status != http.StatusServiceUnavailable || !c.hasRetryAfter || q.timeout <= 0 {
			return c
		}
		time.Sleep(time.Duration(c.retryAfter * float64(time.Second)))
	}
}

// do sends one request and reads the whole response.
func (f *fleet) do(q fleetRequest) *caller {
	if q.key == "" {
		q.key = "k"
	}
	if q.timeout == 0 {
		q.timeout = 5 * time.Second
	}
	f.mu.Lock()
	f.requestCount++
	c := &caller{id: fmt.Sprintf("q%05d", f.requestCount), workspace: workspaceOf(q.key), kind: q.kind, router: q.router, sentAt: time.Now()}
	c.lastEvent, c.streamID = q.lastEvent, cmp.Or(q.resumes, c.id)
	f.callers = append(f.callers, c)
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+time.Second)
	defer cancel()
	if q.cancelAfter > 0 {
		time.AfterFunc(q.cancelAfter, cancel)
	}
	f.roundTrip(ctx, q, c)
	c.endedAt = time.Now()
	if q.cancelAfter > 0 && ctx.Err() != nil {
		c.cancelledAt = c.endedAt
	}
	return c
}

func (f *fleet) roundTrip(ctx context.Context, q fleetRequest, c *caller) {
	method, path := http.MethodPost, q.path
	if q.kind == "check" {
		method = http.MethodGet
	}
	if path == "" {
		path = "/" + q.kind + "/x"
	}
	address := fmt.Sprintf("http://%s:%d%s", f.advertisedIP(f.indexOf(q.router)), f.frontPort, path)
	r, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(q.body))
	if err != nil {
		c.err = err
		return
	}
	r.Host = "h.example"
	c.method, c.path, c.timeout = method, path, q.timeout
	for _, name := range standin.ReservedHeaders {
		r.Header.Set(name, "1")
	}
	r.Header.Set("Request-Id", c.id)
	r.Header.Set("Api-Key", q.key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	if q.kind == "stream" {
		r.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", q.prompt, q.events))
	}
	if len(q.blocks) > 0 {
		r.Header.Set("Prompt-Prefix", strings.Join(q.blocks, ":10,")+":10")
	}
	if q.lastEvent > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(q.lastEvent))
		r.Header.Set("Resumes", q.resumes)
	}
	c.usage, c.blocks = r.Header.Get("Token-Usage"), r.Header.Get("Prompt-Prefix")
	client := q.client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	resp, err := client.Do(r)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.respondedAt = time.Now()
	c.status = resp.StatusCode
	c.hasRetryAfter = resp.Header.Get("Retry-After") != ""
	c.retryAfter, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		c.refusal = string(body)
		const maxStatus = 599
		if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
			c.mixed = fmt.Sprintf("the response has status %d", resp.StatusCode)
		}
		return
	}
	if resp.Header.Get("Request-Id") != c.id || resp.Header.Get("Response-Seal") == "" {
		c.mixed = "the response belongs to another request"
		c.err = errors.New(c.mixed)
		return
	}
	if q.kind == "stream" {
		c.readEvents(resp.Body, q)
		return
	}
	body, err := io.ReadAll(resp.Body)
	c.complete, c.err = err == nil && string(body) == "done "+c.id, err
	if err == nil && !c.complete {
		c.mixed = fmt.Sprintf("the response is %q", body)
		c.err = errors.New(c.mixed)
	}
}

// readEvents reads a stream and checks that its event ids are consecutive.
func (c *caller) readEvents(body io.Reader, q fleetRequest) {
	s := bufio.NewScanner(body)
	for s.Scan() {
		if v, ok := strings.CutPrefix(s.Text(), "data: "); ok && !slices.Contains(c.versions, v) {
			c.versions = append(c.versions, v)
		}
		v, ok := strings.CutPrefix(s.Text(), "id: ")
		if !ok {
			continue
		}
		n, _ := strconv.Atoi(v)
		if n != c.lastEvent+1 {
			c.mixed = fmt.Sprintf("event %d follows event %d", n, c.lastEvent)
			c.err = errors.New(c.mixed)
			return
		}
		if c.lastEvent == 0 {
			c.receivedTokens += q.prompt
		}
		c.lastEvent = n
		c.receivedTokens++
	}
	c.err = s.Err()
	c.complete = c.err == nil && c.lastEvent == q.events
	if c.err == nil && !c.complete {
		c.mixed = fmt.Sprintf("the stream ended normally after event %d of %d", c.lastEvent, q.events)
		c.err = errors.New(c.mixed)
	}
}

// resume resumes a stream that broke off after an event, at one router after the other, until it is
// complete. It returns the last attempt.
func (f *fleet) resume(q fleetRequest, broken *caller, routers []string) *caller {
	c := broken
	for _, name := range routers {
		if c.complete {
			break
		}
		q.router, q.lastEvent, q.resumes = name, c.lastEvent, c.streamID
		c = f.do(q)
	}
	return c
}

// mixedStreams describes the streams whose events name more than one software version, in one
// response or over the requests of their callers. The caller holds mu.
func (f *fleet) mixedStreams() (out []string) {
	versions := make(map[string][]string)
	for _, c := range f.callers {
		for _, v := range c.versions {
			if !slices.Contains(versions[c.streamID], v) {
				versions[c.streamID] = append(versions[c.streamID], v)
			}
		}
	}
	for id, vs := range versions {
		if len(vs) > 1 {
			out = append(out, fmt.Sprintf("the stream that began as %s has events of versions %v", id, vs))
		}
	}
	slices.Sort(out)
	return out
}

// violations checks the invariants against what callers and backend servers saw and describes
// each violation.
func (f *fleet) violations(prepaid int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	violations := f.mixedStreams()
	runs, workspaces := make(map[string]int), make(map[string]string)
	for _, c := range f.callers {
		workspaces[c.id] = c.workspace
	}
	for name, r := range f.replicas {
		for _, x := range r.Runs() {
			runs[x.ID]++
			if x.Workspace != workspaces[x.ID] {
				violations = append(violations, fmt.Sprintf("%s ran %s for workspace %q", name, x.ID, x.Workspace))
			}
			if acked := r.DrainAckedAt(); !acked.IsZero() && x.At.After(acked.Add(maxDrainDelay)) {
				violations = append(violations, fmt.Sprintf("%s got %s %v after its draining was acknowledged", name, x.ID, x.At.Sub(acked)))
			}
			if n := r.ColdRuns(x.At); float64(n) > coldRate*coldOverage+coldSlack {
				violations = append(violations, fmt.Sprintf("%s got %d requests in the second before %s while it was cold", name, n, x.ID))
			}
			if v := f.vacatedSpanAt(r.Hall, x.At); v != nil {
				violations = append(violations, fmt.Sprintf("%s got %s %v after its data hall was vacated", name, x.ID, x.At.Sub(v.ackedAt)))
			}
		}
	}
	received := 0
	for _, c := range f.callers {
		if c.workspace == "clerks" {
			received += c.receivedTokens
		}
		if c.mixed != "" {
			violations = append(violations, fmt.Sprintf("%s: %s", c.id, c.mixed))
		}
		if c.kind == "hold" && runs[c.id] > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", c.id, runs[c.id]))
		}
		if reason := c.budgetRefusal(); reason != "" && runs[c.id] > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused as not run (%s) but ran %d times", c.id, reason, runs[c.id]))
		}
		promised := c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
		if c.kind == "hold" && promised && runs[c.id] > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused as not run (%d) but ran", c.id, c.status))
		}
	}
	violations = append(violations, f.rules()...)
	if received > prepaid {
		violations = append(violations, fmt.Sprintf("%d tokens received, but only %d were prepaid", received, prepaid))
	}
	return violations
}

// maxDrainDelay is how long after the acknowledgement a draining server may still get new
// requests.
const maxDrainDelay = 2 * time.Second
