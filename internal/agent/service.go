package agent

import (
	"context"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

const (
	// maxReadWait bounds how long a read is held.
	maxReadWait = 2 * time.Second
	// retrySoon is when to come back after a refusal that another server, or
	// the same one a little later, need not repeat.
	retrySoon = 500 * time.Millisecond
)

// service takes the calls of routers.
type service struct{ agent *Agent }

// Hello tells who answers at this address, and its load.
func (s *service) Hello(_ *wire.HelloRequest, reply *wire.HelloReply) error {
	reply.Node, reply.Boot, reply.Load = string(s.agent.Config.Node), string(s.agent.boot), s.agent.load()
	return nil
}

// Run starts a request, or attaches to it where this agent knows its key.
func (s *service) Run(r *wire.RunRequest, reply *wire.RunReply) error {
	a := s.agent
	a.run(r, reply)
	reply.Load, reply.Boot = a.load(), string(a.boot)
	return nil
}

// Read returns the part of an answer that follows an offset.
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
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxReadWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	got := x.read(ctx, r.GetOffset())
	reply.Code, reply.Data, reply.Offset = got.GetCode(), got.GetData(), got.GetOffset()
	reply.Head, reply.End, reply.Attempt, reply.Queued = got.GetHead(), got.GetEnd(), got.GetAttempt(), got.GetQueued()
	reply.Load = a.load()
	return nil
}

// Ack tells that the ledger has the outcome of requests.
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

// run decides about one call and fills its reply.
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
	x, isNew := a.runs.put(fresh, func(old *run) bool { return old.yieldsTo(r) })
	if !isNew {
		x.join(r, reply)
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
	if x.gone {
		reply.Code = wire.RunCode_RUN_CODE_GONE
		return
	}
	reply.Code, reply.Attempt = wire.RunCode_RUN_CODE_ACCEPTED, x.attempt
}

// yieldsTo reports whether an ended run may be replaced by a newer attempt.
func (r *run) yieldsTo(by *wire.RunRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return by.GetAttempt() > r.attempt && r.restartable()
}

// join answers a call whose key is known: the same run serves it, unless it
// was refused.
func (r *run) join(by *wire.RunRequest, reply *wire.RunReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end.GetVerdict() == string(sumachead.NotRun) {
		reply.Code, reply.Reason = wire.RunCode_RUN_CODE_NOT_RUN, r.end.GetReason()
		reply.RetryAfterMillis = r.end.GetRetryAfterMillis()
		return
	}
	if r.gone {
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

// refusal returns why new work must not start now, or nil. The request is nil
// when the question is about the agent as such.
func (a *Agent) refusal(r *wire.RunRequest, now time.Time) *sumachead.Refusal {
	refuse := func(reason sumachead.Reason, detail string) *sumachead.Refusal {
		return sumachead.Refuse(sumachead.NotRun, reason, detail, now.Add(retrySoon))
	}
	if a.stopping.Load() {
		return refuse(sumachead.ReasonStopping, "the agent is stopping")
	}
	server, pool := a.own(a.follower.View())
	if server == nil || pool == nil {
		return refuse(sumachead.ReasonSettingsStale, "the settings do not have this backend server")
	}
	if !a.follower.MayServe(pool) {
		return refuse(sumachead.ReasonSettingsStale, "the settings are not proved current")
	}
	if server.State == settings.ServerLeaving {
		return refuse(sumachead.ReasonLeaving, "the backend server is leaving")
	}
	if until, yes := a.suspect(now); yes {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonStuck, "the backend server seems to be stuck", until)
	}
	if r == nil {
		return nil
	}
	if rest := a.rests.Remaining(server.ID); rest > 0 {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonResting, "the backend server has asked for rest", now.Add(rest))
	}
	if !a.holdsEpoch(server.Epoch, sumachead.Epoch(r.GetEpoch())) {
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

// holdsEpoch notes the epochs seen and reports whether the request's is the
// highest.
func (a *Agent) holdsEpoch(inForce, request sumachead.Epoch) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch = max(a.epoch, inForce, request)
	return request >= a.epoch
}

// admit checks a new run and gives it a place; a refusal means that it never
// runs.
func (a *Agent) admit(x *run, r *wire.RunRequest) *sumachead.Refusal {
	now := time.Now()
	if f := a.refusal(r, now); f != nil {
		return f
	}
	if _, _, slots := a.queue.load(); slots == 0 {
		a.queue.setSlots(a.slots())
	}
	t, retryAt := a.queue.enter(sumachead.Priority(r.GetPriority()), now)
	if t == nil {
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonBusy, "no room in the queue", retryAt)
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, r.GetDeadlineUnixNano()))
	x.cancel = cancel
	go a.relay(ctx, x, r, t)
	return nil
}

// load returns what is told with every reply.
func (a *Agent) load() *wire.Load {
	running, queued, slots := a.queue.load()
	l := &wire.Load{
		Server: string(a.Config.Agent.Server), Boot: string(a.boot),
		Running: uint32(running), Queued: uint32(queued), Slots: uint32(slots),
		FirstTokenMicros: a.backend.firstToken().Microseconds(),
		Leaving:          a.stopping.Load(),
		RestMillis:       a.rests.Remaining(a.Config.Agent.Server).Milliseconds(),
	}
	_, l.Stuck = a.suspect(time.Now())
	if v := a.follower.View(); v != nil {
		l.Revision = uint64(v.Revision)
		if s := v.Server(a.Config.Agent.Server); s != nil && s.State == settings.ServerLeaving {
			l.Leaving = true
		}
	}
	return l
}
