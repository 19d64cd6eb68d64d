package blame

import (
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// A server runs dozens of requests at a time, and all of them break when it ends. A request
// under which one server has ended is most likely a neighbour of the guilty one, and its next
// try comes to a good end, which clears it. So nothing follows from one end; a request under
// which a second one has ended, with no good end between, is suspected and runs on trial only,
// one at a time in the whole fleet and no two suspects at one server; and only one under which
// a server ends on trial is barred. Servers that end for a reason of their own, many at once
// even, so bar nobody. Without the good ends, and with trials beside each other, a request that
// a third of the callers sent was barred in a soak in which two others ended servers, and 1,104
// of 2,400 were refused (TestFleetSoak, 20 s, seed 7).

const (
	// suspectAt is under how many ends a request is suspected. With the one on trial a
	// request that is sent again once it has failed ends three servers.
	suspectAt = 2
	// sameEnd is within how long the ends that routers saw of one server are the same: they
	// see it within some round trips, and a server takes longer to start again.
	sameEnd = 400 * time.Millisecond
	// trialMost bounds a trial whose router does not tell how it ended: what a request may
	// wait for a slot and be read (2.4 s were seen at busy engines), some times over.
	trialMost = 10 * time.Second
	// heldFor is for how long something is held against a request of which nothing is heard:
	// far longer than callers wait between tries. A barred one is suspected from then on.
	heldFor = 10 * time.Minute
	// mostCases bounds the requests of which ends are remembered: those under way at 256
	// engines that end within heldFor, some 200 bytes each.
	mostCases = 16384
	// serversNamed bounds the servers that are named to operators for one request.
	serversNamed = 4
)

// Docket is what a keeper that leads knows of requests under which servers have ended. Its
// memory is soft: what has followed is in the fleet's log ([List]), and a new leader starts
// counting from there. It is safe for concurrent use; the zero value is ready.
type Docket struct {
	mu    sync.Mutex // guards the fields below
	cases map[sumachead.Fingerprint]*docketCase
	// trials are the requests that run on trial, by the server.
	trials map[string]sumachead.Fingerprint
}

// docketCase is what is known of one request.
type docketCase struct {
	// ends are the newest ends under it since its last good end, oldest first.
	ends []serverEnd
	// trial is how it runs on trial; nil for not at all.
	trial *trial
	// guilty: a server has ended under it on trial.
	guilty bool
	// heardAt is when something was last told of it.
	heardAt time.Time
}

// trial is the one run of a request that is suspected.
type trial struct {
	// node is the router, and number what it has drawn for the trial.
	node   sumachead.NodeID
	number uint64
	server string
	// until is when it is over at the latest.
	until time.Time
}

// serverEnd is one end of a server.
type serverEnd struct {
	server string
	at     time.Time
}

// Note takes in what a router tells, and returns how requests stand anew by it. How they
// stood so far is told by a function.
func (d *Docket) Note(r *wire.EndsReport, standing func(sumachead.Fingerprint) wire.Standing, now time.Time) []*wire.Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []*wire.Suspect
	change := func(f sumachead.Fingerprint, s wire.Standing) {
		if standing(f) != s {
			changes = append(changes, d.suspect(f, s, now))
		}
	}
	for _, e := range r.GetEnds() {
		f, ok := parse(e.GetFingerprint())
		if !ok {
			continue
		}
		switch c := d.noteEnd(f, r.GetNode(), e, now); {
		case c == nil:
		case c.guilty:
			change(f, wire.Standing_STANDING_BARRED)
		case len(c.ends) >= suspectAt && standing(f) == wire.Standing_STANDING_CLEARED:
			change(f, wire.Standing_STANDING_SUSPECTED)
		}
	}
	for _, b := range r.GetSurvived() {
		if f, ok := parse(b); ok {
			change(f, wire.Standing_STANDING_CLEARED)
			d.drop(f)
		}
	}
	for _, b := range r.GetUntried() {
		f, _ := parse(b)
		if c := d.cases[f]; c != nil && c.onTrial(r.GetNode(), now) {
			d.endTrial(c)
		}
	}
	return changes
}

// noteEnd counts an end of a server under a request, unless it is known: a report may come
// again whose change was not committed. It returns nil where too much is remembered already.
// The caller holds mu.
func (d *Docket) noteEnd(f sumachead.Fingerprint, node string, e *wire.ServerEnd, now time.Time) *docketCase {
	c := d.of(f, now)
	if c == nil {
		return nil
	}
	at := now.Add(-time.Duration(e.GetAgeMillis()) * time.Millisecond)
	if c.add(serverEnd{e.GetServer(), at}) && c.onTrial(node, now) && c.trial.server == e.GetServer() {
		d.endTrial(c)
		c.guilty = true
	}
	return c
}

