package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/blame"
	"sumachead/internal/loop"
	"sumachead/internal/patience"
	"sumachead/internal/place"
	"sumachead/internal/upstream"
)

// A request may end each server that begins to run it, with all that runs there, and its
// caller sends it again under a new id, to any router. So what a router sees of ends is
// brought together at the leading keeper, by what requests are and not by their ids
// ([blame.Docket]), and how they stand is in force at all routers. Without it one request
// ended 36 to 41 servers in 5 s, and of the others 6 in 100 were served
// (TestRequestThatEndsServers, three fleets of six engines; 3 servers, and 99 in 100, with it).

const (
	// learnMost is how long a request that has failed waits for what is known of the end that
	// it has seen: the question at the server's address, and a commit.
	learnMost = 150 * time.Millisecond
	// spreadTime is what news take from the leading keeper to the routers, through a relay.
	spreadTime = 20 * time.Millisecond
	// gatherEnds is for how long requests that broke with one server are gathered into one
	// report.
	gatherEnds = 2 * time.Millisecond
	// reportEach bounds one try of a report, reportAgain is the time between two, and
	// reportMost bounds all: after it the router goes on with what it knows itself.
	reportEach  = 600 * time.Millisecond
	reportAgain = 100 * time.Millisecond
	reportMost  = 10 * time.Second
	// trialTimeout bounds the question for a trial.
	trialTimeout = 300 * time.Millisecond
	// trialAgain is when a caller may come back whose request runs on trial elsewhere: a
	// trial has mostly shown by then what it shows.
	trialAgain = 500 * time.Millisecond
)

// suspects is what a router knows, and tells, of requests that end servers. Set the exported
// fields before the first call; it is safe for concurrent use.
type suspects struct {
	Node sumachead.NodeID
	// Table is how requests stand as the leading keeper has told.
	Table *blame.Table
	// Report brings a report to the leading keeper, and Try asks it for a trial.
	Report func(ctx context.Context, r *wire.EndsReport) (*wire.Suspects, error)
	Try    func(ctx context.Context, r *wire.TrialRequest) (*wire.TrialReply, error)
	// Take puts in force what a report is answered with.
	Take func(*wire.Suspects)

	// docket counts what this router has seen: under what a good end is to be told, and for
	// while no keeper is reached.
	docket blame.Docket
	// served are the requests that have lately come to a good end here.
	served blame.Served

	mu sync.Mutex // guards the fields below
	// own is how requests stand by the docket.
	own blame.List
	// batch is the report that is being gathered; nil for none.
	batch *endsBatch
}

// endsBatch is a report on its way.
type endsBatch struct {
	ends     []seenEnd
	survived [][]byte
	untried  [][]byte
	// told is closed once the leading keeper has answered, or none is reached.
	told chan struct{}
}

// seenEnd is an end of a server under a request, as this router saw it.
type seenEnd struct {
	print  sumachead.Fingerprint
	server sumachead.ServerID
	at     time.Time
	served bool
}

// any reports whether there is a request of which something is held, here or in the fleet.
func (s *suspects) any() bool { return s.Table.Held() > 0 || s.docket.Len() > 0 }

// held reports whether something is held against a request, here or in the fleet.
func (s *suspects) held(f sumachead.Fingerprint) bool {
	return s.docket.Accused(f) || s.standing(f) != wire.Standing_STANDING_CLEARED
}

// standing returns how a request stands: as the keepers say, and where these know nothing of
// it, as this router has seen.
func (s *suspects) standing(f sumachead.Fingerprint) wire.Standing {
	if st, ok := s.Table.Known(f); ok {
		return st
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.Standing(f)
}

// tell takes something in, and adds it to the next report. The channel is closed once the
// leading keeper has answered it.
func (s *suspects) tell(news endsBatch) (told <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Apply(&wire.Suspects{Suspects: s.docket.Note(news.report(s.Node), s.own.Standing, time.Now())})
	if s.batch == nil {
		s.batch = &endsBatch{told: make(chan struct{})}
		go s.bring(s.batch)
	}
	b := s.batch
	b.ends = append(b.ends, news.ends...)
	b.survived = append(b.survived, news.survived...)
	b.untried = append(b.untried, news.untried...)
	return b.told
}

// expire forgets what this router has seen long ago.
func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Apply(&wire.Suspects{Suspects: s.docket.Expire(s.own.Since(0).GetSuspects(), now)})
}

