package quarantine

import (
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// A server runs dozens of requests at a time, and all of them fail when it crashes. A request
// that was running during one crash is most likely not the cause, and its next attempt succeeds,
// which clears it. So one crash has no consequence. After a second crash without a success in
// between, a request is suspected and runs on trial only: one trial per request at a time in the
// whole fleet, and no two suspects at one server. A request is barred only if a server crashes
// during its trial and no other server crashes at about the same time. So servers that crash for
// other reasons bar no request, even many at once: without the check for other crashes, 3 harmless
// requests were refused in ten simulated fleets with a trial at one of the crashed servers, with it
// 3 in 482 (TestFleetsBarTheBadRequestAlone). Without counting successes, and with several trials at
// one server, a harmless request that most callers sent was barred while two others crashed servers:
// 1,104 of 2,400 requests were refused.

const (
	// suspectCrashes is the number of crashes from which on a request is suspected. With the one on
	// trial, a request that is retried after each failure crashes three servers.
	suspectCrashes = 2
	// duplicateWindow is the time within which crashes of one server that routers report are the
	// same one: routers notice it within a few round trips, and a server takes longer to restart.
	duplicateWindow = 400 * time.Millisecond
	// correlationWindow is the time within which crashes of several servers most likely have a
	// common cause, such as the failure of a rack or a data hall, and not a request that only some
	// of them ran.
	correlationWindow = 250 * time.Millisecond
	// lateReportTime is how long reports of a crash are awaited: late ones come from routers that were
	// partitioned.
	lateReportTime = 4 * correlationWindow
	// maxTrialTime bounds a trial whose router does not report the result: several times what a
	// request may wait for a slot and be read (2.4 s at busy engines).
	maxTrialTime = 10 * time.Second
	// standingTTL is how long a request without new reports stays suspected or barred: far longer
	// than callers wait between retries. A barred request becomes suspected again after it.
	standingTTL = 10 * time.Minute
	// successTTL is how long a success counts in favor of a request, since it shows that the request
	// does not crash every server that runs it. If such a request is barred nevertheless, because
	// the actual cause ran beside its trial, it is tried again after retrialDelay. Without this, two
	// other requests that began to crash servers at the same time had 1,140 requests that most
	// callers sent refused in 20 s.
	successTTL   = time.Minute
	retrialDelay = 5 * time.Second
	// maxRecords bounds the number of records: enough for the requests in flight at 256 engines
	// that crash within standingTTL, at some 200 bytes each.
	maxRecords = 16384
	// maxCrashes bounds the crashes in one record: as many as copies of a request are in flight at a
	// time. maxNamedServers of the crashed servers are shown to operators.
	maxCrashes      = 16
	maxNamedServers = 4
)

// Tracker tracks, at the leading keeper, the requests that were running when servers crashed, and the
// blocks of their prompts. Its
// state is not replicated: only the resulting standings are in the fleet's log ([List]), and a new
// leader starts counting from there. It is safe for concurrent use; the zero value is ready to use.
type Tracker struct {
	mu      sync.Mutex // guards the fields below
	records map[sumachead.Fingerprint]*record
	// trials are the requests that run on trial, keyed by server.
	trials map[string]sumachead.Fingerprint
	// recent are the crashes within a few times correlationWindow, whatever requests the servers
	// ran, and decided the requests whose trial ended with a crash in that time.
	recent  []crash
	decided []sumachead.Fingerprint
	// history are the crashes within historyTime, by service and version, and barredBlocks the blocks
	// that have been barred here.
	history      []versionCrash
	barredBlocks []sumachead.Fingerprint
}

// HandleReport records a router's report and returns the standings that it changes. The function
// standing returns the current standing of a request.
func (d *Tracker) HandleReport(r *wire.EndsReport, standing func(sumachead.Fingerprint) wire.Standing, now time.Time) []*wire.Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &update{Tracker: d, standing: standing, now: now}
	d.addServers(r, now)
	for _, e := range r.GetEnds() {
		n.recordCrash(r.GetNode(), e)
		n.recordBlockCrashes(r.GetNode(), e)
	}
	n.decideTrials()
	for _, b := range r.GetRecalled() {
		n.recall(b)
	}
	for _, b := range r.GetSurvived() {
		if f, ok := parse(b); ok {
			n.change(f, wire.Standing_STANDING_CLEARED)
			d.clear(f, now)
		}
	}
	for _, b := range r.GetUntried() {
		f, _ := parse(b)
		if c := d.records[f]; c != nil && c.isOnTrial(r.GetNode(), now) {
			d.endTrial(c)
		}
	}
	return n.changes
}

