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
	"sumachead/internal/stricthttp"
	"sumachead/internal/upstream"
)

// Headers of requests to the backend server.
const (
	headerRequestID  = "X-Request-Id"
	headerEpoch      = "Sumachead-Epoch"
	headerResumeFrom = "X-Resume-From"
)

const (
	// maxResponseBytes and maxEventBytes are the maximum sizes of a response's body and of an event of
	// a stream.
	maxResponseBytes = 8 << 20
	maxEventBytes    = 256 << 10
	// maxResponsesBytes limits the memory of all responses that are read at a time, beyond minResponseBytes
	// for each. A byte of a response is held up to responseCopies times: as read, and for the router.
	maxResponsesBytes = 64 << 20
	minResponseBytes  = 64 << 10
	responseCopies    = 2
	dialTimeout       = time.Second
	readBuffer        = 16 << 10
)

// errStreamInterrupted is returned when a stream ends before its end marker.
var errStreamInterrupted = errors.New("the stream broke off")

// errStuck is the cancellation cause of a request whose response has stalled.
var errStuck = errors.New("the backend server sends nothing")

// backend relays requests to the backend server.
type backend struct {
	base   string
	client *http.Client
	health *health
	// onBackoff is called with the duration of a backoff that the server requests.
	onBackoff func(time.Duration)
	// memory limits the responses that are being read.
	memory *upstream.Memory

	mu           sync.Mutex // guards avgFirstByte
	avgFirstByte time.Duration
}

func newBackend(base string, h *health) *backend {
	return &backend{
		base: strings.TrimSuffix(base, "/"), health: h, memory: &upstream.Memory{MaxBytes: maxResponsesBytes},
		client: &http.Client{
			// Each connection serves a single request: a connection that the
			// server has just closed can't be told from one on which a request was lost.
			Transport: &stricthttp.Transport{Dialer: &net.Dialer{Timeout: dialTimeout}},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// firstByteTime returns the moving average of the time to the first byte.
func (b *backend) firstByteTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.avgFirstByte
}

func (b *backend) recordFirstByte(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.avgFirstByte == 0 {
		b.avgFirstByte = took
	}
	b.avgFirstByte += time.Duration(averageWeight * float64(took-b.avgFirstByte))
}

// do relays one request and writes the response to x. It returns the tokens to
// bill; after an error these are the tokens known to have been used.
func (b *backend) do(ctx context.Context, x *run, r *wire.RunRequest, pool *settings.ResolvedPool) (sumachead.Tokens, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(pool.StuckAfter.Duration, func() {
		b.health.requestStuck(time.Now())
		cancel(errStuck)
	})
	defer watch.stop()
	complete := false
	if respondsInOnePiece(r, pool) {
		watch.stop()
	} else {
		b.health.requestStarted(time.Now())
		defer func() { b.health.requestEnded(complete) }()
	}
	m := newModelRelay(x, r)
	tokens, err := b.exchange(ctx, x, r, pool, watch, m)
	if errors.Is(err, errStreamInterrupted) && pool.Resume && m.stream.chunks > 0 {
		tokens, err = b.exchange(ctx, x, r, pool, watch, m)
	}
	complete = err == nil
	return tokens, refuseIfStuck(ctx, err)
}

// exchange sends the request, or asks the engine to resume an interrupted
// response, and relays the response.
func (b *backend) exchange(ctx context.Context, x *run, r *wire.RunRequest, pool *settings.ResolvedPool, watch *watchdog, m *modelRelay) (sumachead.Tokens, error) {
	began := time.Now()
	resp, err := b.send(ctx, r, m.stream.chunks)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	bounded := &boundedReader{reader: resp.Body, left: maxResponseBytes, memory: upstream.NewReservation(b.memory, nil)}
	defer bounded.memory.Release()
	body := &watchedReader{
		Reader: bounded, watchdog: watch, health: b.health,
		onFirstByte: func() { b.recordFirstByte(time.Since(began)) },
	}
	if pool.Kind == settings.ServicePool {
		return relayService(x, r, resp, body)
	}
	return m.handleResponse(resp, body)
}

// refuseIfStuck replaces err by a refusal if the watchdog cancelled the request.
func refuseIfStuck(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStuck) {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonStuck, errStuck.Error(), time.Now().Add(shortRetryDelay))
	}
	return err
}

// send sends the request; from is the number of chunks of the response that were
// received already.
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
		b.recordBackoff(resp)
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, sumachead.Refuse(sumachead.NotRun, sumachead.ReasonServerUnreached, err.Error(), time.Now().Add(shortRetryDelay))
	}
	if errors.Is(err, stricthttp.ErrMalformed) {
		return nil, badResponse(err.Error())
	}
	return nil, trace.Wrap(err)
}

// recordBackoff records the backoff that a server requests when it rejects a request, so that the
// agent sends it nothing until then and routers prefer other servers. Without it, 56 of 100 calls
// with four in flight at a time reached an engine that had requested a backoff; with it, one to
// four did (scenario servers_rest). A malformed header is ignored.
func (b *backend) recordBackoff(resp *http.Response) {
	v := resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusServiceUnavailable || v == "" {
		return
	}
	if d, err := backoff.Parse(v, resp.Header.Get("Date"), time.Now()); err == nil && d > 0 {
		b.onBackoff(d)
	}
}

