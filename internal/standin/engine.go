package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// cachedPrefix is how much of the prompt the prefix cache goes by.
const cachedPrefix = 256

type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	// Answer asks for so many tokens; all that max_tokens allows when 0.
	Answer int `json:"answer_tokens"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// answer is one answer on its way.
type answer struct {
	s      *Server
	w      http.ResponseWriter
	r      *http.Request
	q      chatRequest
	f      Faults
	run    *Run
	id     string
	prompt int
	text   []string
}

// chat plays one chat completion.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
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
	a := &answer{s: s, w: w, r: r, q: q, f: f, run: run, id: "chatcmpl-" + run.ID}
	a.play()
}

func (a *answer) play() {
	prompt := fmt.Sprintf("%s", a.q.Messages)
	a.prompt = len(prompt)/4 + 1
	from, _ := strconv.Atoi(a.r.Header.Get("X-Resume-From"))
	a.s.note(func() { a.run.Tokens = int64(a.prompt + from) })
	if from == 0 && !a.s.pause(a.r.Context(), a.s.prefill(prompt), a.f) {
		return
	}
	n := a.q.MaxTokens
	if a.q.Answer > 0 {
		n = min(n, a.q.Answer)
	}
	for i := from; i < n; i++ {
		if !a.token(i) {
			return
		}
	}
	a.s.note(func() { a.run.Whole = true })
	if a.f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	a.end()
}

// prefill returns how long the prompt takes.
func (s *Server) prefill(prompt string) time.Duration {
	key := prompt[:min(len(prompt), cachedPrefix)]
	s.mu.Lock()
	defer s.mu.Unlock()
	hit := s.cache.Contains(key)
	s.cache.Add(key, struct{}{})
	d := s.Prefill * time.Duration(len(prompt)) / 1000
	if hit {
		s.hits++
		d /= 10
	}
	return d
}

// token makes one token; false ends the answer.
func (a *answer) token(i int) bool {
	if a.f.Stuck != 0 && i >= max(a.f.Stuck, 0) {
		<-a.r.Context().Done()
		return false
	}
	if a.f.Truncate > 0 && i >= a.f.Truncate {
		panic(http.ErrAbortHandler)
	}
	if a.f.BreakOnce > 0 && i >= a.f.BreakOnce && a.r.Header.Get("X-Resume-From") == "" {
		panic(http.ErrAbortHandler)
	}
	if !a.s.pause(a.r.Context(), a.s.Token, a.f) {
		return false
	}
	a.s.note(func() { a.run.Tokens++ })
	word := fmt.Sprintf("%s#%d ", a.run.ID, i)
	if !a.q.Stream {
		a.text = append(a.text, word)
		return true
	}
	if i == 0 {
		a.w.Header().Set("Content-Type", "text/event-stream")
	}
	id := a.id
	if a.f.MixedID && i > 1 {
		id = "another"
	}
	a.event(map[string]any{"id": id, "choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": word}}}})
	return true
}

func (a *answer) event(v any) {
	data, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data)
	_ = http.NewResponseController(a.w).Flush()
}

func (a *answer) usage() *usage {
	if a.f.NoUsage {
		return nil
	}
	done := int(a.run.Tokens) - a.prompt
	return &usage{a.prompt, done, a.prompt + done}
}

func (a *answer) end() {
	if a.q.Stream {
		a.event(map[string]any{"id": a.id, "choices": []any{}, "usage": a.usage()})
		_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(map[string]any{
		"id": a.id, "usage": a.usage(),
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": strings.Join(a.text, "")},
		}},
	})
}

// load tells the engine's load, late on purpose.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	const lag = 200 * time.Millisecond
	running := len(s.slots)
	time.Sleep(lag)
	_ = json.NewEncoder(w).Encode(map[string]int{"running": running, "slots": cap(s.slots)})
}