// update is the state while a tracker processes one report.
type update struct {
	*Tracker
	standing func(sumachead.Fingerprint) wire.Standing
	now      time.Time
	changes  []*wire.Suspect
}

// change adds the new standing of a request or block to the changes, if it differs from the current
// one.
func (n *update) change(f sumachead.Fingerprint, s wire.Standing) {
	if n.current(f) != s {
		n.changes = append(n.changes, n.suspect(f, s, n.now))
	}
}

// current returns the standing of a request or block, including the changes of this report.
func (n *update) current(f sumachead.Fingerprint) wire.Standing {
	for _, x := range slices.Backward(n.changes) {
		if sumachead.Fingerprint(x.GetFingerprint()) == f {
			return x.GetStanding()
		}
	}
	return n.standing(f)
}

// recordCrash records that a server crashed while it ran a request.
func (n *update) recordCrash(node string, e *wire.ServerEnd) {
	f, ok := parse(e.GetFingerprint())
	if !ok {
		return
	}
	c := n.recordOf(f, n.now)
	if c == nil {
		return
	}
	if e.GetServed() {
		c.succeededAt = n.now
	}
	n.addCrash(c, f, node, e, n.now)
	if c.isSuspicious() && n.current(f) == wire.Standing_STANDING_CLEARED {
		n.change(f, wire.Standing_STANDING_SUSPECTED)
	}
}

// decideTrials bars the requests and blocks whose recent trial proves that they crash servers, and
// lifts the bar where another crash has invalidated the proof.
func (n *update) decideTrials() {
	for _, f := range n.decided {
		switch c := n.records[f]; {
		case c == nil:
		case n.isProven(f, c):
			n.bar(f, c)
		case c.trialCrash == nil: // cleared since, which may not be committed yet
		case n.current(f) == wire.Standing_STANDING_BARRED:
			n.change(f, wire.Standing_STANDING_SUSPECTED)
		}
	}
}

// isProven reports whether the last trial proves that a request or block crashes servers.
func (n *update) isProven(f sumachead.Fingerprint, c *record) bool {
	return c.barredByLead || c.hasTrialCrash() && (c.block == nil || n.isBlockProven(f, c))
}

// bar bars a request or block.
func (n *update) bar(f sumachead.Fingerprint, c *record) {
	if n.current(f) != wire.Standing_STANDING_BARRED {
		if n.now.Sub(c.barredAt) > lateReportTime { // otherwise the same bar, which is not committed yet
			c.bars, c.barredAt = c.bars+1, n.now
		}
		n.change(f, wire.Standing_STANDING_BARRED)
	}
	if c.block == nil {
		return
	}
	if !slices.Contains(n.barredBlocks, f) {
		n.barredBlocks = append(n.barredBlocks, f)
		n.suspectElsewhere(c.block)
	}
	n.explain(f, c)
}

// addCrash counts a crash of a server that ran a request or responded to a block, unless it is known,
// as a router sends a report again if its change was not committed, or a barred block explains it. The
// caller holds mu.
func (d *Tracker) addCrash(c *record, f sumachead.Fingerprint, node string, e *wire.ServerEnd, now time.Time) {
	x := crashOf(e, now)
	if d.isExplained(f, x) {
		return
	}
	if c.add(x) {
		c.otherCrashes = slices.DeleteFunc(c.otherCrashes, func(server string) bool { return server == x.server })
	}
	if c.isOnTrial(node, now) && c.trial.server == x.server {
		c.trialWith = c.trial.with
		d.endTrial(c)
		c.trialCrash = &x
		c.trialCrashes++
		for _, o := range d.recent {
			c.addOtherCrash(o)
		}
		if !slices.Contains(d.decided, f) {
			d.decided = append(d.decided, f)
		}
	}
}