// requestID returns the ID of one attempt for the backend server.
func requestID(r *wire.RunRequest) string {
	return r.GetWorkspace() + "/" + r.GetKey() + "/" + strconv.Itoa(int(r.GetAttempt()))
}

// checkEcho returns an error if the response names another request.
func checkEcho(resp *http.Response, r *wire.RunRequest) error {
	if echo := resp.Header.Get(headerRequestID); echo != "" && echo != requestID(r) {
		return badResponse("the answer names another request")
	}
	return nil
}

func badResponse(detail string) error {
	return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonBadAnswer, detail, time.Now().Add(shortRetryDelay))
}

// serverRefusal returns a refusal for the statuses by which a backend server
// declares that it did not start the request.
func serverRefusal(resp *http.Response) error {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBusy, "the backend server refused: "+resp.Status, time.Now().Add(shortRetryDelay))
}

// relayService relays a plain service's response unchanged, once it is complete.
func relayService(x *run, r *wire.RunRequest, resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	if err := checkEcho(resp, r); err != nil {
		return 0, err
	}
	data, err := readBody(resp, body)
	if err != nil {
		return 0, err
	}
	x.setHead(resp.StatusCode, resp.Header.Get("Content-Type"))
	x.write(data)
	return sumachead.Tokens(r.GetFlatCost()), nil
}

// relay reads server-sent events as they arrive. The response is complete if all
// events have the same ID and it ends with the end marker, after a usage report.
func (s *streamParser) relay(resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	lines := bufio.NewReaderSize(body, readBuffer)
	var event []byte
	for {
		line, err := readLine(lines, maxEventBytes-len(event))
		var refusal *sumachead.Refusal
		if errors.As(err, &refusal) {
			return s.tokens(), err
		}
		if err != nil {
			return s.tokens(), errors.Join(errStreamInterrupted, err)
		}
		event = append(event, line...)
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.parseLine(line); err != nil {
				return s.tokens(), err
			}
			continue
		}
		if s.endSeen && s.usage == nil {
			return s.tokens(), badResponse("the stream has no usage")
		}
		s.sink.event(resp, event)
		if s.endSeen {
			return s.tokens(), nil
		}
		event = event[:0]
	}
}

// readLine reads a line of up to limit bytes.
func readLine(r *bufio.Reader, limit int) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, badResponse("an event of the answer is too large")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// boundedReader reads a response of up to left bytes; a longer one is a bad answer.
type boundedReader struct {
	reader io.Reader
	left   int
	// read counts the bytes that were read, for which memory is reserved.
	read   int
	memory *upstream.Reservation
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p[:min(len(p), r.left+1)])
	if n > r.left {
		return r.left, badResponse("the answer is too large")
	}
	r.left -= n
	r.read += n
	if reserveErr := r.memory.Resize(responseCopies * int64(max(r.read-minResponseBytes, 0))); reserveErr != nil {
		return 0, sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonInterrupted, reserveErr.Error(), time.Now().Add(shortRetryDelay))
	}
	return n, err
}

// eventSink receives the events of a stream.
type eventSink interface {
	// chunk is called for the data of each event, in order.
	chunk(m *modelResponse) error
	// event is called with the raw bytes of each complete event.
	event(resp *http.Response, raw []byte)
}

// forwarder is the sink that forwards events as they arrive.
type forwarder struct {
	run   *run
	begun bool
}

func (p *forwarder) chunk(*modelResponse) error { return nil }

func (p *forwarder) event(resp *http.Response, raw []byte) {
	if !p.begun {
		p.run.setHead(resp.StatusCode, resp.Header.Get("Content-Type"))
		p.begun = true
	}
	p.run.write(raw)
}

// streamParser parses and validates the events of a stream.
type streamParser struct {
	sink  eventSink
	id    string
	usage *usage
	// chunks counts the events that carry text: at least one token each, the
	// position from which a stream is resumed.
	chunks  int64
	endSeen bool
}

const (
	eventPrefix = "data:"
	endMarker   = "[DONE]"
)

// parseLine parses one line of an event.
func (s *streamParser) parseLine(line []byte) error {
	data, ok := bytes.CutPrefix(line, []byte(eventPrefix))
	if !ok {
		return nil
	}
	data = bytes.TrimSpace(data)
	if string(data) == endMarker {
		s.endSeen = true
		return nil
	}
	var m modelResponse
	if err := json.Unmarshal(data, &m); err != nil {
		return badResponse("an event of the stream is not JSON")
	}
	if s.id == "" {
		s.id = m.ID
	}
	if m.ID != s.id {
		return badResponse("the stream changed to another answer")
	}
	if m.Usage != nil {
		s.usage = m.Usage
	}
	if len(m.Choices) > 0 {
		s.chunks++
	}
	return s.sink.chunk(&m)
}
