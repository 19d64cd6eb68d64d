package router

import (
	"context"
	"errors"
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
	// callTimeout bounds a call to an agent beyond the time that it is held.
	callTimeout = 700 * time.Millisecond
	readWait    = time.Second
	// lostAfter is how long an agent may not answer before its request is
	// given up.
	lostAfter = 3 * time.Second
	// startWithin is the same for taking a request in, where another server can
	// run it as well.
	startWithin = time.Second
	// startSlack allows for clocks that differ between hosts.
	startSlack = time.Second
	retryPause = 50 * time.Millisecond
)

// start sends the attempt to its agent until that has taken it in or refused.
func (d *dispatch) start() *sumachead.Refusal {
	giveUpAt := time.Now().Add(lostAfter)
	if !d.x.notRepeatable {
		giveUpAt = time.Now().Add(startWithin)
	}
	run := d.runRequest()
	run.StartByUnixNano = giveUpAt.Add(startSlack).UnixNano()
	sent := false
	for {
		reply, err := d.call(run)
		if err == nil {
			return d.started(reply, sent)
		}
		if !errors.Is(err, rpc.ErrNotSent) {
			sent = true
		}
		if !sent {
			d.to.markDown()
			return refuseSoon(sumachead.NotRun, sumachead.ReasonServerUnreached, "the agent was not reached")
		}
		if f := d.pause(giveUpAt); f != nil {
			return f
		}
	}
}

func refuseSoon(v sumachead.Verdict, r sumachead.Reason, detail string) *sumachead.Refusal {
	return sumachead.Refuse(v, r, detail, time.Now().Add(retrySoon))
}

// pause waits before a call is repeated; a refusal means that it is too late.
func (d *dispatch) pause(giveUpAt time.Time) *sumachead.Refusal {
	if !loop.Pause(d.ctx, nil, time.Now().Add(retryPause)) {
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonDeadlinePassed, "the deadline passed while it ran", time.Time{})
	}
	if time.Now().After(giveUpAt) {
		d.to.markDown()
		return refuseSoon(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the agent stopped answering")
	}
	return nil
}

// started reads the agent's decision. The call may have been sent before.
func (d *dispatch) started(reply *wire.RunReply, sentBefore bool) *sumachead.Refusal {
	d.to.learn(reply.GetLoad())
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
			return refuseSoon(sumachead.NotRun, sumachead.ReasonServerUnreached, "the agent has restarted")
		}
	}
	return refuseSoon(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the agent restarted while it ran")
}

func (d *dispatch) runRequest() *wire.RunRequest {
	x := d.x
	return &wire.RunRequest{
		Workspace: d.entry.GetWorkspace(), Key: d.entry.GetKey(), Attempt: d.entry.GetAttempt().GetNumber(),
		Server: string(d.to.server), Boot: d.to.boot,
		Body: x.work.body, ContentType: x.work.contentType, Method: x.work.method, Path: x.work.path,
		Query: x.work.query, Stream: x.work.stream, Assemble: x.work.assemble, NotRepeatable: x.notRepeatable,
		Priority: uint32(x.priority), DeadlineUnixNano: x.deadline.UnixNano(),
		Hall: d.entry.GetHall(), Reserved: int64(x.work.bound), Epoch: uint64(d.to.epoch), FlatCost: int64(x.work.flatCost),
	}
}

func (d *dispatch) call(r *wire.RunRequest) (*wire.RunReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	return rpc.Call[wire.RunReply](ctx, d.to.client, "Agent.Run", r)
}

// attach asks the agent for a request without starting it.
func (d *dispatch) attach() (wire.RunCode, error) {
	r := d.runRequest()
	r.Attach, r.Body = true, nil
	reply, err := d.call(r)
	return reply.GetCode(), err
}

// deliver brings the answer from the agent to the caller. It goes on at the
// same offset after a lost connection.
func (d *dispatch) deliver() *sumachead.Refusal {
	d.to.open()
	defer d.to.close()
	s := &sink{x: d.x, digest: xxhash.New()}
	giveUpAt := time.Now().Add(lostAfter)
	for {
		reply, err := d.read(s.offset)
		if err != nil {
			if f := d.pause(giveUpAt); f != nil {
				return f
			}
			continue
		}
		giveUpAt = time.Now().Add(lostAfter)
		if f := d.took(reply); f != nil {
			return f
		}
		if err := s.take(reply); err != nil {
			return sumachead.AsRefusal(err)
		}
		if reply.GetEnd() != nil {
			return d.finish(s, reply.GetEnd())
		}
	}
}

