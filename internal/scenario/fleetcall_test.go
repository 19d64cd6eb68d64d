package scenario

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// fleetRequest is one request of a caller of a fleet.
type fleetRequest struct {
	kind   string // stream, hold or check
	router string
	key    string
	path   string
	body   string
	prompt int
	events int
	wait   time.Duration
	// leave is when the caller leaves; 0 for not at all.
	leave time.Duration
	// client keeps connections; nil for a new connection each time.
	client *http.Client
}

// caller is what one caller saw, for checks at the end.
type caller struct {
	id       string
	kind     string
	router   string
	status   int
	whole    bool
	received int // tokens, the prompt's included once something came
	retry    float64
	// told: the answer says when to come back, which may be at once.
	told bool
	// refusal is what an answer without success says.
	refusal string
	err     error
	sent    time.Time
	// answered is when the head of the answer came; zero for none.
	answered time.Time
	ended    time.Time
}

// String is what scripts match.
func (c *caller) String() string { return fmt.Sprintf("status=%d whole=%t", c.status, c.whole) }

// comeBack sends a request, and again each time it is told when to come back, as
// long as its caller waits. Each try has an id of its own.
func (f *fleet) comeBack(q fleetRequest) *caller {
	if q.wait == 0 {
		q.wait = 5 * time.Second
	}
	until := time.Now().Add(q.wait)
	for {
		c := f.ask(q)
		q.wait = time.Until(until) - time.Duration(c.retry*float64(time.Second))
		if c.status != http.StatusServiceUnavailable || !c.told || q.wait <= 0 {
			return c
		}
		time.Sleep(time.Duration(c.retry * float64(time.Second)))
	}
}

// ask sends one request and reads all of its answer.
func (f *fleet) ask(q fleetRequest) *caller {
	if q.key == "" {
		q.key = "k"
	}
	if q.wait == 0 {
		q.wait = 5 * time.Second
	}
	f.mu.Lock()
	f.requests++
	c := &caller{id: fmt.Sprintf("q%05d", f.requests), kind: q.kind, router: q.router, sent: time.Now()}
	f.callers = append(f.callers, c)
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), q.wait+time.Second)
	defer cancel()
	if q.leave > 0 {
		time.AfterFunc(q.leave, cancel)
	}
	f.send(ctx, q, c)
	c.ended = time.Now()
	return c
}

func (f *fleet) send(ctx context.Context, q fleetRequest, c *caller) {
	method, path := http.MethodPost, q.path
	if q.kind == "check" {
		method = http.MethodGet
	}
	if path == "" {
		path = "/" + q.kind + "/x"
	}
	address := fmt.Sprintf("http://%s:%d%s", f.advertised(f.indexOf(q.router)), f.front, path)
	r, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(q.body))
	if err != nil {
		c.err = err
		return
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", c.id)
	r.Header.Set("Api-Key", q.key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.wait.Milliseconds(), 10))
	if q.kind == "stream" {
		r.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", q.prompt, q.events))
	}
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
	c.answered = time.Now()
	c.status = resp.StatusCode
	c.told = resp.Header.Get("Retry-After") != ""
	c.retry, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		c.refusal = string(body)
		return
	}
	if resp.Header.Get("Request-Id") != c.id || resp.Header.Get("Response-Seal") == "" {
		c.err = errors.New("the answer is another request's")
		return
	}
	if q.kind == "stream" {
		c.readEvents(resp.Body, q)
		return
	}
	body, err := io.ReadAll(resp.Body)
	c.whole, c.err = err == nil && string(body) == "done "+c.id, err
	if err == nil && !c.whole {
		c.err = fmt.Errorf("the answer is %q", body)
	}
}

// readEvents reads a stream and checks that its events rise without gaps.
func (c *caller) readEvents(body io.Reader, q fleetRequest) {
	s := bufio.NewScanner(body)
	last := 0
	for s.Scan() {
		v, ok := strings.CutPrefix(s.Text(), "id: ")
		if !ok {
			continue
		}
		n, _ := strconv.Atoi(v)
		if n != last+1 {
			c.err = fmt.Errorf("event %d follows event %d", n, last)
			return
		}
		if last == 0 {
			c.received += q.prompt
		}
		last = n
		c.received++
	}
	c.err = s.Err()
	c.whole = c.err == nil && last == q.events
	if c.err == nil && !c.whole {
		c.err = fmt.Errorf("the stream ended as whole after event %d of %d", last, q.events)
	}
}

// promises checks what must always hold, from what callers and backend servers
// saw, and returns what was broken.
func (f *fleet) promises(prepaid int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	runs := make(map[string]int)
	for name, r := range f.server {
		for _, x := range r.Runs() {
			runs[x.ID]++
			if x.Workspace != "clerks" {
				broken = append(broken, fmt.Sprintf("%s ran %s for workspace %q", name, x.ID, x.Workspace))
			}
			if acked := r.DrainAcked(); !acked.IsZero() && x.At.After(acked.Add(drainWithin)) {
				broken = append(broken, fmt.Sprintf("%s got %s %v after it said that it leaves", name, x.ID, x.At.Sub(acked)))
			}
			if n := r.ColdRuns(x.At); float64(n) > coldRate*coldOverage+coldSlack {
				broken = append(broken, fmt.Sprintf("%s got %d requests in the second before %s, while it was cold", name, n, x.ID))
			}
			if v := f.vacatedAt(r.Hall, x.At); v != nil {
				broken = append(broken, fmt.Sprintf("%s got %s %v after its hall was vacated", name, x.ID, x.At.Sub(v.acked)))
			}
		}
	}
	received := 0
	for _, c := range f.callers {
		received += c.received
		if c.err != nil && strings.Contains(c.err.Error(), "the ") {
			broken = append(broken, fmt.Sprintf("%s: %v", c.id, c.err))
		}
		if c.kind == "hold" && runs[c.id] > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", c.id, runs[c.id]))
		}
		promised := c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
		if c.kind == "hold" && promised && runs[c.id] > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused as not run (%d) and ran", c.id, c.status))
		}
	}
	if received > prepaid {
		broken = append(broken, fmt.Sprintf("%d tokens received of %d", received, prepaid))
	}
	return broken
}

// drainWithin is how long after the acknowledgement a leaving server may still get
// something new.
const drainWithin = 2 * time.Second
