package gateway

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/loop"
	"sumachead/internal/place"
	"sumachead/internal/quarantine"
	"sumachead/internal/upstream"
	"sumachead/internal/waitpolicy"
)

// A request may crash each server that begins to run it, together with all requests in flight
// there, and its caller retries it under a new ID at any router. So the crashes that routers see
// are collected at the leading keeper by the fingerprint of the request and not by its ID
// ([quarantine.Tracker]), and the standing of each request takes effect at all routers. Without this, one
// request crashed 36 to 41 servers in 5 s, and 6 in 100 of the others were served; with it, 3
// servers, and 99 in 100 (TestRequestThatCrashesServers, three fleets of six engines).

const (
	// maxCrashCheckWait is how long a failed request waits for the result of its crash check: the
	// probe of the server's address and a commit.
	maxCrashCheckWait = 150 * time.Millisecond
	// propagationDelay is how long updates take from the leading keeper to the routers, through a
	// relay.
	propagationDelay = 20 * time.Millisecond
	// reportBatchDelay is how long requests that broke with one server are collected into one
	// report.
	reportBatchDelay = 2 * time.Millisecond
	// reportCallTimeout limits one attempt to send a report, reportRetryInterval is the time
	// between two, and reportTimeout limits all of them: after it the router uses only what it has
	// seen itself.
	reportCallTimeout   = 600 * time.Millisecond
	reportRetryInterval = 100 * time.Millisecond
	reportTimeout       = 10 * time.Second
	// trialTimeout limits the request for a trial.
	trialTimeout = 300 * time.Millisecond
	// trialRetryDelay is the delay before a caller may retry a request that runs on trial
	// elsewhere: most trials have a result by then.
	trialRetryDelay = 500 * time.Millisecond
)

// suspects is what a router knows and reports about requests that crash servers. Set the exported
// fields before the first call; it is safe for concurrent use.
type suspects struct {
	Node sumachead.NodeID
	// Table holds the standings received from the leading keeper.
	Table *quarantine.Table
	// ReportCrashes sends a report to the leading keeper, and RequestTrial requests a trial from it.
	ReportCrashes func(ctx context.Context, r *wire.EndsReport) (*wire.Suspects, error)
	RequestTrial  func(ctx context.Context, r *wire.TrialRequest) (*wire.TrialReply, error)
	// ApplySuspects applies the response to a report.
	ApplySuspects func(*wire.Suspects)

	// tracker counts the crashes that this router has seen: it decides which successes to report,
	// and which requests to refuse while no keeper is reachable.
	tracker quarantine.Tracker
	// served are the requests that have recently succeeded here, and survived the prompt blocks that
	// servers have responded to.
	served   quarantine.RecentSuccesses
	survived quarantine.SurvivedBlocks

	mu sync.Mutex // guards the fields below
	// local are the standings according to tracker.
	local quarantine.List
	// pending is the report that is being collected; nil for none.
	pending *crashBatch
}

// crashBatch is a report that is being collected or sent.
type crashBatch struct {
	crashes []observedCrash
	// succeeded, recalled and releasedTrials hold fingerprints: of suspects that have succeeded, of
	// suspected blocks that had survived before, and of suspects whose trial has ended without a result.
	succeeded      [][]byte
	recalled       [][]byte
	releasedTrials [][]byte
	// done is closed once the leading keeper has responded or none is reachable.
	done chan struct{}
}

// observedCrash is the crash of a server while it ran a request, as seen by this router.
type observedCrash struct {
	fingerprint sumachead.Fingerprint
	server      *wire.ServerRecord
	at          time.Time
	served      bool
	// blocks are those that the server may just have begun to respond to.
	blocks []*wire.CrashBlock
}

// hasAny reports whether crashes are recorded against any request, here or in the fleet.
func (s *suspects) hasAny() bool { return s.Table.ActiveCount() > 0 || s.tracker.Len() > 0 }

// isSuspect reports whether crashes are recorded against a request, here or in the fleet.
func (s *suspects) isSuspect(f sumachead.Fingerprint) bool {
	return s.tracker.HasCrashes(f) || s.standing(f) != wire.Standing_STANDING_CLEARED
}

// standing returns the standing of a request according to the keepers or, if these know nothing
// about it, according to this router.
func (s *suspects) standing(f sumachead.Fingerprint) wire.Standing {
	if st, ok := s.Table.Standing(f); ok {
		return st
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.local.Standing(f)
}

// enqueue records observations and adds them to the next report. The channel is closed once the
// leading keeper has responded to it.
func (s *suspects) enqueue(added crashBatch) (done <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.Apply(&wire.Suspects{Suspects: s.tracker.HandleReport(added.toWire(s.Node), s.local.Standing, time.Now())})
	if s.pending == nil {
		s.pending = &crashBatch{done: make(chan struct{})}
		go s.sendBatch(s.pending)
	}
	b := s.pending
	b.crashes = append(b.crashes, added.crashes...)
	b.succeeded = append(b.succeeded, added.succeeded...)
	b.recalled = append(b.recalled, added.recalled...)
	b.releasedTrials = append(b.releasedTrials, added.releasedTrials...)
	return b.done
}

// expire drops old observations of this router.
func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.Apply(&wire.Suspects{Suspects: s.tracker.Expire(s.local.Since(0).GetSuspects(), now)})
}

