package router

import (
	"errors"
	"time"

	"sumachead"
	"sumachead/internal/loop"
	"sumachead/internal/settings"
	"sumachead/internal/waitpolicy"
)

// waitForServer chooses the target of the next attempt. If no backend server is reachable, it
// waits for one as long as one is expected to respond before the deadline.
func (d *dispatch) waitForServer() error {
	for {
		err := d.place()
		if !errors.Is(err, errNoServer) {
			return err
		}
		now := time.Now()
		retryAt, wait := waitpolicy.ShouldWait(d.serverEstimate(), singleDeadline(d.x.deadline), now)
		if !wait {
			return err
		}
		if next := now.Add(probeInterval); next.Before(retryAt) {
			retryAt = next
		}
		if !loop.Pause(d.ctx, nil, retryAt) {
			return err
		}
		d.tried = nil
	}
}

// singleDeadline returns the deadlines for a caller that sets only one deadline.
func singleDeadline(deadline time.Time) waitpolicy.Deadlines {
	return waitpolicy.Deadlines{Soft: deadline, Hard: deadline}
}

// mayWaitForServer reports whether a server may accept the refused attempt as soon as its agent is
// reachable and has current settings.
func mayWaitForServer(f *sumachead.Refusal) bool {
	return f.Verdict == sumachead.NotRun &&
		(f.Reason == sumachead.ReasonServerUnreached || f.Reason == sumachead.ReasonSettingsStale)
}

// serverEstimate estimates when a backend server is available for the request: the server that has
// been silent for the shortest time, or has just refused, is expected to stay unavailable for
// as long as it has been so far. Leaving servers do not count.
func (d *dispatch) serverEstimate() sumachead.Estimate {
	latest := d.refusedAt
	if pool := d.follower.View().Pool(d.x.pool.ID); pool != nil {
		latest = d.links.silentSince(pool, latest)
	}
	return waitpolicy.ElapsedEstimate{Since: latest}
}

// silentSince returns the latest time at which a backend server of the pool became silent, or
// latest if that is later. Leaving servers do not count.
func (t *linkTable) silentSince(p *settings.ResolvedPool, latest time.Time) time.Time {
	for i := range p.Servers {
		s := &p.Servers[i]
		if s.State == settings.ServerLeaving {
			continue
		}
		if since := t.get(s).silentSince(); since.After(latest) {
			latest = since
		}
	}
	return latest
}
