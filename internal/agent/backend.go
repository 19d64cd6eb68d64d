package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/gravitational/trace"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/backoff"
	"sumachead/internal/settings"
)

// Headers that the agent sets towards the backend server.
const (
	headerRequestID  = "X-Request-Id"
	headerEpoch      = "Sumachead-Epoch"
	headerResumeFrom = "X-Resume-From"
)

const (
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 8 << 20
	dialTimeout    = time.Second
	readBuffer     = 16 << 10
)

// errBroken tells that a stream ended before its end mark.
var errBroken = errors.New("the stream broke off")

// errStuck ends a request whose answer has stopped coming.
var errStuck = errors.New("the backend server sends nothing")

// backend relays requests to the backend server.
type backend struct {
	base   string
	client *http.Client
	health *health
	// rested is told for how long the server wants nothing, when it says so.
	rested func(time.Duration)

	mu    sync.Mutex // guards first
	first time.Duration
}

func newBackend(base string, h *health) *backend {
	d := &net.Dialer{Timeout: dialTimeout}
	return &backend{
		base: strings.TrimSuffix(base, "/"), health: h,
		client: &http.Client{
			// A connection serves one request: one that the server has just
			// closed can't be told from one on which a request was lost.
			Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// firstToken returns the moving average of the time to the first byte.
func (b *backend) firstToken() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first
}

func (b *backend) noteFirst(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.first == 0 {
		b.first = took
	}
	b.first += time.Duration(averageWeight * float64(took-b.first))
}

// do relays one request and writes the answer to x. It returns the tokens to
// bill; after an error these are what is known to have been used.
func (b *backend) do(ctx context.Context, x *run, r *wire.RunRequest, pool *settings.ResolvedPool) (sumachead.Tokens, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatch(pool.StuckAfter.Duration, func() {
		b.health.stuck(time.Now())
		cancel(errStuck)
	})
	defer watch.stop()
	whole := false
	if silentUntilDone(r, pool) {
		watch.stop()
	} else {
		b.health.began(time.Now())
		defer func() { b.health.ended(whole) }()
	}
	m := newModelRelay(x, r)
	tokens, err := b.exchange(ctx, x, r, pool, watch, m)
	if errors.Is(err, errBroken) && pool.Resume && m.stream.chunks > 0 {
		tokens, err = b.exchange(ctx, x, r, pool, watch, m)
	}
	whole = err == nil
	return tokens, stuckOr(ctx, err)
}

// exchange sends the request, or asks the engine to go on with an answer that
// broke off, and takes in what comes.
func (b *backend) exchange(ctx context.Context, x *run, r *wire.RunRequest, pool *settings.ResolvedPool, watch *watch, m *modelRelay) (sumachead.Tokens, error) {
	began := time.Now()
	resp, err := b.send(ctx, r, m.stream.chunks)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body := &watched{
		Reader: io.LimitReader(resp.Body, maxAnswerBytes+1), watch: watch, health: b.health,
		first: func() { b.noteFirst(time.Since(began)) },
	}
	if pool.Kind == settings.ServicePool {
		return relayService(x, r, resp, body)
	}
	return m.take(resp, body)
}

// stuckOr replaces err by a refusal when the watch ended the request.
func stuckOr(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStuck) {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonStuck, errStuck.Error(), time.Now().Add(retrySoon))
	}
	return err
}

// send sends the request; from is the number of the answer's chunks that are
// here already.
func (b *backend) send(ctx context.Context, r *wire.RunRequest, from int64) (*http.Response, error) {
	url := b.base + r.GetPath()
	if r.GetQuery() != "" {
		url += "?" + r.GetQuery()
	}
	req, err := http.NewRequestWithContext(ctx, r.GetMethod(), url, bytes.NewReader(r.GetBody()))
	if err != nil {
		return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBadRequest, err.Error(), time.Time{})
	}
	req.GetBody = nil // the transport must not send it twice
	if r.GetContentType() != "" {
		req.Header.Set("Content-Type", r.GetContentType())
	}
	req.Header.Set(headerRequestID, requestID(r))
	if from > 0 {
		req.Header.Set(headerResumeFrom, strconv.FormatInt(from, 10))
	}
	req.Header.Set(headerEpoch, strconv.FormatUint(r.GetEpoch(), 10))
	resp, err := b.client.Do(req)
	if err == nil {
		b.noteRest(resp)
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonServerUnreached, err.Error(), time.Now().Add(retrySoon))
	}
	return nil, trace.Wrap(err)
}

