package agent

import (
	"context"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

const (
	// maxLongPollWait is the maximum long poll time of a read.
	maxLongPollWait = 2 * time.Second
	// shortRetryDelay is the retry delay after a refusal for a condition that may pass
	// quickly or that other servers may not have.
	shortRetryDelay = 500 * time.Millisecond
)

// service implements the RPC methods that routers call.
type service struct{ agent *Agent }

// Hello returns the identity of this agent process, and its load.
func (s *service) Hello(_ *wire.HelloRequest, reply *wire.HelloReply) error {
	reply.Node, reply.Boot, reply.Load = string(s.agent.Config.Node), string(s.agent.boot), s.agent.load()
	return nil
}

// Run starts a request, or attaches to it if this agent knows its key.
func (s *service) Run(r *wire.RunRequest, reply *wire.RunReply) error {
	a := s.agent
	a.run(r, reply)
	reply.Load, reply.Boot = a.load(), string(a.boot)
	return nil
}

// Read returns the part of a response that follows an offset.
func (s *service) Read(r *wire.ReadRequest, reply *wire.ReadReply) error {
	a := s.agent
	if r.GetBoot() != string(a.boot) {
		reply.Code = wire.RunCode_RUN_CODE_WRONG_BOOT
		return nil
	}
	x := a.runs.get(runKey{r.GetWorkspace(), r.GetKey()})
	if x == nil {
		reply.Code = wire.RunCode_RUN_CODE_NO_RECORD
		return nil
	}
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxLongPollWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	got := x.read(ctx, r.GetOffset())
	reply.Code, reply.Data, reply.Offset = got.GetCode(), got.GetData(), got.GetOffset()
	reply.Head, reply.End, reply.Attempt, reply.Queued = got.GetHead(), got.GetEnd(), got.GetAttempt(), got.GetQueued()
	reply.Load = a.load()
	return nil
}

// Ack records that the ledger has the outcomes of requests.
func (s *service) Ack(r *wire.AckRequest, _ *wire.Empty) error {
	if r.GetBoot() != string(s.agent.boot) {
		return nil
	}
	for _, k := range r.GetSettled() {
		if x := s.agent.runs.get(runKey{k.GetWorkspace(), k.GetKey()}); x != nil {
			x.markSettled()
		}
	}
	return nil
}

func (r *run) markSettled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = r.end != nil
}

// run handles a Run call and fills its reply.
func (a *Agent) run(r *wire.RunRequest, reply *wire.RunReply) {
	if r.GetBoot() != string(a.boot) || r.GetServer() != string(a.Config.Agent.Server) {
		reply.Code = wire.RunCode_RUN_CODE_WRONG_BOOT
		return
	}
	k := runKey{r.GetWorkspace(), r.GetKey()}
	if r.GetAttach() {
		a.attach(k, reply)
		return
	}
	fresh := newRun(k, r)
	x, isNew := a.runs.put(fresh, func(old *run) bool { return old.replaceableBy(r) })
	if !isNew {
		x.attachTo(r, reply)
		return
	}
	if refusal := a.admit(x, r); refusal != nil {
		x.finish(0, refusal)
		a.metrics.refused(refusal.Reason)
		notRun(reply, refusal)
		return
	}
	reply.Code, reply.Attempt = wire.RunCode_RUN_CODE_ACCEPTED, r.GetAttempt()
}

