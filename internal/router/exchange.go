package router

import (
	"net/http"
	"time"

	"sumachead"
	"sumachead/internal/chain"
	"sumachead/internal/settings"
)

// Headers of callers' requests and of answers.
const (
	HeaderKey           = "Idempotency-Key"
	HeaderDeadline      = "Sumachead-Deadline"
	HeaderNotRepeatable = "Sumachead-Not-Repeatable"
	HeaderPriority      = "Sumachead-Priority"
	HeaderRequestID     = "X-Request-Id"
	HeaderAttempts      = "Sumachead-Attempts"
)

// exchange is one caller's request on its way through the filters. Each filter
// fills in its part.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	view      *settings.View
	workspace *settings.ResolvedWorkspace
	pool      *settings.ResolvedPool
	body      []byte
	work      work

	key sumachead.RequestKey
	// callersKey: the caller chose the key, and may have sent it before.
	callersKey    bool
	deadline      time.Time
	priority      sumachead.Priority
	notRepeatable bool

	// answered: the head of the answer has been sent to the caller.
	answered bool
	attempts int
}

// work is what is to be run, as the backend server will see it.
type work struct {
	method      string
	path        string
	query       string
	contentType string
	body        []byte
	stream      bool
	// assemble: the backend server streams, the caller gets one whole.
	assemble bool
	// bound is the most that it can cost.
	bound sumachead.Tokens
	// flatCost is what a plain service's call costs.
	flatCost sumachead.Tokens
	// prefix hashes the prompt's start; 0 when there is none.
	prefix uint64
}

// handler deals with an exchange.
type handler = chain.Handler[*exchange]

// notRun is a refusal before anything was dispatched.
func notRun(reason sumachead.Reason, detail string, retryAt time.Time) error {
	return refuseNotRun(reason, detail, retryAt)
}

func refuseNotRun(reason sumachead.Reason, detail string, retryAt time.Time) *sumachead.Refusal {
	return sumachead.Refuse(sumachead.NotRun, reason, detail, retryAt)
}

// unsure widens a refusal that was made without a look at the ledger: when the
// caller chose the key, an earlier copy of the request may have run.
func (x *exchange) unsure(f *sumachead.Refusal) *sumachead.Refusal {
	if !x.callersKey || f.Verdict != sumachead.NotRun {
		return f
	}
	g := *f
	g.Verdict = sumachead.MayHaveRun
	return &g
}
