// Package load is a load generator: it simulates many callers of routers and
// records response times as HDR histograms and outcomes by verdict and reason.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"sumachead"
	"sumachead/internal/router"
	"sumachead/internal/stricthttp"
)

const (
	// The histograms record up to two minutes, in microseconds.
	maxRecordedMicros = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxLineBytes      = 1 << 20
)

// Plan describes the load. Set the exported fields before Run.
type Plan struct {
	// URLs are the base URLs of routers, or of a backend server for comparison.
	URLs        []string
	Key         string
	Model       string
	Callers     int
	PromptBytes int
	MaxTokens   int
	Stream      bool
	Priority    string
	// SharedPrompts is the number of prompt prefixes that the callers share; 0 gives
	// each request a prefix of its own.
	SharedPrompts int
	// Service is the pool of a plain service to call instead of a model.
	Service string
	// NonIdempotent marks the requests as non-idempotent.
	NonIdempotent bool
	// Rate is the requests per second of all callers together; 0 for no limit.
	Rate   float64
	Until  time.Time
	Client *http.Client
}

// Report is the result of a load.
type Report struct {
	Requests   int64            `json:"requests"`
	Responses  int64            `json:"answers"`
	PerSecond  float64          `json:"answers_per_second"`
	Tokens     int64            `json:"tokens"`
	Outcomes   map[string]int64 `json:"outcomes"`
	FirstToken Quantiles        `json:"first_token"`
	Complete   Quantiles        `json:"whole_answer"`
}

// Quantiles holds quantiles of response times in milliseconds.
type Quantiles struct {
	Median float64 `json:"median_ms"`
	P95    float64 `json:"p95_ms"`
	P99    float64 `json:"p99_ms"`
	Max    float64 `json:"max_ms"`
}

// runner is the state of a running load.
type runner struct {
	plan  *Plan
	began time.Time

	mu         sync.Mutex // guards the fields below
	firstToken *hdrhistogram.Histogram
	complete   *hdrhistogram.Histogram
	outcomes   map[string]int64
	requests   int64
	responses  int64
	tokens     int64
}

// Run sends the load until the end of the plan, or until ctx is done.
func Run(ctx context.Context, p *Plan) *Report {
	r := &runner{
		plan: p, began: time.Now(), outcomes: make(map[string]int64),
		firstToken: hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		complete:   hdrhistogram.New(1, maxRecordedMicros, significantDigits),
	}
	ctx, cancel := context.WithDeadline(ctx, p.Until)
	defer cancel()
	var callers sync.WaitGroup
	for i := range p.Callers {
		callers.Go(func() { r.runCaller(ctx, i) })
	}
	callers.Wait()
	return r.report()
}

// runCaller sends one request after another. A request that has begun is finished even
// after the load has ended.
func (r *runner) runCaller(ctx context.Context, n int) {
	var ticks <-chan time.Time
	if r.plan.Rate > 0 {
		// The starts of the callers are staggered, so that they do not send in bursts.
		interval := time.Duration(float64(time.Second) * float64(r.plan.Callers) / r.plan.Rate)
		time.Sleep(interval * time.Duration(n) / time.Duration(r.plan.Callers))
		t := time.NewTicker(interval)
		defer t.Stop()
		ticks = t.C
	}
	for i := 0; ctx.Err() == nil; i++ {
		if ticks != nil {
			select {
			case <-ticks:
			case <-ctx.Done():
				return
			}
		}
		r.sendAndRecord(n, i)
	}
}

// outcome is the result of one request.
type outcome struct {
	name       string
	ok         bool
	firstToken time.Duration
	complete   time.Duration
	tokens     int64
	retryDelay time.Duration
}

func (r *runner) sendAndRecord(n, i int) {
	o := r.send(n, i)
	r.record(o)
	time.Sleep(o.retryDelay)
}

func (r *runner) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.outcomes[o.name]++
	if !o.ok {
		return
	}
	r.responses++
	r.tokens += o.tokens
	_ = r.firstToken.RecordValue(min(max(o.firstToken.Microseconds(), 1), maxRecordedMicros))
	_ = r.complete.RecordValue(min(max(o.complete.Microseconds(), 1), maxRecordedMicros))
}