// sendBatch collects a report and sends it to the leading keeper.
func (s *suspects) sendBatch(b *crashBatch) {
	defer close(b.done)
	time.Sleep(reportBatchDelay)
	s.mu.Lock()
	s.pending = nil
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	for {
		reply, err := s.trySendBatch(ctx, b)
		if err == nil {
			s.ApplySuspects(reply)
			return
		}
		if !loop.Sleep(ctx, reportRetryInterval) {
			return
		}
	}
}

// trySendBatch makes one attempt to send a report.
func (s *suspects) trySendBatch(ctx context.Context, b *crashBatch) (*wire.Suspects, error) {
	ctx, cancel := context.WithTimeout(ctx, reportCallTimeout)
	defer cancel()
	return s.ReportCrashes(ctx, b.toWire(s.Node))
}

// toWire returns the report as of now.
func (b *crashBatch) toWire(n sumachead.NodeID) *wire.EndsReport {
	r := &wire.EndsReport{Node: string(n), Survived: b.succeeded, Recalled: b.recalled, Untried: b.releasedTrials}
	for _, e := range b.crashes {
		r.Ends = append(r.Ends, &wire.ServerEnd{
			Fingerprint: e.fingerprint[:], Server: e.server.GetId(), AgeMillis: time.Since(e.at).Milliseconds(), Served: e.served,
			Service: e.server.GetService(), Software: e.server.GetSoftware(), Blocks: e.blocks,
		})
	}
	return r
}

// requestTrial requests a trial of a request at a server. A trial that is not granted in time is
// not used, and is released.
func (s *suspects) requestTrial(ctx context.Context, r *wire.TrialRequest) wire.Trial {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	r.Node = string(s.Node)
	reply, err := s.RequestTrial(ctx, r)
	if err != nil {
		s.enqueue(crashBatch{releasedTrials: trialSubjects(r)})
		return wire.Trial_TRIAL_REFUSED
	}
	return reply.GetTrial()
}

// trialSubjects returns the fingerprints of the suspects on a trial.
func trialSubjects(r *wire.TrialRequest) [][]byte {
	if len(r.GetFingerprint()) == 0 {
		return r.GetBlocks()
	}
	return append([][]byte{r.GetFingerprint()}, r.GetBlocks()...)
}

// crashCheck finds out whether the server of a broken attempt has crashed.
type crashCheck struct {
	// done is closed when it is known whether the server has crashed and, if so, the leading keeper
	// has responded.
	done chan struct{}
	// crashed is valid once done is closed.
	crashed bool
}

// serverAlive reports whether the server is known to be alive.
func (l *crashCheck) serverAlive() bool {
	select {
	case <-l.done:
		return !l.crashed
	default:
		return false
	}
}

// startCrashCheck starts to find out whether the server of the last attempt has crashed during the
// request, which it may have begun to run, and reports a crash to the keepers. A server that was
// leaving has ended as planned. It returns nil if there is nothing to find out.
func (d *dispatch) startCrashCheck(f *upstream.Failure) *crashCheck {
	r := d.x.placement.Record
	if !f.ConnectionLost() || f.Verdict == sumachead.NotRun || d.ctx.Err() != nil || d.servers.IsLeaving(r.GetId()) {
		return nil
	}
	l := &crashCheck{done: make(chan struct{})}
	now := time.Now()
	e := observedCrash{d.x.fingerprint(), r, now, d.suspects.served.Contains(d.x.workspace(), d.x.request, now), d.crashBlocks(now)}
	fields := append(d.x.fields(), "fingerprint", e.fingerprint.String(), "ran", time.Since(d.sentAt), "blocks", d.x.blockIDs())
	if d.stream != nil && !d.stream.firstEventAt.IsZero() {
		fields = append(fields, "writing_for", now.Sub(d.stream.firstEventAt))
	}
	go func() {
		defer close(l.done)
		if l.crashed = d.crashes.hasCrashed(r); !l.crashed {
			return
		}
		d.metrics.crashes.Inc()
		d.failureLog.Info(d.Log, "Backend server crashed while running a request.", fields...)
		<-d.suspects.enqueue(crashBatch{crashes: []observedCrash{e}})
	}()
	return l
}

// awaitCrashCheck waits for the crash check of the last attempt. Its result decides whether another
// attempt is allowed, and a caller that gets its response earlier crashes another server if it
// retries at a router that has not heard of the crash.
func (d *dispatch) awaitCrashCheck(l *crashCheck) {
	if l != nil {
		loop.Pause(d.ctx, l.done, time.Now().Add(maxCrashCheckWait))
	}
}

