package sumachead

import (
	"net/http"
	"time"
)

// RequestID identifies one request of a caller. A retry by the caller has a new id.
type RequestID string

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// CallerRequest is a caller's request, completely read and decoded.
type CallerRequest struct {
	ID     RequestID
	Method string
	Host   string
	// Path and Query are the escaped forms received from the caller.
	Path  string
	Query string
	// Header is the header that is forwarded unchanged to the backend server.
	Header http.Header
	Body   []byte
	// Key identifies the workspace; empty if the request has no key.
	Key string
	// Deadline is the time until which the caller waits; zero if the caller did not specify it.
	Deadline time.Time
	// PromptTokens is the size of the prompt and MaxOutputTokens the maximum size of the
	// response; both are 0 where tokens are not counted.
	PromptTokens    Tokens
	MaxOutputTokens Tokens
	// Parts are the prompt's parts in order.
	Parts []PromptPart
	// LastEvent is the event after which a stream is to be resumed; empty to start from the
	// beginning.
	LastEvent string
	// Resumes is the ID of the request that received the first event of the stream that is to be
	// resumed; empty if the caller does not name it.
	Resumes RequestID
}

// CallerResponse receives the response to one request. Calls do not overlap.
type CallerResponse interface {
	// Start sends the status and header. A size below 0 means that the length of the body is
	// not known yet. Writes of data that the caller has not received by until fail.
	Start(status int, header http.Header, size int, until time.Time)
	// Write sends a part of the body immediately.
	Write(part []byte) error
}

// Attempt is what a backend server is sent in addition to the caller's request.
type Attempt struct {
	Server    ServerID
	Workspace WorkspaceID
	Deadline  time.Time
	// SendBy is until when the request may be sent; 0 for no limit.
	SendBy BootTime
	// Urgency is 0 for the most urgent.
	Urgency uint32
	// LastEvent takes precedence over that of the caller's request.
	LastEvent string
	// FetchFrom is the address of a server that has cached parts of the prompt, from which the
	// server of this attempt may fetch them instead of computing them; empty if there is none.
	FetchFrom string
}

// ServerNotice is what a backend server reports about itself in any response.
type ServerNotice struct {
	// Leaving is set if the server is about to shut down and takes no new requests.
	Leaving bool
	// BackoffUntil is the time until which the server asks this process to send no requests;
	// zero if it does not ask.
	BackoffUntil time.Time
	// Limit is the maximum rate of requests from all routers together; 0 if the response
	// specifies none.
	Limit RequestRate
	// LimitMalformed is set if the response specifies a limit that cannot be parsed; a limit
	// known before stays in force.
	LimitMalformed bool
	// Malformed describes the part of the notice that cannot be parsed and is ignored; empty if there
	// is none.
	Malformed string
}

// ResponseHead is what the status and header of a backend server's response specify.
type ResponseHead struct {
	ServerNotice
	// ID identifies the request that is answered; empty if not specified.
	ID RequestID
	// NotRun is set if the server reports that it did not and will not run the request.
	NotRun bool
	// Stale is set if another server has the address now.
	Stale bool
	// Failed is set if the server reports that it could not do what was requested.
	Failed bool
	// IdleUntil is when the server closes the connection if it is idle; zero if not specified.
	IdleUntil time.Time
}

// HealthResponse is the response of a backend server to a health check.
type HealthResponse struct {
	ServerNotice
	// Server is the incarnation of the server that has responded; empty if it is not healthy or
	// not specified.
	Server ServerID
	// ColdUntil is the time until which the server is cold; zero if it is warm.
	ColdUntil time.Time
}

// Dialect encodes requests to backend servers and decodes their responses.
type Dialect interface {
	// Encode sets the header fields that a backend server is sent with an attempt.
	Encode(h http.Header, r *CallerRequest, a *Attempt)
	// Decode parses the status and header of a response received at now.
	Decode(status int, h http.Header, now time.Time) ResponseHead
	// Health parses the response to a health check, received at now.
	Health(status int, h http.Header, now time.Time) HealthResponse
}
