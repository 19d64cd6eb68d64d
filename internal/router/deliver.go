package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

const (
	// callTimeout is the timeout of a call to an agent, on top of its long poll wait.
	callTimeout  = 700 * time.Millisecond
	longPollWait = time.Second
	// unresponsiveTimeout is how long an agent may be unresponsive before its request
	// fails.
	unresponsiveTimeout = 3 * time.Second
	// startTimeout is the same timeout while starting an idempotent request, which
	// another server can run as well.
	startTimeout = time.Second
	// clockSkewAllowance allows for clock skew between hosts.
	clockSkewAllowance = time.Second
	callRetryDelay     = 50 * time.Millisecond
	// maxStatus is the maximum status of a response.
	maxStatus = 599
)

// start sends the attempt to its agent until the agent accepts or refuses it.
func (d *dispatch) start() *sumachead.Refusal {
	giveUpAt := time.Now().Add(unresponsiveTimeout)
	if !d.x.nonIdempotent {
		giveUpAt = time.Now().Add(startTimeout)
	}
	run := d.runRequest()
	run.StartByUnixNano = giveUpAt.Add(clockSkewAllowance).UnixNano()
	sent := false
	for {
		reply, err := d.call(run)
		if err == nil {
			return d.handleRunReply(reply, sent)
		}
		if !errors.Is(err, rpc.ErrNotSent) {
			sent = true
		}
		if !sent {
			d.target.markDown()
			return refuseWithRetry(sumachead.NotRun, sumachead.ReasonServerUnreached, "the agent was not reached")
		}
		if f := d.waitToRetry(giveUpAt); f != nil {
			return f
		}
	}
}

func refuseWithRetry(v sumachead.Verdict, r sumachead.Reason, detail string) *sumachead.Refusal {
	return sumachead.Refuse(v, r, detail, time.Now().Add(shortRetryDelay))
}

// waitToRetry waits before a call is retried. It returns a refusal when the deadline
// or giveUpAt has passed.
func (d *dispatch) waitToRetry(giveUpAt time.Time) *sumachead.Refusal {
	if !loop.Pause(d.ctx, nil, time.Now().Add(callRetryDelay)) {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonDeadlinePassed, "the deadline passed while it ran", time.Time{})
	}
	if time.Now().After(giveUpAt) {
		d.target.markDown()
		return refuseWithRetry(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the agent stopped answering")
	}
	return nil
}

// handleRunReply handles the agent's reply to Run. sentBefore reports whether an
// earlier call for the same attempt may have reached the agent.
func (d *dispatch) handleRunReply(reply *wire.RunReply, sentBefore bool) *sumachead.Refusal {
	d.target.recordLoad(reply.GetLoad())
	switch reply.GetCode() {
	case wire.RunCode_RUN_CODE_ACCEPTED:
		return nil
	case wire.RunCode_RUN_CODE_NOT_RUN:
		retryAt := time.Now().Add(time.Duration(reply.GetRetryAfterMillis()) * time.Millisecond)
		return sumachead.Refuse(sumachead.NotRun, sumachead.Reason(reply.GetReason()), "the agent refused", retryAt)
	case wire.RunCode_RUN_CODE_GONE:
		return sumachead.Refuse(sumachead.Ran, sumachead.ReasonAnswerGone, "the request ran; its answer is gone", time.Time{})
	case wire.RunCode_RUN_CODE_WRONG_BOOT:
		d.restarted = true
		if !sentBefore {
			return refuseWithRetry(sumachead.NotRun, sumachead.ReasonServerUnreached, "the agent has restarted")
		}
	}
	return refuseWithRetry(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the agent restarted while it ran")
}

func (d *dispatch) runRequest() *wire.RunRequest {
	x := d.x
	return &wire.RunRequest{
		Workspace: d.entry.GetWorkspace(), Key: d.entry.GetKey(), Attempt: d.entry.GetAttempt().GetNumber(),
		Server: string(d.target.server), Boot: d.target.boot,
		Body: x.backend.body, ContentType: x.backend.contentType, Method: x.backend.method, Path: x.backend.path,
		Query: x.backend.query, Stream: x.backend.stream, Assemble: x.backend.assemble, NotRepeatable: x.nonIdempotent,
		Priority: uint32(x.priority), DeadlineUnixNano: x.deadline.UnixNano(),
		Hall: d.entry.GetHall(), Reserved: int64(x.backend.maxCost), Epoch: uint64(d.target.epoch), FlatCost: int64(x.backend.flatCost),
	}
}

func (d *dispatch) call(r *wire.RunRequest) (*wire.RunReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	return rpc.Call[wire.RunReply](ctx, d.target.client, "Agent.Run", r)
}

// attach asks the agent whether it knows the request, without starting it.
func (d *dispatch) attach() (wire.RunCode, error) {
	r := d.runRequest()
	r.Attach, r.Body = true, nil
	reply, err := d.call(r)
	return reply.GetCode(), err
}

// deliver copies the response from the agent to the caller. After a lost
// connection it continues at the same offset.
func (d *dispatch) deliver() *sumachead.Refusal {
	d.target.addInFlight()
	defer d.target.removeInFlight()
	s := &responseSink{x: d.x, digest: xxhash.New()}
	giveUpAt := time.Now().Add(unresponsiveTimeout)
	for {
		reply, err := d.read(s.offset)
		if err != nil {
			if f := d.waitToRetry(giveUpAt); f != nil {
				return f
			}
			continue
		}
		giveUpAt = time.Now().Add(unresponsiveTimeout)
		if f := d.checkReadReply(reply); f != nil {
			return f
		}
		if err := s.append(reply); err != nil {
			return sumachead.AsRefusal(err)
		}
		if reply.GetEnd() != nil {
			return d.finish(s, reply.GetEnd())
		}
	}
}

func (d *dispatch) read(offset int64) (*wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, longPollWait+callTimeout)
	defer cancel()
	return rpc.Call[wire.ReadReply](ctx, d.target.client, "Agent.Read", &wire.ReadRequest{
		Workspace: d.entry.GetWorkspace(), Key: d.entry.GetKey(), Boot: d.target.boot,
		Offset: offset, WaitMillis: longPollWait.Milliseconds(),
	})
}