// noteRest takes in what a server asks for that turns a request away, so that its agent sends it
// nothing until then and routers prefer others: of 100 calls at four at a time 56 reached an
// engine that had asked for rest without it, one to four with it (scenario servers_rest). What
// can't be read counts for nothing.
func (b *backend) noteRest(resp *http.Response) {
	v := resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusServiceUnavailable || v == "" {
		return
	}
	if d, err := backoff.Parse(v, resp.Header.Get("Date"), time.Now()); err == nil && d > 0 {
		b.rested(d)
	}
}

// requestID names one attempt to the backend server.
func requestID(r *wire.RunRequest) string {
	return r.GetWorkspace() + "/" + r.GetKey() + "/" + strconv.Itoa(int(r.GetAttempt()))
}

// checkEcho refuses an answer that names another request.
func checkEcho(resp *http.Response, r *wire.RunRequest) error {
	if echo := resp.Header.Get(headerRequestID); echo != "" && echo != requestID(r) {
		return badAnswer("the answer names another request")
	}
	return nil
}

func badAnswer(detail string) error {
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonBadAnswer, detail, time.Now().Add(retrySoon))
}

// refusedByServer turns the statuses by which a backend server declares that
// it did not start the request.
func refusedByServer(resp *http.Response) error {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBusy, "the backend server refused: "+resp.Status, time.Now().Add(retrySoon))
}

// relayService passes a plain service's answer on as it is, once it is whole.
func relayService(x *run, r *wire.RunRequest, resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	if err := checkEcho(resp, r); err != nil {
		return 0, err
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if len(data) > maxAnswerBytes {
		return 0, badAnswer("the answer is too large")
	}
	x.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	x.write(data)
	return sumachead.Tokens(r.GetFlatCost()), nil
}

// relay takes server-sent events in as they come. The answer is whole when it
// ended with its mark, after a usage report, under one id.
func (s *streamCheck) relay(resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	lines := bufio.NewReaderSize(body, readBuffer)
	var event []byte
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return s.tokens(), errors.Join(errBroken, err)
		}
		event = append(event, line...)
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.line(line); err != nil {
				return s.tokens(), err
			}
			continue
		}
		if s.ended && s.usage == nil {
			return s.tokens(), badAnswer("the stream has no usage")
		}
		s.sink.event(resp, event)
		if s.ended {
			return s.tokens(), nil
		}
		event = event[:0]
	}
}

// eventSink takes a stream in.
type eventSink interface {
	// chunk is called for the data of each event, in order.
	chunk(m *modelAnswer) error
	// event is called with each whole event as it came.
	event(resp *http.Response, raw []byte)
}

// passOn is the sink that passes events on as they come.
type passOn struct {
	run   *run
	begun bool
}

func (p *passOn) chunk(*modelAnswer) error { return nil }

func (p *passOn) event(resp *http.Response, raw []byte) {
	if !p.begun {
		p.run.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
		p.begun = true
	}
	p.run.write(raw)
}

// streamCheck follows a stream's events.
type streamCheck struct {
	sink  eventSink
	id    string
	usage *usage
	// chunks counts the events that carry text: at least one token each.
	chunks int64
	ended  bool
}

const (
	eventPrefix = "data:"
	endMark     = "[DONE]"
)

// line takes in one line of an event.
func (s *streamCheck) line(line []byte) error {
	data, ok := bytes.CutPrefix(line, []byte(eventPrefix))
	if !ok {
		return nil
	}
	data = bytes.TrimSpace(data)
	if string(data) == endMark {
		s.ended = true
		return nil
	}
	var m modelAnswer
	if err := json.Unmarshal(data, &m); err != nil {
		return badAnswer("an event of the stream is not JSON")
	}
	if s.id == "" {
		s.id = m.ID
	}
	if m.ID != s.id {
		return badAnswer("the stream changed to another answer")
	}
	if m.Usage != nil {
		s.usage = m.Usage
	}
	if len(m.Choices) > 0 {
		s.chunks++
	}
	return s.sink.chunk(&m)
}