func (a *Agent) attach(k runKey, reply *wire.RunReply) {
	x := a.runs.get(k)
	if x == nil {
		reply.Code = wire.RunCode_RUN_CODE_NO_RECORD
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.end.GetVerdict() == string(sumachead.NotRun) {
		reply.Code = wire.RunCode_RUN_CODE_NO_RECORD
		return
	}
	if x.dropped {
		reply.Code = wire.RunCode_RUN_CODE_GONE
		return
	}
	reply.Code, reply.Attempt = wire.RunCode_RUN_CODE_ACCEPTED, x.attempt
}

// replaceableBy reports whether a finished run may be replaced by a newer attempt.
func (r *run) replaceableBy(by *wire.RunRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return by.GetAttempt() > r.attempt && r.mayRunAgain()
}

// attachTo fills the reply to a call whose key is known: the existing run serves the
// call, unless it was refused.
func (r *run) attachTo(by *wire.RunRequest, reply *wire.RunReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end.GetVerdict() == string(sumachead.NotRun) {
		reply.Code, reply.Reason = wire.RunCode_RUN_CODE_NOT_RUN, r.end.GetReason()
		reply.RetryAfterMillis = r.end.GetRetryAfterMillis()
		return
	}
	if r.dropped {
		reply.Code = wire.RunCode_RUN_CODE_GONE
		return
	}
	r.attempt = max(r.attempt, by.GetAttempt())
	reply.Code, reply.Attempt = wire.RunCode_RUN_CODE_ACCEPTED, r.attempt
}

func notRun(reply *wire.RunReply, f *sumachead.Refusal) {
	reply.Code, reply.Reason = wire.RunCode_RUN_CODE_NOT_RUN, string(f.Reason)
	if !f.RetryAt.IsZero() {
		reply.RetryAfterMillis = max(time.Until(f.RetryAt).Milliseconds(), 1)
	}
}

// refusal returns why a new request must not start now, or nil. With a nil
// request it checks only the state of the agent and its server.
func (a *Agent) refusal(r *wire.RunRequest, now time.Time) *sumachead.Refusal {
	refuse := func(reason sumachead.Reason, detail string) *sumachead.Refusal {
		return sumachead.Refuse(sumachead.NotRun, reason, detail, now.Add(shortRetryDelay))
	}
	if a.stopping.Load() {
		return refuse(sumachead.ReasonStopping, "the agent is stopping")
	}
	server, pool := a.ownServer(a.follower.View())
	if server == nil || pool == nil {
		return refuse(sumachead.ReasonSettingsStale, "the settings do not have this backend server")
	}
	if !a.follower.MayServe(pool) {
		return refuse(sumachead.ReasonSettingsStale, "the settings are not proved current")
	}
	if server.State == settings.ServerLeaving {
		return refuse(sumachead.ReasonLeaving, "the backend server is leaving")
	}
	if until, yes := a.presumedStuck(now); yes {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonStuck, "the backend server seems to be stuck", until)
	}
	if r == nil {
		return nil
	}
	if rest := a.backoffs.Remaining(server.ID); rest > 0 {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonResting, "the backend server has asked for rest", now.Add(rest))
	}
	if !a.checkEpoch(server.Epoch, sumachead.Epoch(r.GetEpoch())) {
		return refuse(sumachead.ReasonFenced, "the request comes under an old epoch")
	}
	if by := r.GetStartByUnixNano(); by != 0 && now.UnixNano() > by {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the copy came late", time.Time{})
	}
	if now.UnixNano() >= r.GetDeadlineUnixNano() {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonDeadlinePassed, "the deadline has passed", time.Time{})
	}
	return nil
}

// checkEpoch records the epochs and reports whether the request's epoch is the
// highest seen so far.
func (a *Agent) checkEpoch(inForce, request sumachead.Epoch) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch = max(a.epoch, inForce, request)
	return request >= a.epoch
}

// admit checks a new run and queues it. It returns a refusal if the run will
// never start.
func (a *Agent) admit(x *run, r *wire.RunRequest) *sumachead.Refusal {
	now := time.Now()
	if f := a.refusal(r, now); f != nil {
		return f
	}
	if _, _, slots := a.queue.load(); slots == 0 {
		a.queue.setSlots(a.slots())
	}
	t, retryAt := a.queue.enqueue(sumachead.Priority(r.GetPriority()), now)
	if t == nil {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBusy, "no room in the queue", retryAt)
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, r.GetDeadlineUnixNano()))
	x.cancel = cancel
	go a.relay(ctx, x, r, t)
	return nil
}

// load returns the load that every reply reports.
func (a *Agent) load() *wire.Load {
	running, queued, slots := a.queue.load()
	l := &wire.Load{
		Server: string(a.Config.Agent.Server), Boot: string(a.boot),
		Running: uint32(running), Queued: uint32(queued), Slots: uint32(slots),
		FirstTokenMicros: a.backend.firstByteTime().Microseconds(),
		Leaving:          a.stopping.Load(),
		RestMillis:       a.backoffs.Remaining(a.Config.Agent.Server).Milliseconds(),
	}
	_, l.Stuck = a.presumedStuck(time.Now())
	if v := a.follower.View(); v != nil {
		l.Revision = uint64(v.Revision)
		if s := v.Server(a.Config.Agent.Server); s != nil && s.State == settings.ServerLeaving {
			l.Leaving = true
		}
	}
	return l
}