// awaitPropagation delays the response of a failed request until most other routers have heard of
// the crash of its server: the caller may retry at once.
func (d *dispatch) awaitPropagation() {
	if d.crashCheck != nil && !d.crashCheck.serverAlive() {
		loop.Pause(d.ctx, nil, time.Now().Add(propagationDelay))
	}
}

// checkStanding returns nil if the standing of the request allows an attempt, and otherwise its
// final error. A suspect also needs a trial once a server is chosen.
func (d *dispatch) checkStanding() error {
	switch {
	case d.trialNumber != 0 && d.crashCheck != nil && !d.crashCheck.serverAlive():
		return d.refuseSuspect(wire.Standing_STANDING_SUSPECTED)
	case d.suspects.hasAny() && d.suspects.standing(d.x.fingerprint()) == wire.Standing_STANDING_BARRED:
		return d.refuseSuspect(wire.Standing_STANDING_BARRED)
	}
	return nil
}

// errOtherTrial means that a request must be sent to another server than the chosen one.
var errOtherTrial = errors.New("the server runs a trial of another suspect")

// acquireTrial requests a trial at the chosen server if the request or a block of its prompt is a
// suspect. The error is errOtherTrial or the final one of the request.
func (d *dispatch) acquireTrial(l *place.Placement) error {
	if !d.suspects.hasAny() {
		return nil
	}
	f := d.x.fingerprint()
	r := &wire.TrialRequest{Server: l.Record.GetId(), DeadlineMillis: time.Until(d.x.deadline).Milliseconds()}
	if d.suspects.standing(f) == wire.Standing_STANDING_SUSPECTED {
		r.Fingerprint = f[:]
	}
	r.Blocks, _ = d.blockStandings(l.Record.GetSoftware())
	if d.changeTrial(trialSubjects(r)); len(d.trialSubjects) == 0 {
		d.trialNumber = 0
		return nil
	}
	if d.trialNumber == 0 {
		d.trialNumber = max(rand.Uint64(), 1)
	}
	r.Number = d.trialNumber
	switch d.suspects.requestTrial(d.ctx, r) {
	case wire.Trial_TRIAL_GRANTED:
		return nil
	case wire.Trial_TRIAL_APART:
		return errOtherTrial
	}
	d.trialNumber, d.trialSubjects = 0, nil
	if s := d.suspects.standing(f); s == wire.Standing_STANDING_BARRED {
		return d.refuseSuspect(s)
	}
	return d.refuseSuspect(wire.Standing_STANDING_SUSPECTED)
}

// changeTrial sets the suspects of the next trial. Those of an earlier trial that are not among them,
// because its server had another software version, are released.
func (d *dispatch) changeTrial(subjects [][]byte) {
	var released [][]byte
	for _, f := range d.trialSubjects {
		if !slices.ContainsFunc(subjects, func(g []byte) bool { return bytes.Equal(f, g) }) {
			released = append(released, f)
		}
	}
	if len(released) > 0 {
		d.suspects.enqueue(crashBatch{releasedTrials: released})
	}
	d.trialSubjects = subjects
}

// refuseSuspect returns the final error of a request that is believed to crash servers.
func (d *dispatch) refuseSuspect(s wire.Standing) error {
	switch {
	case s == wire.Standing_STANDING_BARRED:
		return sumachead.Refuse(sumachead.Ran, sumachead.ReasonEndsServers, "the servers that run this request end", time.Time{})
	case d.mayHaveRun:
		return sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonSuspected, "servers have ended under this request", time.Time{})
	}
	now := time.Now()
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonSuspected, "servers have ended under this request, and it runs elsewhere or no keeper is reached",
		waitpolicy.JitteredRetryAt(now.Add(trialRetryDelay), d.x.deadlines(), d.x.urgency(), now))
}

// reportTrialResult reports to the keepers that a suspect has succeeded or that its trial is
// released; a crash of its server has been reported before.
func (d *dispatch) reportTrialResult(err error) {
	check := d.crashCheck
	if err == nil {
		check = nil // an earlier attempt's
		d.suspects.served.Add(d.x.workspace(), d.x.request, time.Now())
		if d.stream != nil && d.stream.hasData {
			d.recordSurvival(time.Now())
		}
		if d.suspects.hasAny() && d.suspects.isSuspect(d.x.fingerprint()) {
			f := d.x.fingerprint()
			d.suspects.enqueue(crashBatch{succeeded: [][]byte{f[:]}})
		}
	}
	if d.trialNumber != 0 {
		go d.releaseTrial(d.trialSubjects, check)
	}
}

// releaseTrial releases a trial without a result, once it is known that its server has not crashed.
func (d *dispatch) releaseTrial(subjects [][]byte, l *crashCheck) {
	if l != nil {
		<-l.done
		if l.crashed {
			return
		}
	}
	d.suspects.enqueue(crashBatch{releasedTrials: subjects})
}

func (x *exchange) fingerprint() sumachead.Fingerprint {
	if !x.hasFingerprint {
		x.cachedFingerprint, x.hasFingerprint = quarantine.Fingerprint(x.view.FingerprintKey, x.workspace(), x.request), true
	}
	return x.cachedFingerprint
}