// checkReadReply checks that a reply belongs to the run being read.
func (d *dispatch) checkReadReply(reply *wire.ReadReply) *sumachead.Refusal {
	switch reply.GetCode() {
	case wire.RunCode_RUN_CODE_ACCEPTED:
		d.target.recordLoad(reply.GetLoad())
		return nil
	case wire.RunCode_RUN_CODE_GONE:
		return sumachead.Refuse(sumachead.Ran, sumachead.ReasonAnswerGone, "the request ran; its answer is gone", time.Time{})
	}
	d.target.markDown()
	return refuseWithRetry(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the agent restarted while it ran")
}

// finish settles a complete response, or returns why it is incomplete.
func (d *dispatch) finish(s *responseSink, end *wire.AnswerEnd) *sumachead.Refusal {
	if end.GetReason() != "" {
		d.used = end.GetTokens()
		retryAt := time.Now().Add(time.Duration(end.GetRetryAfterMillis()) * time.Millisecond)
		return sumachead.Refuse(sumachead.Verdict(end.GetVerdict()), sumachead.Reason(end.GetReason()), "the backend server's answer is not whole", retryAt)
	}
	if end.GetLength() != s.offset || end.GetChecksum() != s.digest.Sum64() {
		return refuseWithRetry(sumachead.Ran, sumachead.ReasonBadAnswer, "the answer was damaged on its way")
	}
	d.reportOutcome(&wire.SettleRequest{Tokens: end.GetTokens()})
	if err := s.close(); err != nil {
		return sumachead.AsRefusal(err)
	}
	return nil
}

// responseSink receives the bytes of a response. It forwards a stream as it arrives and
// buffers any other response until it is complete.
type responseSink struct {
	x      *exchange
	head   *wire.AnswerHead
	digest *xxhash.Digest
	offset int64
	buffer []byte
}

// append appends the bytes of one reply.
func (s *responseSink) append(reply *wire.ReadReply) error {
	if reply.GetOffset() != s.offset {
		return refuseWithRetry(sumachead.MayHaveRun, sumachead.ReasonBadAnswer, "the agent answered out of order")
	}
	if h := reply.GetHead(); h != nil {
		if h.GetStatus() < http.StatusOK || h.GetStatus() > maxStatus {
			return refuseWithRetry(sumachead.MayHaveRun, sumachead.ReasonBadAnswer, fmt.Sprintf("the answer has status %d", h.GetStatus()))
		}
		s.head = h
	}
	data := reply.GetData()
	if len(data) == 0 {
		return nil
	}
	s.offset += int64(len(data))
	_, _ = s.digest.Write(data)
	if !s.x.backend.stream || s.head.GetStatus() != http.StatusOK {
		s.buffer = append(s.buffer, data...)
		return nil
	}
	s.sendHeader()
	if _, err := s.x.w.Write(data); err != nil {
		return refuseWithRetry(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the caller has gone")
	}
	_ = http.NewResponseController(s.x.w).Flush()
	return nil
}

func (s *responseSink) sendHeader() {
	if s.x.headerSent {
		return
	}
	s.x.headerSent = true
	h := s.x.w.Header()
	if t := s.head.GetContentType(); t != "" {
		h.Set("Content-Type", t)
	}
	h.Set(HeaderAttempts, strconv.Itoa(max(s.x.attempts, 1)))
	s.x.w.WriteHeader(int(s.head.GetStatus()))
}

// close sends a buffered response.
func (s *responseSink) close() error {
	if s.x.headerSent {
		return nil
	}
	if s.head == nil {
		return refuseWithRetry(sumachead.Ran, sumachead.ReasonBadAnswer, "the answer has no head")
	}
	s.x.w.Header().Set("Content-Length", strconv.Itoa(len(s.buffer)))
	s.sendHeader()
	if _, err := s.x.w.Write(s.buffer); err != nil {
		return refuseWithRetry(sumachead.Ran, sumachead.ReasonInterrupted, "the caller has gone")
	}
	return nil
}
