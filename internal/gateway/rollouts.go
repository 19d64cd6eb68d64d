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

// A router's part of roll-outs: some requests go to servers of the version on trial, and what
// becomes of these and of the others is told to the leading keeper. The last look before a send
// keeps back what was chosen before the version went out of use.

const (
	// sampleTick is how often it is looked whether reports are due.
	sampleTick = 50 * time.Millisecond
	// sampleTimeout bounds a report: within it an election may begin.
	sampleTimeout = 500 * time.Millisecond
	// readBase is how many tokens take about as long to read as an answer takes to begin that
	// needs none to be read.
	readBase = 1000
)

// placeSample places the request at a server of a version on trial, if it is to be a sample; nil
// otherwise. Only first attempts are: what failed elsewhere, or goes on with a stream, goes to
// servers that are trusted. So does what may end servers.
func (d *dispatch) placeSample() *place.Placement {
	service := d.x.service.GetName()
	if d.last != nil || d.stream != nil && d.stream.lastID != "" || !d.sampler.Draw(service, d.x.route.GetName()) {
		return nil
	}
	if !d.suspects.any() || !d.suspects.held(d.x.fingerprint()) {
		few := rollout.Few(d.servers.OnTrial(service, d.homes), d.isWarm)
		if l := d.placeAmong(few, d.tried); l != nil && d.admitted(l, &heldUp{}) {
			d.metrics.samples.Inc()
			return l
		}
	}
	d.sampler.Undo(service)
	return nil
}

// isWarm reports whether a server has been heard of lately and is not cold: one that is cold is
// slow whatever its version.
func (d *dispatch) isWarm(r *wire.ServerRecord) bool {
	return isHeard(r) && !time.Now().Before(d.servers.ColdUntil(r.GetId(), 0))
}

// noteSample takes in what became of an attempt that was to reach a server, for roll-outs. What
// the caller, a connection that could not be opened, or a full server caused tells nothing of a
// version.
func (d *dispatch) noteSample(l *place.Placement, a *upstream.Response, err error) {
	if !d.sampler.Going(l.Record.GetService()) {
		return
	}
	var f *upstream.Failure
	if errors.As(err, &f) && f.Verdict == sumachead.NotRun && a == nil {
		return // it reached nobody
	}
	s := rollout.Sample{
		Service: l.Record.GetService(), Route: d.x.route.GetName(), Server: l.Record.GetId(), Version: l.Record.GetSoftware(),
	}
	switch {
	case !d.tellsOfVersion(l) || f != nil && f.Verdict == sumachead.NotRun:
	case err == nil:
		s.Counts, s.Failed = true, a.Head.Failed
		s.First, s.Pace = d.firstTook(l, d.x.firstAt), d.paceTook(time.Now())
	case f == nil || d.ctx.Err() != nil:
		// It took so long at least; whether that is too long shows only beyond the objective.
		s.Counts = d.x.firstAt.IsZero() && time.Since(d.sentAt) > d.x.objective()
		s.First = d.firstTook(l, time.Now())
	case f.ConnectionLost():
		go d.noteBroken(l, s)
		return
	default:
		s.Counts, s.Failed = true, true
	}
	d.sampler.Note(s)
}

// tellsOfVersion reports whether what became of an attempt tells of its server's version: later
// ones depend on those before, and a cold server is slow.
func (d *dispatch) tellsOfVersion(l *place.Placement) bool {
	return d.x.attempts == 1 && d.last == nil && d.x.request.LastEvent == "" && !l.Cold
}

// noteBroken takes in a sample whose server broke off its answer, once it is known whether the
// server has ended.
func (d *dispatch) noteBroken(l *place.Placement, s rollout.Sample) {
	s.Counts, s.Failed, s.Ended = true, true, d.ends.ended(l.Record)
	d.sampler.Note(s)
}

// firstTook returns how long an answer took to begin, as if its server had had nothing to read:
// one that is new has to read in full what others keep.
func (d *dispatch) firstTook(l *place.Placement, at time.Time) time.Duration {
	took := at.Sub(d.sentAt)
	if d.x.service.GetEngine() == nil {
		return took
	}
	return took * readBase / time.Duration(readBase+l.UncachedTokens())
}

// paceTook returns the mean time between the events of an answer that has just ended; 0 for one
// that had few.
func (d *dispatch) paceTook(now time.Time) time.Duration {
	const fewEvents = 3
	if d.stream == nil || d.x.events < fewEvents {
		return 0
	}
	return now.Sub(d.x.firstAt) / time.Duration(d.x.events)
}

// tellSamples sends the reports that are due.
func (g *Gateway) tellSamples(ctx context.Context) {
	madeAt := boottime.Clock{}.Now()
	for _, r := range g.sampler.Due() {
		go g.tellSample(ctx, r, madeAt)
	}
}

// tellSample sends a report that was made at a time.
func (g *Gateway) tellSample(ctx context.Context, r *wire.RolloutReport, madeAt sumachead.BootTime) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	grants, err := g.client.Sample(ctx, r)
	if err != nil {
		g.lines.Info(g.Log, "What is known of a version on trial was not told.", "service", r.GetService(), "error", err)
	}
	g.sampler.Take(r, grants, madeAt)
}
