package router

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"sumachead"
	"sumachead/internal/settings"
)

const (
	// promptOverhead covers the tokens that an engine's template adds.
	promptOverhead = 64
	// prefixBytes is how much of the messages finds a server's prefix cache.
	prefixBytes = 256
)

// chatRequest is the part of a chat completion request that the router looks
// at; the rest is passed on as it came.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            jsontext.Value `json:"messages"`
	Stream              bool           `json:"stream,omitzero"`
	StreamOptions       *streamOptions `json:"stream_options,omitzero"`
	MaxTokens           *int64         `json:"max_tokens,omitzero"`
	MaxCompletionTokens *int64         `json:"max_completion_tokens,omitzero"`
	N                   *int64         `json:"n,omitzero"`
	Rest                jsontext.Value `json:",unknown"`
}

type streamOptions struct {
	IncludeUsage bool           `json:"include_usage"`
	Rest         jsontext.Value `json:",unknown"`
}

// chatWork prepares a chat completion.
func chatWork(_ *Router, x *exchange) error {
	var q chatRequest
	if err := json.Unmarshal(x.body, &q); err != nil {
		return notRun(sumachead.ReasonBadRequest, "the body is not a chat completion request: "+err.Error(), time.Time{})
	}
	if q.Messages.Kind() != '[' {
		return notRun(sumachead.ReasonBadRequest, "messages: missing or not a list", time.Time{})
	}
	if q.N != nil && *q.N < 1 || q.outputLimit() < 0 {
		return notRun(sumachead.ReasonBadRequest, "n, max_tokens or max_completion_tokens is out of range", time.Time{})
	}
	if err := x.choosePool(x.view.Model(q.Model), settings.ModelPool); err != nil {
		return err
	}
	limit := x.answerLimit(q.outputLimit())
	q.MaxTokens, q.MaxCompletionTokens = &limit, nil
	wantsStream := q.Stream
	assemble := !q.Stream && q.plain()
	if q.Stream = q.Stream || assemble; q.Stream {
		if q.StreamOptions == nil {
			q.StreamOptions = &streamOptions{}
		}
		q.StreamOptions.IncludeUsage = true
	}
	body, err := json.Marshal(q)
	if err != nil {
		return notRun(sumachead.ReasonBadRequest, err.Error(), time.Time{})
	}
	answers := int64(1)
	if q.N != nil {
		answers = *q.N
	}
	const maxAnswers = 128
	if answers > maxAnswers {
		return notRun(sumachead.ReasonBadRequest, "n is above 128", time.Time{})
	}
	x.work = work{
		method: "POST", path: "/v1/chat/completions", contentType: "application/json",
		body: body, stream: wantsStream, assemble: assemble,
		// No tokenizer makes more tokens than there are bytes.
		bound:  sumachead.Tokens(int64(len(x.body)) + promptOverhead + answers*limit),
		prefix: xxhash.Sum64(q.Messages[:min(len(q.Messages), prefixBytes)]),
	}
	return nil
}

// plain reports whether the answer will be of text alone, so that its parts can
// be put together.
func (q *chatRequest) plain() bool {
	if q.N != nil && *q.N > 1 {
		return false
	}
	var rest map[string]jsontext.Value
	if len(q.Rest) > 0 && json.Unmarshal(q.Rest, &rest) != nil {
		return false
	}
	for _, name := range []string{"tools", "functions", "logprobs", "modalities", "audio", "web_search_options"} {
		if _, ok := rest[name]; ok {
			return false
		}
	}
	return true
}

// outputLimit returns the caller's wish; 0 when there is none.
func (q *chatRequest) outputLimit() int64 {
	switch {
	case q.MaxCompletionTokens != nil:
		return *q.MaxCompletionTokens
	case q.MaxTokens != nil:
		return *q.MaxTokens
	}
	return 0
}

// answerLimit returns the most tokens that the answer may have.
func (x *exchange) answerLimit(wish int64) int64 {
	l := x.workspace.Limits
	if wish == 0 {
		wish = l.DefaultOutputTokens
	}
	return min(wish, l.MaxOutputTokens)
}

// choosePool checks that the workspace may use the pool.
func (x *exchange) choosePool(p *settings.ResolvedPool, kind settings.PoolKind) error {
	if p == nil || p.Kind != kind {
		return notRun(sumachead.ReasonUnknownPool, "no pool serves this", time.Time{})
	}
	if !x.workspace.May(p.ID) {
		return notRun(sumachead.ReasonPoolForbidden, "the workspace may not use this pool", time.Time{})
	}
	x.pool = p
	return nil
}

// serviceWork prepares a call to a plain service.
func serviceWork(_ *Router, x *exchange) error {
	pool := x.view.Pool(sumachead.PoolID(chi.URLParam(x.r, "pool")))
	if err := x.choosePool(pool, settings.ServicePool); err != nil {
		return err
	}
	x.work = work{
		method: x.r.Method, path: "/" + chi.URLParam(x.r, "*"), query: x.r.URL.RawQuery,
		contentType: x.r.Header.Get("Content-Type"), body: x.body,
		bound: pool.CallCost, flatCost: pool.CallCost,
	}
	return nil
}
