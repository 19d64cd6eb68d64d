package sumachead

import (
	"net/http"
	"time"
)

// RequestID names one request of a caller. A caller that tries again draws
// another.
type RequestID string

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// CallerRequest is a caller's request, read whole and decoded.
type CallerRequest struct {
	ID     RequestID
	Method string
	Host   string
	// Path and Query are as they came, escaped.
	Path  string
	Query string
	// Header is what goes on to the backend server as it came.
	Header http.Header
	Body   []byte
	// Key names the workspace; empty for none.
	Key string
	// Deadline is until when the caller waits; zero for no word of it.
	Deadline time.Time
	// PromptTokens and AnswerTokens are the size of the prompt and the most
	// that may be answered; 0 where tokens are not counted.
	PromptTokens Tokens
	AnswerTokens Tokens
	// Parts are the prompt's parts in order.
	Parts []PromptPart
	// LastEvent is the event after which a stream is to go on; empty for the
	// start.
	LastEvent string
}

// CallerAnswer takes the answer to one request. Calls do not overlap.
type CallerAnswer interface {
	// Start sends the head. A size below 0 means that the answer's end is not
	// known yet. What the caller has not taken by until is not written any more:
	// the write fails.
	Start(status int, header http.Header, size int, until time.Time)
	// Write sends a part of the body at once.
	Write(part []byte) error
}

// Attempt is what a backend server is told beside the caller's request.
type Attempt struct {
	Server    ServerID
	Workspace WorkspaceID
	Deadline  time.Time
	// Urgency is 0 for the most urgent.
	Urgency uint32
	// LastEvent goes before the caller's own.
	LastEvent string
	// FetchFrom is the address of a server that keeps parts of the prompt, which the
	// server of this attempt may fetch instead of reading them; empty for none.
	FetchFrom string
}

// ServerNotice is what a backend server says of itself in an answer, whatever it answers.
type ServerNotice struct {
	// Leaving: the server is about to end, and wants nothing new.
	Leaving bool
	// RestUntil is until when it wants nothing from this process; zero for no such wish.
	RestUntil time.Time
	// Limit is the rate of requests that it takes from all routers together; 0 where the
	// answer names none.
	Limit RequestRate
	// LimitUnclear: the answer names a limit that can't be read; one that was known holds.
	LimitUnclear bool
	// Unreadable is what it says that can't be read, and that counts for nothing; empty
	// where all can be.
	Unreadable string
}

// AnswerHead is what the head of a backend server's answer says.
type AnswerHead struct {
	ServerNotice
	// ID is that of the request it answers; empty when it does not say.
	ID RequestID
	// NotRun: the server says that it did not run the request and will not.
	NotRun bool
	// Stale: another server has the address now.
	Stale bool
	// Failed: the server says that it could not do what was asked.
	Failed bool
	// IdleUntil is when the server closes the connection if it rests; zero when
	// it does not say.
	IdleUntil time.Time
}

// HealthAnswer is what a backend server answers to a health check.
type HealthAnswer struct {
	ServerNotice
	// Server is which life of it has answered; empty where it is not well or does not
	// say.
	Server ServerID
	// ColdUntil is until when it is cold; zero for a warm one.
	ColdUntil time.Time
}

// Dialect translates between the product and what backend servers speak.
type Dialect interface {
	// Encode sets what the server is told on the header of a request.
	Encode(h http.Header, r *CallerRequest, a *Attempt)
	// Decode reads the head of an answer that came at now.
	Decode(status int, h http.Header, now time.Time) AnswerHead
	// Health reads the answer to a health check that came at now.
	Health(status int, h http.Header, now time.Time) HealthAnswer
}
