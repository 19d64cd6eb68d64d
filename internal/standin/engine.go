package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// cacheKeyBytes is the length of the prompt prefix that is the key of the prefix cache.
const cacheKeyBytes = 256

type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	// OutputTokens is the number of tokens of the response; 0 for max_tokens.
	OutputTokens int `json:"answer_tokens"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// response is the state of one response.
type response struct {
	s      *Server
	w      http.ResponseWriter
	r      *http.Request
	q      chatRequest
	faults Faults
	run    *Run
	id     string
	prompt int
	text   []string
}

// serveChat handles a chat completion request.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	var q chatRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.MaxTokens < 1 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	run, f, ok := s.begin(w, r)
	if !ok {
		return
	}
	a := &response{s: s, w: w, r: r, q: q, faults: f, run: run, id: "chatcmpl-" + run.ID}
	a.respond()
}

func (a *response) respond() {
	prompt := fmt.Sprintf("%s", a.q.Messages)
	a.prompt = len(prompt)/4 + 1
	from, _ := strconv.Atoi(a.r.Header.Get("X-Resume-From"))
	a.s.update(func() { a.run.Tokens = int64(a.prompt + from) })
	if from == 0 && !a.s.sleep(a.r.Context(), a.s.prefillTime(prompt), a.faults) {
		return
	}
	n := a.q.MaxTokens
	if a.q.OutputTokens > 0 {
		n = min(n, a.q.OutputTokens)
	}
	for i := from; i < n; i++ {
		if !a.generateToken(i) {
			return
		}
	}
	a.s.update(func() { a.run.Complete = true })
	if a.faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	a.finish()
}

// prefillTime returns the simulated prefill time of the prompt and adds it to the cache.
func (s *Server) prefillTime(prompt string) time.Duration {
	key := prompt[:min(len(prompt), cacheKeyBytes)]
	s.mu.Lock()
	defer s.mu.Unlock()
	hit := s.cache.Contains(key)
	s.cache.Add(key, struct{}{})
	d := s.Prefill * time.Duration(len(prompt)) / 1000
	if hit {
		s.cacheHits++
		d /= 10
	}
	return d
}

// generateToken generates one token. It returns false if the response ends early.
func (a *response) generateToken(i int) bool {
	if a.faults.Stuck != 0 && i >= max(a.faults.Stuck, 0) {
		<-a.r.Context().Done()
		return false
	}
	if a.faults.Truncate > 0 && i >= a.faults.Truncate {
		panic(http.ErrAbortHandler)
	}
	if a.faults.BreakOnce > 0 && i >= a.faults.BreakOnce && a.r.Header.Get("X-Resume-From") == "" {
		panic(http.ErrAbortHandler)
	}
	if !a.s.sleep(a.r.Context(), a.s.Token, a.faults) {
		return false
	}
	a.s.update(func() { a.run.Tokens++ })
	word := fmt.Sprintf("%s#%d ", a.run.ID, i)
	if !a.q.Stream {
		a.text = append(a.text, word)
		return true
	}
	if i == 0 {
		a.w.Header().Set("Content-Type", "text/event-stream")
	}
	id := a.id
	if a.faults.MixedID && i > 1 {
		id = "another"
	}
	a.sendEvent(map[string]any{"id": id, "choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": word}}}})
	return true
}

func (a *response) sendEvent(v any) {
	data, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data)
	_ = http.NewResponseController(a.w).Flush()
}

func (a *response) tokenUsage() *usage {
	if a.faults.NoUsage {
		return nil
	}
	done := int(a.run.Tokens) - a.prompt
	return &usage{a.prompt, done, a.prompt + done}
}

func (a *response) finish() {
	if a.q.Stream {
		a.sendEvent(map[string]any{"id": a.id, "choices": []any{}, "usage": a.tokenUsage()})
		_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(map[string]any{
		"id": a.id, "usage": a.tokenUsage(),
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": strings.Join(a.text, "")},
		}},
	})
}

// serveLoad serves the engine's load, with a deliberate delay.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	const lag = 200 * time.Millisecond
	running := len(s.slots)
	time.Sleep(lag)
	_ = json.NewEncoder(w).Encode(map[string]int{"running": running, "slots": cap(s.slots)})
}
