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
	// promptOverhead is an allowance for the tokens that an engine's template adds.
	promptOverhead = 64
	// prefixBytes is the length of the messages' prefix by which the scheduler
	// finds a server that has the prompt in its prefix cache.
	prefixBytes = 256
)

// chatRequest is the part of a chat completion request that the router reads.
// The other members are forwarded unchanged.
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

// prepareChat parses a chat completion request and sets the backend request.
func prepareChat(_ *Router, x *exchange) error {
	var q chatRequest
	if err := json.Unmarshal(x.body, &q); err != nil {
		return notRun(sumachead.ReasonBadRequest, "the body is not a chat completion request: "+err.Error(), time.Time{})
	}
	if q.Messages.Kind() != '[' {
		return notRun(sumachead.ReasonBadRequest, "messages: missing or not a list", time.Time{})
	}
	if q.N != nil && *q.N < 1 || q.requestedTokens() < 0 {
		return notRun(sumachead.ReasonBadRequest, "n, max_tokens or max_completion_tokens is out of range", time.Time{})
	}
	if err := x.selectPool(x.view.Model(q.Model), settings.ModelPool); err != nil {
		return err
	}
	limit := x.outputTokenLimit(q.requestedTokens())
	q.MaxTokens, q.MaxCompletionTokens = &limit, nil
	wantsStream := q.Stream
	assemble := !q.Stream && q.isPlainText()
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
	choices := int64(1)
	if q.N != nil {
		choices = *q.N
	}
	const maxChoices = 128
	if choices > maxChoices {
		return notRun(sumachead.ReasonBadRequest, "n is above 128", time.Time{})
	}
	x.backend = backendRequest{
		method: "POST", path: "/v1/chat/completions", contentType: "application/json",
		body: body, stream: wantsStream, assemble: assemble,
		// No tokenizer makes more tokens than there are bytes.
		maxCost:    sumachead.Tokens(int64(len(x.body)) + promptOverhead + choices*limit),
		prefixHash: xxhash.Sum64(q.Messages[:min(len(q.Messages), prefixBytes)]),
	}
	return nil
}

// isPlainText reports whether the response will consist of text alone, so that its
// chunks can be assembled.
func (q *chatRequest) isPlainText() bool {
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

// requestedTokens returns the maximum of output tokens that the caller requested; 0
// if it requested none.
func (q *chatRequest) requestedTokens() int64 {
	switch {
	case q.MaxCompletionTokens != nil:
		return *q.MaxCompletionTokens
	case q.MaxTokens != nil:
		return *q.MaxTokens
	}
	return 0
}

// outputTokenLimit returns the maximum of output tokens of the response.
func (x *exchange) outputTokenLimit(requested int64) int64 {
	l := x.workspace.Limits
	if requested == 0 {
		requested = l.DefaultOutputTokens
	}
	return min(requested, l.MaxOutputTokens)
}

// selectPool sets the pool of the request if the workspace may use it.
func (x *exchange) selectPool(p *settings.ResolvedPool, kind settings.PoolKind) error {
	if p == nil || p.Kind != kind {
		return notRun(sumachead.ReasonUnknownPool, "no pool serves this", time.Time{})
	}
	if !x.workspace.CanUse(p.ID) {
		return notRun(sumachead.ReasonPoolForbidden, "the workspace may not use this pool", time.Time{})
	}
	x.pool = p
	return nil
}

// prepareServiceCall sets the backend request for a call to a plain service.
func prepareServiceCall(_ *Router, x *exchange) error {
	pool := x.view.Pool(sumachead.PoolID(chi.URLParam(x.r, "pool")))
	if err := x.selectPool(pool, settings.ServicePool); err != nil {
		return err
	}
	x.backend = backendRequest{
		method: x.r.Method, path: "/" + chi.URLParam(x.r, "*"), query: x.r.URL.RawQuery,
		contentType: x.r.Header.Get("Content-Type"), body: x.body,
		maxCost: pool.CallCost, flatCost: pool.CallCost,
	}
	return nil
}
