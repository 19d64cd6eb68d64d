package router

import (
	"net/http"
	"time"

	"sumachead"
	"sumachead/internal/chain"
	"sumachead/internal/settings"
)

// Headers of callers' requests and of responses.
const (
	HeaderKey           = "Idempotency-Key"
	HeaderDeadline      = "Sumachead-Deadline"
	HeaderNonIdempotent = "Sumachead-Not-Repeatable"
	HeaderPriority      = "Sumachead-Priority"
	HeaderRequestID     = "X-Request-Id"
	HeaderAttempts      = "Sumachead-Attempts"
)

// exchange holds one caller's request as it passes through the filters. Each
// filter fills in its fields.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	view      *settings.View
	workspace *settings.ResolvedWorkspace
	pool      *settings.ResolvedPool
	body      []byte
	backend   backendRequest

	key sumachead.RequestKey
	// callerChoseKey is set when the caller chose the key. An earlier request may
	// have used the same key.
	callerChoseKey bool
	deadline       time.Time
	priority       sumachead.Priority
	nonIdempotent  bool

	// headerSent is set once the response header has been sent to the caller.
	headerSent bool
	attempts   int
}

// backendRequest is the request to be sent to the backend server.
type backendRequest struct {
	method      string
	path        string
	query       string
	contentType string
	body        []byte
	stream      bool
	// assemble is set when the backend server streams but the caller gets the
	// response in one piece.
	assemble bool
	// maxCost is the upper bound of the cost.
	maxCost sumachead.Tokens
	// flatCost is the cost of a call to a plain service.
	flatCost sumachead.Tokens
	// prefixHash is the hash of the start of the prompt; 0 without a prompt.
	prefixHash uint64
}

// handler handles an exchange.
type handler = chain.Handler[*exchange]

// notRun returns a refusal of a request that was not dispatched.
func notRun(reason sumachead.Reason, detail string, retryAt time.Time) error {
	return refuseNotRun(reason, detail, retryAt)
}

func refuseNotRun(reason sumachead.Reason, detail string, retryAt time.Time) *sumachead.Refusal {
	return sumachead.Refuse(sumachead.NotRun, reason, detail, retryAt)
}

// widenForCallerKey changes the verdict of a refusal that was made without consulting the
// ledger from NotRun to MayHaveRun if the caller chose the key: an earlier
// request with the key may have run.
func (x *exchange) widenForCallerKey(f *sumachead.Refusal) *sumachead.Refusal {
	if !x.callerChoseKey || f.Verdict != sumachead.NotRun {
		return f
	}
	g := *f
	g.Verdict = sumachead.MayHaveRun
	return &g
}