// Try answers whether a router may run a request that is suspected at a server. How requests
// stand is told by a function.
func (d *Docket) Try(r *wire.TrialRequest, standing func(sumachead.Fingerprint) wire.Standing, now time.Time) wire.Trial {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := parse(r.GetFingerprint())
	c := d.of(f, now)
	if !ok || c == nil || c.guilty || standing(f) == wire.Standing_STANDING_BARRED {
		return wire.Trial_TRIAL_REFUSED
	}
	next := &trial{
		node: sumachead.NodeID(r.GetNode()), number: r.GetNumber(), server: r.GetServer(),
		until: now.Add(min(time.Duration(r.GetDeadlineMillis())*time.Millisecond, trialMost)),
	}
	if c.trial != nil && now.Before(c.trial.until) && (c.trial.node != next.node || c.trial.number != next.number) {
		return wire.Trial_TRIAL_REFUSED
	}
	if other := d.cases[d.trials[next.server]]; other != nil && other != c && other.trial != nil && now.Before(other.trial.until) {
		return wire.Trial_TRIAL_APART
	}
	d.endTrial(c)
	c.trial = next
	if d.trials == nil {
		d.trials = make(map[string]sumachead.Fingerprint)
	}
	d.trials[next.server] = f
	return wire.Trial_TRIAL_GRANTED
}

// Accused reports whether a server has ended under a request since its last good end.
func (d *Docket) Accused(f sumachead.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cases[f] != nil
}

// Len returns how many requests are remembered.
func (d *Docket) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.cases)
}

// Expire forgets requests of which nothing was heard for long, and returns how suspects
// stand anew that have stood as they do for long.
func (d *Docket) Expire(suspects []*wire.Suspect, now time.Time) []*wire.Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f, c := range d.cases {
		if now.Sub(c.heardAt) > heldFor {
			d.drop(f)
		}
	}
	var changes []*wire.Suspect
	for _, s := range suspects {
		if now.Sub(time.UnixMilli(s.GetSinceUnixMillis())) <= heldFor {
			continue
		}
		f, _ := parse(s.GetFingerprint())
		switch s.GetStanding() {
		case wire.Standing_STANDING_BARRED:
			if c := d.cases[f]; c != nil {
				c.guilty = false
			}
			changes = append(changes, d.suspect(f, wire.Standing_STANDING_SUSPECTED, now))
		case wire.Standing_STANDING_SUSPECTED:
			d.drop(f)
			changes = append(changes, d.suspect(f, wire.Standing_STANDING_CLEARED, now))
		}
	}
	return changes
}

// of returns the case of a request; nil where there are too many. The caller holds mu.
func (d *Docket) of(f sumachead.Fingerprint, now time.Time) *docketCase {
	c := d.cases[f]
	if c == nil {
		if len(d.cases) >= mostCases {
			return nil
		}
		if d.cases == nil {
			d.cases = make(map[sumachead.Fingerprint]*docketCase)
		}
		c = &docketCase{}
		d.cases[f] = c
	}
	c.heardAt = now
	return c
}

// suspect returns how a request stands from now on. The caller holds mu.
func (d *Docket) suspect(f sumachead.Fingerprint, s wire.Standing, now time.Time) *wire.Suspect {
	out := &wire.Suspect{Fingerprint: f[:], Standing: s, SinceUnixMillis: now.UnixMilli()}
	if c := d.cases[f]; c != nil && s != wire.Standing_STANDING_CLEARED {
		for _, e := range c.ends {
			out.Servers = append(out.Servers, e.server)
		}
	}
	return out
}

// add adds an end; it reports whether that was not known.
func (c *docketCase) add(e serverEnd) bool {
	known := slices.ContainsFunc(c.ends, func(o serverEnd) bool {
		return o.server == e.server && o.at.Sub(e.at).Abs() < sameEnd
	})
	if known {
		return false
	}
	c.ends = append(c.ends, e)
	c.ends = c.ends[max(len(c.ends)-serversNamed, 0):]
	return true
}

// onTrial reports whether a router runs the request on trial.
func (c *docketCase) onTrial(node string, now time.Time) bool {
	return c.trial != nil && string(c.trial.node) == node && now.Before(c.trial.until)
}

// endTrial ends the trial of a request, if there is one. The caller holds mu.
func (d *Docket) endTrial(c *docketCase) {
	if c.trial == nil {
		return
	}
	if d.cases[d.trials[c.trial.server]] == c {
		delete(d.trials, c.trial.server)
	}
	c.trial = nil
}

// drop forgets a request. The caller holds mu.
func (d *Docket) drop(f sumachead.Fingerprint) {
	if c := d.cases[f]; c != nil {
		d.endTrial(c)
		delete(d.cases, f)
	}
}
