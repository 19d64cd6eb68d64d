// Package standin simulates backend servers for the demo and for tests: a model
// engine and a plain booking service, with fault injection.
//
// Each [Server] records every request that it runs, so that a scenario can check
// how often each request ran. Faults are set by POST /admin/faults, and the record
// is read by GET /admin/runs.
package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Kind is the kind of a simulated backend server.
type Kind string

// The kinds.
const (
	Engine  Kind = "model"
	Service Kind = "service"
)

// Faults are the faults that a [Server] can inject. All are off initially.
type Faults struct {
	// Slow is the factor by which all times are multiplied; 0 means 1.
	Slow float64 `json:"slow"`
	// Stuck stalls the response after this many tokens; -1 before the first.
	Stuck int `json:"stuck"`
	// Crossed sends the response with the ID of another request.
	Crossed bool `json:"crossed"`
	// MixedID changes the ID within the response.
	MixedID bool `json:"mixed_id"`
	// Truncate closes the connection after this many tokens.
	Truncate int `json:"truncate"`
	// BreakOnce is like Truncate, but a resumed response completes.
	BreakOnce int `json:"break_once"`
	// NoUsage omits the token usage from the response.
	NoUsage bool `json:"no_usage"`
	// LoseResponse runs the request, but never sends its response.
	LoseResponse bool `json:"lose_answer"`
	// Refuse responds with status 503 and runs nothing.
	Refuse bool `json:"refuse"`
	// Backoff is the backoff in seconds that the server requests when it refuses; above 0 it
	// refuses all requests.
	Backoff float64 `json:"rest"`
}

// Run is the record of one request.
type Run struct {
	ID       string `json:"id"`
	Path     string `json:"path"`
	Tokens   int64  `json:"tokens"`
	Complete bool   `json:"whole"`
}

// Server is a simulated backend server. Set the exported fields before Handler.
type Server struct {
	Kind Kind
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// Prefill is the prefill time for 1,000 uncached bytes of a prompt.
	Prefill time.Duration
	// Token is the time between tokens.
	Token time.Duration
	// CacheEntries is the size of the prefix cache in prompt prefixes.
	CacheEntries int
	// ChecksEpoch makes the server refuse requests with an epoch below the highest
	// that it has seen.
	ChecksEpoch bool

	slots chan struct{}

	mu        sync.Mutex // guards the fields below
	faults    Faults
	runs      []*Run
	cacheHits int
	// refused counts the requests that were refused with status 503.
	refused int
	cache   *simplelru.LRU[string, struct{}]
	epoch   uint64
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	s.slots = make(chan struct{}, max(s.Slots, 1))
	s.cache, _ = simplelru.NewLRU[string, struct{}](max(s.CacheEntries, 1), nil)
	m := chi.NewRouter()
	m.Get("/admin/runs", s.showRuns)
	m.Post("/admin/faults", s.setFaults)
	if s.Kind == Engine {
		m.Post("/v1/chat/completions", s.serveChat)
		m.Get("/load", s.serveLoad)
	} else {
		m.HandleFunc("/*", s.serveCall)
	}
	return m
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Record is the response of GET /admin/runs.
type Record struct {
	Runs      []*Run `json:"runs"`
	CacheHits int    `json:"hits"`
	// Refused counts the requests that were refused with status 503.
	Refused int `json:"refused"`
}

func (s *Server) showRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Record{s.runs, s.cacheHits, s.refused})
}

// begin records a run, or refuses the request.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*Run, Faults, bool) {
	epoch, _ := strconv.ParseUint(r.Header.Get("Sumachead-Epoch"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if backoff := s.faults.Backoff; backoff > 0 {
		const bits = 64
		w.Header().Set("Retry-After", strconv.FormatFloat(backoff, 'f', -1, bits))
	}
	if s.faults.Backoff > 0 || s.faults.Refuse || (s.ChecksEpoch && epoch < s.epoch) {
		s.refused++
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return nil, s.faults, false
	}
	s.epoch = max(s.epoch, epoch)
	run := s.resumedRun(r)
	if run == nil {
		run = &Run{ID: r.Header.Get("X-Request-Id"), Path: r.URL.Path}
		s.runs = append(s.runs, run)
	}
	echo := run.ID
	if s.faults.Crossed {
		echo = "another"
	}
	w.Header().Set("X-Request-Id", echo)
	return run, s.faults, true
}

// resumedRun returns the run that a request asks to resume; nil for none. The caller
// holds mu.
func (s *Server) resumedRun(r *http.Request) *Run {
	if r.Header.Get("X-Resume-From") == "" {
		return nil
	}
	for _, run := range s.runs {
		if run.ID == r.Header.Get("X-Request-Id") && !run.Complete {
			return run
		}
	}
	return nil
}

// update calls f, which updates the record of a run, with mu held.
func (s *Server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// serveCall handles a call to a plain service.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	run, f, ok := s.begin(w, r)
	if !ok {
		return
	}
	s.sleep(r.Context(), s.Token, f)
	s.update(func() { run.Complete = true })
	if f.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"done": run.ID})
}

// sleep waits for d, multiplied by the Slow factor. It returns false if the caller has
// disconnected.
func (s *Server) sleep(ctx context.Context, d time.Duration, f Faults) bool {
	if f.Slow > 0 {
		d = time.Duration(float64(d) * f.Slow)
	}
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
