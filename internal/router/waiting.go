package router

import (
	"errors"
	"time"

	"sumachead"
	"sumachead/internal/loop"
	"sumachead/internal/patience"
	"sumachead/internal/settings"
)

// awaitServer places the next attempt, and waits for a backend server where none can be
// reached for now: as long as one is expected to come back before the deadline.
func (d *dispatch) awaitServer() error {
	for {
		err := d.place()
		if !errors.Is(err, errNoServer) {
			return err
		}
		now := time.Now()
		again, wait := patience.ShouldWait(d.lacking(), usefulUntil(d.x.deadline), now)
		if !wait {
			return err
		}
		if next := now.Add(probeEvery); next.Before(again) {
			again = next
		}
		if !loop.Pause(d.ctx, nil, again) {
			return err
		}
		d.tried = nil
	}
}

// usefulUntil is the use of an answer to a caller who tells nothing but a deadline.
func usefulUntil(deadline time.Time) patience.Deadlines {
	return patience.Deadlines{Soft: deadline, Hard: deadline}
}

// mayAwait reports whether a refused attempt is one that a backend server may take as
// soon as it runs and knows the settings.
func mayAwait(f *sumachead.Refusal) bool {
	return f.Verdict == sumachead.NotRun &&
		(f.Reason == sumachead.ReasonServerUnreached || f.Reason == sumachead.ReasonSettingsStale)
}

// lacking is the prospect of a backend server for the request: the server that has been
// silent for the shortest time, or has just refused, is expected to take as long again.
// Servers that leave do not count.
func (d *dispatch) lacking() sumachead.Estimate {
	latest := d.refusedAt
	if pool := d.follower.View().Pool(d.x.pool.ID); pool != nil {
		latest = d.links.silentSince(pool, latest)
	}
	return patience.ElapsedEstimate{Since: latest}
}

// silentSince returns the latest time, after the one given, since which a backend server
// of the pool that may get new work has been silent.
func (t *linkTable) silentSince(p *settings.ResolvedPool, latest time.Time) time.Time {
	for i := range p.Servers {
		s := &p.Servers[i]
		if s.State == settings.ServerLeaving {
			continue
		}
		if since := t.get(s).silent(); since.After(latest) {
			latest = since
		}
	}
	return latest
}
