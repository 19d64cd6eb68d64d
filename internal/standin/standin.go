// Package standin plays the backend servers in the demo and in tests: a model
// engine and a plain booking service, with switches for faults.
//
// Each [Server] records every request that it runs, so that a scenario can ask
// how often each did. Faults are switched by POST /admin/faults and the record
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

// Kind says what a stand-in plays.
type Kind string

// The kinds.
const (
	Engine  Kind = "model"
	Service Kind = "service"
)

// Faults are switches; all are off at the start.
type Faults struct {
	// Slow multiplies the times by this factor; 0 means 1.
	Slow float64 `json:"slow"`
	// Stuck: the answer stops after this many tokens; -1 before the first.
	Stuck int `json:"stuck"`
	// Crossed: the answer bears another request's id.
	Crossed bool `json:"crossed"`
	// MixedID: the answer changes to another id in its middle.
	MixedID bool `json:"mixed_id"`
	// Truncate: the connection breaks off after this many tokens.
	Truncate int `json:"truncate"`
	// BreakOnce: like Truncate, but a resumed answer goes on to its end.
	BreakOnce int `json:"break_once"`
	// NoUsage: the answer does not say what it used.
	NoUsage bool `json:"no_usage"`
	// LoseAnswer: the request runs, but its answer is never sent.
	LoseAnswer bool `json:"lose_answer"`
	// Refuse: the server answers 503 and runs nothing.
	Refuse bool `json:"refuse"`
	// Rest is for how many seconds the server asks for rest when it refuses; above 0 it
	// refuses all.
	Rest float64 `json:"rest"`
}

// Run is the record of one request.
type Run struct {
	ID     string `json:"id"`
	Path   string `json:"path"`
	Tokens int64  `json:"tokens"`
	Whole  bool   `json:"whole"`
}

// Server is a stand-in. Set the exported fields before Handler.
type Server struct {
	Kind Kind
	// Slots is how many requests an engine runs at once.
	Slots int
	// Prefill is the time for 1,000 bytes of prompt that are not cached.
	Prefill time.Duration
	// Token is the time between tokens.
	Token time.Duration
	// CacheEntries is how many prompt prefixes are remembered.
	CacheEntries int
	// ChecksEpoch: orders under a lower epoch than the highest seen are
	// refused.
	ChecksEpoch bool

	slots chan struct{}

	mu     sync.Mutex // guards the fields below
	faults Faults
	runs   []*Run
	hits   int
	// refused counts what was answered with 503.
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
		m.Post("/v1/chat/completions", s.chat)
		m.Get("/load", s.load)
	} else {
		m.HandleFunc("/*", s.call)
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

// Record is what GET /admin/runs answers.
type Record struct {
	Runs []*Run `json:"runs"`
	Hits int    `json:"hits"`
	// Refused counts what was answered with 503.
	Refused int `json:"refused"`
}

func (s *Server) showRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Record{s.runs, s.hits, s.refused})
}

// begin records a run, or refuses it.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*Run, Faults, bool) {
	epoch, _ := strconv.ParseUint(r.Header.Get("Sumachead-Epoch"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rest := s.faults.Rest; rest > 0 {
		const bits = 64
		w.Header().Set("Retry-After", strconv.FormatFloat(rest, 'f', -1, bits))
	}
	if s.faults.Rest > 0 || s.faults.Refuse || (s.ChecksEpoch && epoch < s.epoch) {
		s.refused++
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return nil, s.faults, false
	}
	s.epoch = max(s.epoch, epoch)
	run := s.resumed(r)
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

// resumed returns the run that a request asks to go on with; nil for none. The
// caller holds mu.
func (s *Server) resumed(r *http.Request) *Run {
	if r.Header.Get("X-Resume-From") == "" {
		return nil
	}
	for _, run := range s.runs {
		if run.ID == r.Header.Get("X-Request-Id") && !run.Whole {
			return run
		}
	}
	return nil
}

// note changes a run's record.
func (s *Server) note(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// call plays one call of a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	run, f, ok := s.begin(w, r)
	if !ok {
		return
	}
	s.pause(r.Context(), s.Token, f)
	s.note(func() { run.Whole = true })
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"done": run.ID})
}

// pause waits for d, as far as the faults stretch it; false means that the
// caller has gone.
func (s *Server) pause(ctx context.Context, d time.Duration, f Faults) bool {
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