// crashOf returns the crash that a router has reported.
func crashOf(e *wire.ServerEnd, now time.Time) crash {
	return crash{e.GetServer(), now.Add(-time.Duration(e.GetAgeMillis()) * time.Millisecond)}
}

// addServers records which servers have crashed and removes old crashes. The caller holds mu.
func (d *Tracker) addServers(r *wire.EndsReport, now time.Time) {
	d.recent = slices.DeleteFunc(d.recent, func(o crash) bool { return now.Sub(o.at) > lateReportTime })
	d.dropDecided(now)
	d.history = slices.DeleteFunc(d.history, func(o versionCrash) bool { return now.Sub(o.at) > historyTime })
	for _, e := range r.GetEnds() {
		x := crashOf(e, now)
		d.addHistory(x, e)
		if slices.ContainsFunc(d.recent, x.same) {
			continue
		}
		d.recent = append(d.recent, x)
		for _, f := range d.decided {
			d.records[f].addOtherCrash(x)
		}
	}
}

// HasPending reports whether standings may change without a further report.
func (d *Tracker) HasPending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.decided) > 0
}

// DecidePending returns the changes of standings that become due without a further report, because all
// reports of a crash have had time to arrive. The function standing returns the current standings.
func (d *Tracker) DecidePending(standing func(sumachead.Fingerprint) wire.Standing, now time.Time) []*wire.Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &update{Tracker: d, standing: standing, now: now}
	n.decideTrials()
	d.dropDecided(now)
	return n.changes
}

// dropDecided drops the decided trials that later reports no longer change. The caller holds mu.
func (d *Tracker) dropDecided(now time.Time) {
	d.decided = slices.DeleteFunc(d.decided, func(f sumachead.Fingerprint) bool {
		c := d.records[f]
		return c == nil || c.trialCrash == nil || now.Sub(c.trialCrash.at) > lateReportTime
	})
}

// DecideTrial decides whether a router may run a request on trial at a server, if the request or
// blocks of its prompt are suspected. The function standing returns the current standing of each.
func (d *Tracker) DecideTrial(r *wire.TrialRequest, standing func(sumachead.Fingerprint) wire.Standing, now time.Time) wire.Trial {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := &trial{
		node: sumachead.NodeID(r.GetNode()), number: r.GetNumber(), server: r.GetServer(),
		until: now.Add(min(time.Duration(r.GetDeadlineMillis())*time.Millisecond, maxTrialTime)),
	}
	for _, b := range slices.Concat([][]byte{r.GetFingerprint()}, r.GetBlocks()) {
		if len(b) == 0 {
			continue
		}
		f, ok := parse(b)
		c := d.recordOf(f, now)
		if !ok || c == nil || standing(f) == wire.Standing_STANDING_BARRED || c.isPending(now) || c.isOnOtherTrial(next, now) {
			return wire.Trial_TRIAL_REFUSED
		}
		next.with = append(next.with, f)
	}
	if len(next.with) == 0 {
		return wire.Trial_TRIAL_REFUSED
	}
	at := d.trials[next.server]
	if other := d.records[at]; other != nil && !slices.Contains(next.with, at) && other.trial != nil && now.Before(other.trial.until) {
		return wire.Trial_TRIAL_APART
	}
	for _, f := range next.with {
		c := d.records[f]
		c.resetTrialCrash()
		d.endTrial(c)
		c.trial = next
	}
	if d.trials == nil {
		d.trials = make(map[string]sumachead.Fingerprint)
	}
	d.trials[next.server] = next.with[0]
	return wire.Trial_TRIAL_GRANTED
}

