package gateway

import (
	"context"
	"errors"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/place"
	"sumachead/internal/rollout"
	"sumachead/internal/upstream"
)

// The router's part in rollouts: some requests go to canary servers of the target version, and
// their outcomes and those of the other requests are reported to the leading keeper. A final check
// before a send withholds requests that were placed before the version was withdrawn.

const (
	// outcomeReportInterval is the interval at which the router checks whether reports are due.
	outcomeReportInterval = 50 * time.Millisecond
	// outcomeReportTimeout limits a report: an election may begin within it.
	outcomeReportTimeout = 500 * time.Millisecond
	// basePrefillTokens is the number of tokens whose prefill takes about as long as a response
	// without prefill takes to begin.
	basePrefillTokens = 1000
)

// placeCanary places the request on a canary server if it is sampled for one; nil otherwise. A
// request that may crash servers goes to servers of the trusted version.
func (d *dispatch) placeCanary() *place.Placement {
	service := d.x.service.GetName()
	if !d.sampleCanary(service) {
		return nil
	}
	if !d.suspects.hasAny() || !d.suspects.isSuspect(d.x.fingerprint()) {
		canaries := rollout.CanaryServers(d.servers.CanaryServers(service, d.halls), d.isWarm)
		l := d.placeOnBest(canaries, d.tried)
		if l != nil && !d.allowsBlocks(l) {
			l.CancelNotRun(time.Now())
			l = nil
		}
		if l != nil && d.tryAdmit(l, &deniedServers{}) {
			d.metrics.canaryRequests.Inc()
			return l
		}
	}
	d.sampler.CancelSample(service)
	return nil
}

// sampleCanary reports whether an attempt may go to a canary server. Only first attempts are sampled;
// a stream that began at the target version needs a grant for each further attempt.
func (d *dispatch) sampleCanary(service string) bool {
	route := d.x.route.GetName()
	if o := d.origin(); o != nil {
		return d.sampler.SampleResumed(service, route, o.Software)
	}
	return d.lastFailure == nil && (d.stream == nil || d.stream.lastID == "") && d.sampler.SampleRequest(service, route)
}

// isWarm reports whether a server has sent a heartbeat recently and is not cold: a cold server is
// slow whatever its version.
func (d *dispatch) isWarm(r *wire.ServerRecord) bool {
	return isReporting(r) && !time.Now().Before(d.servers.ColdUntil(r.GetId(), 0))
}

// recordOutcome records the outcome of an attempt for rollouts. What the caller, a connection that
// could not be opened, a full server or a lack of memory here caused says nothing about a version.
func (d *dispatch) recordOutcome(l *place.Placement, a *upstream.Response, err error) {
	if !d.sampler.InProgress(l.Record.GetService()) {
		return
	}
	var f *upstream.Failure
	if errors.As(err, &f) && f.Verdict == sumachead.NotRun && a == nil {
		return // it reached no server
	}
	s := rollout.Outcome{
		Service: l.Record.GetService(), Route: d.x.route.GetName(), Server: l.Record.GetId(), Version: l.Record.GetSoftware(),
	}
	switch {
	case !d.isRepresentative(l) || f != nil && f.Verdict == sumachead.NotRun, errors.Is(err, upstream.ErrNoMemory):
	case err == nil:
		s.Counts, s.Failed = true, a.Head.Failed
		s.FirstEvent, s.EventGap = d.normalizedFirstByte(l, d.x.firstByteAt), d.meanEventInterval(time.Now())
	case f == nil || d.ctx.Err() != nil:
		// It took at least this long, which is known to be too long only beyond the objective.
		s.Counts = d.x.firstByteAt.IsZero() && time.Since(d.sentAt) > d.x.firstEventObjective()
		s.FirstEvent = d.normalizedFirstByte(l, time.Now())
	case f.ConnectionLost():
		go d.recordBroken(l, s)
		return
	default:
		s.Counts, s.Failed = true, true
	}
	d.sampler.Record(s)
}

// isRepresentative reports whether the outcome of an attempt says something about its server's
// version: later attempts depend on earlier ones, and a cold server is slow.
func (d *dispatch) isRepresentative(l *place.Placement) bool {
	return d.x.attempts == 1 && d.lastFailure == nil && d.x.request.LastEvent == "" && !l.Cold
}

// recordBroken records an outcome whose server broke off its response, once it is known whether the
// server has crashed.
func (d *dispatch) recordBroken(l *place.Placement, s rollout.Outcome) {
	s.Counts, s.Failed, s.Crashed = true, true, d.crashes.hasCrashed(l.Record)
	d.sampler.Record(s)
}

// normalizedFirstByte returns how long a response took to begin, as if its server had had no tokens
// to prefill: a new server has to prefill everything that others have cached.
func (d *dispatch) normalizedFirstByte(l *place.Placement, at time.Time) time.Duration {
	took := at.Sub(d.sentAt)
	if d.x.service.GetEngine() == nil {
		return took
	}
	return took * basePrefillTokens / time.Duration(basePrefillTokens+l.UncachedTokens())
}

// meanEventInterval returns the mean time between the events of a response that has just ended; 0
// if it had few.
func (d *dispatch) meanEventInterval(now time.Time) time.Duration {
	const fewEvents = 3
	if d.stream == nil || d.x.events < fewEvents {
		return 0
	}
	return now.Sub(d.x.firstByteAt) / time.Duration(d.x.events)
}

// reportOutcomes sends the reports that are due.
func (g *Gateway) reportOutcomes(ctx context.Context) {
	madeAt := boottime.Clock{}.Now()
	for _, r := range g.sampler.DueReports() {
		go g.reportOutcome(ctx, r, madeAt)
	}
}

// reportOutcome sends a report that was made at a time.
func (g *Gateway) reportOutcome(ctx context.Context, r *wire.RolloutReport, madeAt sumachead.BootTime) {
	ctx, cancel := context.WithTimeout(ctx, outcomeReportTimeout)
	defer cancel()
	grants, err := g.client.ReportOutcomes(ctx, r)
	if err != nil {
		g.servedLog.Info(g.Log, "Failed to report canary outcomes to the leading keeper.", "service", r.GetService(), "error", err)
	}
	g.sampler.HandleReply(r, grants, madeAt)
}