// bring gathers a report and brings it to the leading keeper.
func (s *suspects) bring(b *endsBatch) {
	defer close(b.told)
	time.Sleep(gatherEnds)
	s.mu.Lock()
	s.batch = nil
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportMost)
	defer cancel()
	for {
		reply, err := s.bringOnce(ctx, b)
		if err == nil {
			s.Take(reply)
			return
		}
		if !loop.Sleep(ctx, reportAgain) {
			return
		}
	}
}

// bringOnce tries to bring a report once.
func (s *suspects) bringOnce(ctx context.Context, b *endsBatch) (*wire.Suspects, error) {
	ctx, cancel := context.WithTimeout(ctx, reportEach)
	defer cancel()
	return s.Report(ctx, b.report(s.Node))
}

// report returns the report as it is to be told now.
func (b *endsBatch) report(n sumachead.NodeID) *wire.EndsReport {
	r := &wire.EndsReport{Node: string(n), Survived: b.survived, Untried: b.untried}
	for _, e := range b.ends {
		r.Ends = append(r.Ends, &wire.ServerEnd{
			Fingerprint: e.print[:], Server: string(e.server), AgeMillis: time.Since(e.at).Milliseconds(), Served: e.served,
		})
	}
	return r
}

// try asks for a trial of a request at a server. One that is not answered in time is not
// used, and given back.
func (s *suspects) try(ctx context.Context, r *wire.TrialRequest) wire.Trial {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	r.Node = string(s.Node)
	reply, err := s.Try(ctx, r)
	if err != nil {
		s.tell(endsBatch{untried: [][]byte{r.GetFingerprint()}})
		return wire.Trial_TRIAL_REFUSED
	}
	return reply.GetTrial()
}

// learning is what is being found out about the server of an attempt that broke.
type learning struct {
	// done is closed when it is known whether the server has ended and, if it has, the
	// leading keeper has answered.
	done chan struct{}
	// ended is valid once done is closed.
	ended bool
}

// lives reports whether the server is known to live.
func (l *learning) lives() bool {
	select {
	case <-l.done:
		return !l.ended
	default:
		return false
	}
}

// learn finds out whether the server of the last attempt has ended under the request, which
// it may have begun to run, and tells the keepers. One that was leaving has ended as planned.
// It returns nil where there is nothing to find out.
func (d *dispatch) learn(f *upstream.Failure) *learning {
	r := d.x.placement.Record
	if !f.ConnectionLost() || f.Verdict == sumachead.NotRun || d.ctx.Err() != nil || d.servers.Leaving(r.GetId()) {
		return nil
	}
	l := &learning{done: make(chan struct{})}
	now := time.Now()
	e := seenEnd{d.x.fingerprint(), sumachead.ServerID(r.GetId()), now, d.suspects.served.Has(d.x.workspace(), d.x.request, now)}
	fields := append(d.x.fields(), "fingerprint", e.print.String(), "ran", time.Since(d.sentAt))
	go func() {
		defer close(l.done)
		if l.ended = d.ends.ended(r); !l.ended {
			return
		}
		d.metrics.underEnds.Inc()
		d.failures.Info(d.Log, "A backend server has ended under a request.", fields...)
		<-d.suspects.tell(endsBatch{ends: []seenEnd{e}})
	}()
	return l
}

// await waits for what is found out of the last attempt: it decides whether there may be another
// one, and a caller that is answered before it is known ends another server by sending the
// request again to a router that has not heard of the end.
func (d *dispatch) await(l *learning) {
	if l != nil {
		loop.Pause(d.ctx, l.done, time.Now().Add(learnMost))
	}
}