func (r *runner) send(n, i int) outcome {
	p := r.plan
	base := strings.TrimSuffix(p.URLs[(n+i)%len(p.URLs)], "/")
	url, body := base+"/v1/chat/completions", r.chatBody(n, i)
	if p.Service != "" {
		url, body = base+"/v1/services/"+p.Service+"/holds", []byte(`{"seat":1}`)
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcome{name: "error: " + err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+p.Key)
	req.Header.Set(router.HeaderKey, uuid.NewString())
	if p.Priority != "" {
		req.Header.Set(router.HeaderPriority, p.Priority)
	}
	if p.NonIdempotent {
		req.Header.Set(router.HeaderNonIdempotent, "true")
	}
	began := time.Now()
	resp, err := p.Client.Do(req)
	if err != nil {
		return outcome{name: "no answer"}
	}
	defer func() { _ = resp.Body.Close() }()
	if stricthttp.Check(resp) != nil {
		return outcome{name: "malformed answer"}
	}
	if resp.StatusCode != http.StatusOK {
		return parseRefusal(resp)
	}
	return r.readResponse(resp, began)
}

func (r *runner) chatBody(n, i int) []byte {
	p := r.plan
	prefix := fmt.Sprintf("caller %d request %d ", n, i)
	if p.SharedPrompts > 0 {
		prefix = fmt.Sprintf("prompt %d ", (n+i)%p.SharedPrompts)
	}
	text := strings.Repeat(prefix, p.PromptBytes/len(prefix)+1)[:max(p.PromptBytes, len(prefix))]
	body, _ := json.Marshal(map[string]any{
		"model": p.Model, "stream": p.Stream, "max_tokens": p.MaxTokens,
		"messages": []any{map[string]string{"role": "user", "content": text}},
	})
	return body
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error struct {
		Verdict sumachead.Verdict `json:"verdict"`
		Reason  sumachead.Reason  `json:"reason"`
		RetryAt time.Time         `json:"retry_at"`
	} `json:"error"`
}

// parseRefusal reads a refusal. The caller retries at the time that the refusal names, but
// waits for at most a second, so that the load is kept up.
func parseRefusal(resp *http.Response) outcome {
	var e errorBody
	data, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(data, &e); err != nil || e.Error.Reason == "" {
		return outcome{name: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	pause := min(max(time.Until(e.Error.RetryAt), 0), time.Second)
	return outcome{name: string(e.Error.Verdict) + " " + string(e.Error.Reason), retryDelay: pause}
}

// readResponse reads a response and checks that it is complete.
func (r *runner) readResponse(resp *http.Response, began time.Time) outcome {
	o := outcome{name: "incomplete answer"}
	if !r.plan.Stream || r.plan.Service != "" {
		data, err := io.ReadAll(resp.Body)
		o.firstToken = time.Since(began)
		o.complete = o.firstToken
		if err == nil && json.Valid(data) {
			o.name, o.ok, o.tokens = "answer", true, totalTokens(data)
		}
		return o
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if o.firstToken == 0 {
			o.firstToken = time.Since(began)
		}
		if data == "[DONE]" {
			o.name, o.ok, o.complete = "answer", true, time.Since(began)
			continue
		}
		if n := totalTokens([]byte(data)); n > 0 {
			o.tokens = n
		}
	}
	return o
}

func totalTokens(data []byte) int64 {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return 0
	}
	var u struct {
		Usage struct {
			Total int64 `json:"total_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal(data, &u)
	return u.Usage.Total
}

func (r *runner) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Report{
		Requests: r.requests, Responses: r.responses, Tokens: r.tokens, Outcomes: r.outcomes,
		PerSecond:  float64(r.responses) / time.Since(r.began).Seconds(),
		FirstToken: quantiles(r.firstToken), Complete: quantiles(r.complete),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(95), at(99), float64(h.Max()) / 1000}
}