// HasCrashes reports whether a server has crashed while running a request since its last success.
func (d *Tracker) HasCrashes(f sumachead.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.records[f]
	return c != nil && len(c.crashes) > 0
}

// Len returns the number of requests on record.
func (d *Tracker) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.records)
}

// Expire removes the records of requests without recent reports, and returns the changes of those
// standings that have expired.
func (d *Tracker) Expire(suspects []*wire.Suspect, now time.Time) []*wire.Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f, c := range d.records {
		ttl := standingTTL
		if len(c.crashes) == 0 {
			ttl = successTTL
		}
		if now.Sub(c.updatedAt) > ttl {
			d.remove(f)
		}
	}
	var changes []*wire.Suspect
	for _, s := range suspects {
		if now.Before(time.UnixMilli(s.GetUntilUnixMillis())) {
			continue
		}
		f, _ := parse(s.GetFingerprint())
		switch s.GetStanding() {
		case wire.Standing_STANDING_BARRED:
			if c := d.records[f]; c != nil {
				c.resetTrialCrash()
				c.trialCrashes, c.barredByLead = 0, false
			}
			changes = append(changes, d.suspect(f, wire.Standing_STANDING_SUSPECTED, now))
		case wire.Standing_STANDING_SUSPECTED:
			d.remove(f)
			changes = append(changes, d.suspect(f, wire.Standing_STANDING_CLEARED, now))
		default:
			continue
		}
		changes[len(changes)-1].Block = s.GetBlock()
	}
	return changes
}

// recordOf returns the record of a request, which it creates if needed; nil if there are too many.
// The caller holds mu.
func (d *Tracker) recordOf(f sumachead.Fingerprint, now time.Time) *record {
	c := d.records[f]
	if c == nil {
		if len(d.records) >= maxRecords {
			return nil
		}
		if d.records == nil {
			d.records = make(map[sumachead.Fingerprint]*record)
		}
		c = &record{}
		d.records[f] = c
	}
	c.updatedAt = now
	return c
}

// suspect returns the message with the new standing of a request. The caller holds mu.
func (d *Tracker) suspect(f sumachead.Fingerprint, s wire.Standing, now time.Time) *wire.Suspect {
	ttl, c := standingTTL, d.records[f]
	if s == wire.Standing_STANDING_BARRED && c != nil && now.Sub(c.succeededAt) < successTTL {
		ttl = retrialDelay
	}
	if s == wire.Standing_STANDING_BARRED && c != nil && c.block != nil && c.bars == 1 {
		ttl = firstBarTTL
	}
	out := &wire.Suspect{Fingerprint: f[:], Standing: s, SinceUnixMillis: now.UnixMilli(), UntilUnixMillis: now.Add(ttl).UnixMilli()}
	if c != nil {
		out.Block = c.block
	}
	if c != nil && s != wire.Standing_STANDING_CLEARED {
		for _, e := range c.crashes[max(len(c.crashes)-maxNamedServers, 0):] {
			out.Servers = append(out.Servers, e.server)
		}
	}
	return out
}

// endTrial ends the trial of a request, if any. The caller holds mu.
func (d *Tracker) endTrial(c *record) {
	if c.trial == nil {
		return
	}
	if d.records[d.trials[c.trial.server]] == c {
		delete(d.trials, c.trial.server)
	}
	c.trial = nil
}

// clear resets the crashes of a request that has succeeded. The caller holds mu.
func (d *Tracker) clear(f sumachead.Fingerprint, now time.Time) {
	if c := d.records[f]; c != nil {
		d.endTrial(c)
		d.records[f] = &record{block: c.block, succeededAt: now, updatedAt: now}
	}
	d.barredBlocks = slices.DeleteFunc(d.barredBlocks, func(o sumachead.Fingerprint) bool { return o == f })
}

// remove removes the record of a request. The caller holds mu.
func (d *Tracker) remove(f sumachead.Fingerprint) {
	if c := d.records[f]; c != nil {
		d.endTrial(c)
		delete(d.records, f)
	}
}
