package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sumachead/internal/router"
)

// request is one request of a caller.
type request struct {
	router        string
	key           string
	hold          bool
	stream        bool
	tokens        int
	nonIdempotent bool
	priority      string
	bearer        string
	body          string
	timeout       time.Duration
	deadline      time.Duration
}

// response is the outcome of a request as its caller saw it.
type response struct {
	status     int
	body       string
	complete   bool
	verdict    string
	reason     string
	retryAfter string
	duration   time.Duration
}

// String formats the response as scripts match it.
func (a response) String() string {
	return fmt.Sprintf("status=%d whole=%v verdict=%s reason=%s retry_after=%s", a.status, a.complete, a.verdict, a.reason, a.retryAfter)
}

func (q request) build(base string) (*http.Request, error) {
	url, body := base+"/v1/chat/completions", q.body
	if q.hold {
		url = base + "/v1/services/booking/holds"
	}
	if body == "" {
		body = fmt.Sprintf(`{"model":"assistant","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"question %s"}]}`, q.stream, q.tokens, q.key)
	}
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	set := func(name, value string) {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	set("Authorization", "Bearer "+q.bearer)
	set("Content-Type", "application/json")
	set(router.HeaderKey, q.key)
	set(router.HeaderPriority, q.priority)
	if q.nonIdempotent {
		set(router.HeaderNonIdempotent, "true")
	}
	if q.deadline != 0 {
		set(router.HeaderDeadline, time.Now().Add(q.deadline).Format(time.RFC3339Nano))
	}
	return r, nil
}

// call sends a request, reads the whole response and records how long it took.
func (s *system) call(q request) response {
	start := time.Now()
	a := s.roundTrip(q)
	a.duration = time.Since(start)
	return a
}

func (s *system) roundTrip(q request) response {
	p := s.processes[q.router]
	if p == nil {
		return response{reason: "no_such_router"}
	}
	r, err := q.build("http://" + p.http)
	if err != nil {
		return response{reason: err.Error()}
	}
	client := &http.Client{Timeout: q.timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return response{reason: "no_answer"}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a := response{status: resp.StatusCode, body: string(data), retryAfter: resp.Header.Get("Retry-After")}
	if resp.StatusCode != http.StatusOK {
		a.readError(data)
		return a
	}
	if i := bytes.Index(data, []byte("event: error\ndata: ")); i >= 0 {
		a.readError(data[i+len("event: error\ndata: "):])
		return a
	}
	if err != nil {
		a.reason = "broken_off"
		return a
	}
	a.complete = json.Valid(data) || strings.HasSuffix(a.body, "data: [DONE]\n\n")
	return a
}

func (a *response) readError(data []byte) {
	var e struct {
		Error struct{ Verdict, Reason string }
	}
	line, _, _ := bytes.Cut(data, []byte("\n"))
	if json.Unmarshal(line, &e) == nil {
		a.verdict, a.reason = e.Error.Verdict, e.Error.Reason
	}
}