// letSpread holds the answer of a request that has failed until the other routers have mostly
// heard of the end of its server as well: its caller may send it again at once.
func (d *dispatch) letSpread() {
	if d.learned != nil && !d.learned.lives() {
		loop.Pause(d.ctx, nil, time.Now().Add(spreadTime))
	}
}

// mayRun returns nil if the request may be sent to a server as far as ends of servers go, and
// otherwise how it ends. One that is suspected also needs a trial, once a server is chosen.
func (d *dispatch) mayRun() error {
	switch {
	case d.trial != 0 && d.learned != nil && !d.learned.lives():
		return d.endsServers(wire.Standing_STANDING_SUSPECTED)
	case d.suspects.any() && d.suspects.standing(d.x.fingerprint()) == wire.Standing_STANDING_BARRED:
		return d.endsServers(wire.Standing_STANDING_BARRED)
	}
	return nil
}

// errApart says that a request is to be sent to another server than the one that was chosen.
var errApart = errors.New("another suspect runs on trial at the server")

// tryAt asks for a trial at the server that was chosen, if the request is suspected. The error
// is errApart, or how the request ends.
func (d *dispatch) tryAt(l *place.Placement) error {
	if !d.suspects.any() || d.suspects.standing(d.x.fingerprint()) != wire.Standing_STANDING_SUSPECTED {
		return nil
	}
	if d.trial == 0 {
		d.trial = max(rand.Uint64(), 1)
	}
	f := d.x.fingerprint()
	switch d.suspects.try(d.ctx, &wire.TrialRequest{
		Fingerprint: f[:], Server: l.Record.GetId(), Number: d.trial, DeadlineMillis: time.Until(d.x.deadline).Milliseconds(),
	}) {
	case wire.Trial_TRIAL_GRANTED:
		return nil
	case wire.Trial_TRIAL_APART:
		return errApart
	}
	d.trial = 0
	return d.endsServers(d.suspects.standing(f))
}

// endsServers is the end of a request that is held for one that ends servers.
func (d *dispatch) endsServers(s wire.Standing) error {
	switch {
	case s == wire.Standing_STANDING_BARRED:
		return sumachead.Refuse(sumachead.Ran, sumachead.ReasonEndsServers, "the servers that run this request end", time.Time{})
	case d.mayHaveRun:
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonSuspected, "servers have ended under this request", time.Time{})
	}
	now := time.Now()
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonSuspected, "servers have ended under this request, and it runs elsewhere or no keeper is reached",
		patience.JitteredRetryAt(now.Add(trialAgain), d.x.use(), d.x.urgency(), now))
}

// settleTrial tells the keepers how a request ended of which something is held; an end of its
// server has been told before.
func (d *dispatch) settleTrial(err error) {
	if err == nil {
		d.suspects.served.Note(d.x.workspace(), d.x.request, time.Now())
	}
	switch {
	case err == nil && d.suspects.any() && d.suspects.held(d.x.fingerprint()):
		f := d.x.fingerprint()
		d.suspects.tell(endsBatch{survived: [][]byte{f[:]}})
	case err != nil && d.trial != 0:
		go d.giveBack(d.x.fingerprint(), d.learned)
	}
}

// giveBack ends a trial that has shown nothing, once it is known that it has not.
func (d *dispatch) giveBack(f sumachead.Fingerprint, l *learning) {
	if l != nil {
		<-l.done
		if l.ended {
			return
		}
	}
	d.suspects.tell(endsBatch{untried: [][]byte{f[:]}})
}

// fingerprint returns the request's.
func (x *exchange) fingerprint() sumachead.Fingerprint {
	if !x.printed {
		x.print, x.printed = blame.Fingerprint(x.view.FingerprintKey, x.workspace(), x.request), true
	}
	return x.print
}
