// Package load sends a load of many callers to routers and counts what comes
// back: times as HDR histograms, and outcomes by verdict and reason.
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
)

const (
	// The histograms hold microseconds up to two minutes.
	histogramMost   = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxLine         = 1 << 20
)

// Plan says what to send. Exported fields are set before Run.
type Plan struct {
	// URLs are routers, or the backend server itself to compare with.
	URLs      []string
	Key       string
	Model     string
	Callers   int
	Prompt    int
	MaxTokens int
	Stream    bool
	Priority  string
	// Prompts is how many different prompt prefixes the callers share; 0
	// gives each request one of its own.
	Prompts int
	// Service sends calls to a plain service of this pool instead.
	Service string
	// NotRepeatable marks the requests.
	NotRepeatable bool
	// Rate is the requests a second of all callers; 0 for as fast as they go.
	Rate   float64
	Until  time.Time
	Client *http.Client
}

// Report is the outcome of a load.
type Report struct {
	Requests  int64            `json:"requests"`
	Answers   int64            `json:"answers"`
	PerSecond float64          `json:"answers_per_second"`
	Tokens    int64            `json:"tokens"`
	Outcomes  map[string]int64 `json:"outcomes"`
	First     Times            `json:"first_token"`
	Whole     Times            `json:"whole_answer"`
}

// Times are quantiles in milliseconds.
type Times struct {
	Median float64 `json:"median_ms"`
	P95    float64 `json:"p95_ms"`
	P99    float64 `json:"p99_ms"`
	Max    float64 `json:"max_ms"`
}

// runner is a load under way.
type runner struct {
	plan  *Plan
	began time.Time

	mu       sync.Mutex // guards the fields below
	first    *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	outcomes map[string]int64
	requests int64
	answers  int64
	tokens   int64
}

// Run sends the load until the plan's end or that of ctx.
func Run(ctx context.Context, p *Plan) *Report {
	r := &runner{
		plan: p, began: time.Now(), outcomes: make(map[string]int64),
		first: hdrhistogram.New(1, histogramMost, histogramDigits),
		whole: hdrhistogram.New(1, histogramMost, histogramDigits),
	}
	ctx, cancel := context.WithDeadline(ctx, p.Until)
	defer cancel()
	var callers sync.WaitGroup
	for i := range p.Callers {
		callers.Go(func() { r.caller(ctx, i) })
	}
	callers.Wait()
	return r.report()
}

// caller sends one request after another. A request that has begun is
// finished.
func (r *runner) caller(ctx context.Context, n int) {
	var ticks <-chan time.Time
	if r.plan.Rate > 0 {
		// The callers begin one after another, so that they do not beat as one.
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
		r.one(n, i)
	}
}

// outcome is how one request ended.
type outcome struct {
	name   string
	ok     bool
	first  time.Duration
	whole  time.Duration
	tokens int64
	pause  time.Duration
}

func (r *runner) one(n, i int) {
	o := r.send(n, i)
	r.note(o)
	time.Sleep(o.pause)
}

func (r *runner) note(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.outcomes[o.name]++
	if !o.ok {
		return
	}
	r.answers++
	r.tokens += o.tokens
	_ = r.first.RecordValue(min(max(o.first.Microseconds(), 1), histogramMost))
	_ = r.whole.RecordValue(min(max(o.whole.Microseconds(), 1), histogramMost))
}

func (r *runner) send(n, i int) outcome {
	p := r.plan
	base := strings.TrimSuffix(p.URLs[(n+i)%len(p.URLs)], "/")
	url, body := base+"/v1/chat/completions", r.chat(n, i)
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
	if p.NotRepeatable {
		req.Header.Set(router.HeaderNotRepeatable, "true")
	}
	began := time.Now()
	resp, err := p.Client.Do(req)
	if err != nil {
		return outcome{name: "no answer"}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	return r.read(resp, began)
}

func (r *runner) chat(n, i int) []byte {
	p := r.plan
	prefix := fmt.Sprintf("caller %d request %d ", n, i)
	if p.Prompts > 0 {
		prefix = fmt.Sprintf("prompt %d ", (n+i)%p.Prompts)
	}
	text := strings.Repeat(prefix, p.Prompt/len(prefix)+1)[:max(p.Prompt, len(prefix))]
	body, _ := json.Marshal(map[string]any{
		"model": p.Model, "stream": p.Stream, "max_tokens": p.MaxTokens,
		"messages": []any{map[string]string{"role": "user", "content": text}},
	})
	return body
}

// errorBody is the form of a refusal.
type errorBody struct {
	Error struct {
		Verdict sumachead.Verdict `json:"verdict"`
		Reason  sumachead.Reason  `json:"reason"`
		RetryAt time.Time         `json:"retry_at"`
	} `json:"error"`
}

// refused reads a refusal; the caller comes back when it is told to, but
// within the second, so that a load stays a load.
func refused(resp *http.Response) outcome {
	var e errorBody
	data, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(data, &e); err != nil || e.Error.Reason == "" {
		return outcome{name: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	pause := min(max(time.Until(e.Error.RetryAt), 0), time.Second)
	return outcome{name: string(e.Error.Verdict) + " " + string(e.Error.Reason), pause: pause}
}

// read takes an answer in and checks that it is whole.
func (r *runner) read(resp *http.Response, began time.Time) outcome {
	o := outcome{name: "incomplete answer"}
	if !r.plan.Stream || r.plan.Service != "" {
		data, err := io.ReadAll(resp.Body)
		o.first = time.Since(began)
		o.whole = o.first
		if err == nil && json.Valid(data) {
			o.name, o.ok, o.tokens = "answer", true, usageOf(data)
		}
		return o
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if o.first == 0 {
			o.first = time.Since(began)
		}
		if data == "[DONE]" {
			o.name, o.ok, o.whole = "answer", true, time.Since(began)
			continue
		}
		if n := usageOf([]byte(data)); n > 0 {
			o.tokens = n
		}
	}
	return o
}

func usageOf(data []byte) int64 {
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
		Requests: r.requests, Answers: r.answers, Tokens: r.tokens, Outcomes: r.outcomes,
		PerSecond: float64(r.answers) / time.Since(r.began).Seconds(),
		First:     times(r.first), Whole: times(r.whole),
	}
}

func times(h *hdrhistogram.Histogram) Times {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Times{at(50), at(95), at(99), float64(h.Max()) / 1000}
}