func (d *dispatch) read(offset int64) (*wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, readWait+callTimeout)
	defer cancel()
	return rpc.Call[wire.ReadReply](ctx, d.to.client, "Agent.Read", &wire.ReadRequest{
		Workspace: d.entry.GetWorkspace(), Key: d.entry.GetKey(), Boot: d.to.boot,
		Offset: offset, WaitMillis: readWait.Milliseconds(),
	})
}

// took checks that a reply is of the run that is being read.
func (d *dispatch) took(reply *wire.ReadReply) *sumachead.Refusal {
	switch reply.GetCode() {
	case wire.RunCode_RUN_CODE_ACCEPTED:
		d.to.learn(reply.GetLoad())
		return nil
	case wire.RunCode_RUN_CODE_GONE:
		return sumachead.Refuse(sumachead.Ran, sumachead.ReasonAnswerGone, "the request ran; its answer is gone", time.Time{})
	}
	d.to.markDown()
	return refuseSoon(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the agent restarted while it ran")
}

// finish settles a whole answer, or tells why it is not whole.
func (d *dispatch) finish(s *sink, end *wire.AnswerEnd) *sumachead.Refusal {
	if end.GetReason() != "" {
		d.used = end.GetTokens()
		retryAt := time.Now().Add(time.Duration(end.GetRetryAfterMillis()) * time.Millisecond)
		return sumachead.Refuse(sumachead.Verdict(end.GetVerdict()), sumachead.Reason(end.GetReason()), "the backend server's answer is not whole", retryAt)
	}
	if end.GetLength() != s.offset || end.GetChecksum() != s.digest.Sum64() {
		return refuseSoon(sumachead.Ran, sumachead.ReasonBadAnswer, "the answer was damaged on its way")
	}
	d.settle(&wire.SettleRequest{Tokens: end.GetTokens()})
	if err := s.close(); err != nil {
		return sumachead.AsRefusal(err)
	}
	return nil
}

// sink takes an answer's bytes in. A stream goes to the caller as it comes;
// any other answer only when it is whole.
type sink struct {
	x      *exchange
	head   *wire.AnswerHead
	digest *xxhash.Digest
	offset int64
	buffer []byte
}

// take adds one reply's bytes.
func (s *sink) take(reply *wire.ReadReply) error {
	if reply.GetOffset() != s.offset {
		return refuseSoon(sumachead.MayHaveRun, sumachead.ReasonBadAnswer, "the agent answered out of order")
	}
	if reply.GetHead() != nil {
		s.head = reply.GetHead()
	}
	data := reply.GetData()
	if len(data) == 0 {
		return nil
	}
	s.offset += int64(len(data))
	_, _ = s.digest.Write(data)
	if !s.x.work.stream || s.head.GetStatus() != http.StatusOK {
		s.buffer = append(s.buffer, data...)
		return nil
	}
	s.sendHead()
	if _, err := s.x.w.Write(data); err != nil {
		return refuseSoon(sumachead.MayHaveRun, sumachead.ReasonInterrupted, "the caller has gone")
	}
	_ = http.NewResponseController(s.x.w).Flush()
	return nil
}

func (s *sink) sendHead() {
	if s.x.answered {
		return
	}
	s.x.answered = true
	h := s.x.w.Header()
	if t := s.head.GetContentType(); t != "" {
		h.Set("Content-Type", t)
	}
	h.Set(HeaderAttempts, strconv.Itoa(max(s.x.attempts, 1)))
	s.x.w.WriteHeader(int(s.head.GetStatus()))
}

// close sends an answer that was held back until it was whole.
func (s *sink) close() error {
	if s.x.answered {
		return nil
	}
	if s.head == nil {
		return refuseSoon(sumachead.Ran, sumachead.ReasonBadAnswer, "the answer has no head")
	}
	s.x.w.Header().Set("Content-Length", strconv.Itoa(len(s.buffer)))
	s.sendHead()
	if _, err := s.x.w.Write(s.buffer); err != nil {
		return refuseSoon(sumachead.Ran, sumachead.ReasonInterrupted, "the caller has gone")
	}
	return nil
}
