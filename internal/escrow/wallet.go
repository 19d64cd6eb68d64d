package escrow

import (
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/timeutil"
)

// Wallet holds one node's escrow and admits requests from it without a call to the ledger. It
// is safe for concurrent use. Set the exported fields before the first call.
type Wallet struct {
	Node sumachead.NodeID
	// RequestReport requests that a report be sent soon. It must not block.
	RequestReport func()
	// EstimateGrant estimates when the ledger grants tokens that a report may ask for from the
	// time asked on, and that requests have been short of since the time since. It is nil if
	// nothing is known of the ledger.
	EstimateGrant func(asked, since time.Time) sumachead.Estimate

	mu sync.Mutex // guards the fields below, and the balances
	// boot is the holder's incarnation; the ledger may close it.
	boot     sumachead.BootID
	balances map[sumachead.WorkspaceID]*balance
	// reportedAt is when the last report with positions was made.
	reportedAt time.Time
	// limitedUntil is until when the holder keeps within its spend limits. contact identifies the last
	// reply that extended it; 0 if there is none. limitDuration is by how long the reply to the last
	// report extends it. exceeded is set if a limit may have been exceeded.
	limitedUntil  time.Time
	contact       uint64
	limitDuration time.Duration
	exceeded      bool
	// wakeScheduled is set if waiting requests will be woken up at limitedUntil, or before.
	wakeScheduled bool
	// address is where the node listens, and startedAt is since when it does or, if later, since when
	// this incarnation runs; address is empty if the node does not listen.
	address   string
	startedAt time.Time
	// announced is set once the ledger has replied to this incarnation.
	announced bool
	// openedAt is when this incarnation made its first report; zero if there was none.
	openedAt time.Time
	// changed is closed and replaced when waiting requests should try again: a reply came, a
	// settled bill freed tokens, or the incarnation has ended.
	changed chan struct{}
}

// Open starts an incarnation of the holder.
func (w *Wallet) Open(boot sumachead.BootID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset(boot)
}

// reset empties the wallet for a new incarnation of the holder. The caller holds mu.
func (w *Wallet) reset(boot sumachead.BootID) {
	w.boot = boot
	w.balances = make(map[sumachead.WorkspaceID]*balance)
	w.limitedUntil, w.contact, w.exceeded, w.openedAt = time.Time{}, 0, false, time.Time{}
	w.announced = false
	w.notify()
}

// notify wakes up all waiting requests. The caller holds mu.
func (w *Wallet) notify() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// balance returns a workspace's balance, creating it if needed. A new one is dirty, so that the
// next report includes it. The caller holds mu.
func (w *Wallet) balance(id sumachead.WorkspaceID) *balance {
	p := w.balances[id]
	if p == nil {
		p = &balance{dirty: true}
		w.balances[id] = p
	}
	return p
}

// Report returns the changes to report to the ledger, or nil when there are none. A holder that
// has tokens also reports after idleReportInterval without changes, and a new one reports until it has
// a reply, so that the ledger closes the previous one.
func (w *Wallet) Report(now time.Time, closing bool) *wire.EscrowReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.openedAt.IsZero() {
		w.openedAt = now
	}
	r := &wire.EscrowReport{Node: string(w.Node), Boot: string(w.boot), Closing: closing}
	for id, p := range w.balances {
		if !p.dirty && !closing {
			continue
		}
		r.Positions = append(r.Positions, p.reportPosition(id, now, closing, now.Sub(w.openedAt)))
	}
	if len(r.Positions) > 0 {
		w.reportedAt = now
	} else if now.Sub(w.reportedAt) >= idleReportInterval {
		w.reportedAt = now
		r.Positions = w.idlePositions(now)
	}
	if len(r.Positions) == 0 && !closing && (w.address == "" || w.announced) {
		return nil
	}
	w.addContact(r, now)
	return r
}

// idlePositions returns some of the positions with tokens or requests in flight that were not
// reported for idleReportInterval. The caller holds mu.
func (w *Wallet) idlePositions(now time.Time) []*wire.EscrowPosition {
	var out []*wire.EscrowPosition
	for id, p := range w.balances {
		if len(out) == maxIdlePositions {
			break
		}
		if p.available()+p.reserved > 0 && now.Sub(p.reportedAt) >= idleReportInterval {
			out = append(out, p.reportPosition(id, now, false, now.Sub(w.openedAt)))
			p.idleReport = true
		}
	}
	return out
}

// IncludeInReport adds workspaces that have available tokens to the next report, so that they
// can be returned. It reports whether there are any.
func (w *Wallet) IncludeInReport(ids []sumachead.WorkspaceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := false
	for _, id := range ids {
		if p := w.balances[id]; p != nil && p.available() > 0 {
			p.dirty = true
			found = true
		}
	}
	return found
}

// MarkUnsent marks a report's positions as not sent, after a call that failed. Positions without
// changes remain such.
func (w *Wallet) MarkUnsent(r *wire.EscrowReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range r.GetPositions() {
		p := w.balance(sumachead.WorkspaceID(x.GetWorkspace()))
		if p.idleReport {
			p.reportedAt, w.reportedAt = time.Time{}, time.Time{}
			continue
		}
		p.dirty = true
	}
}

// ApplyReply applies the ledger's reply. It reports whether the ledger has closed this
// incarnation; the wallet is then empty and belongs to the next one.
func (w *Wallet) ApplyReply(reply *wire.EscrowReply, boot, next sumachead.BootID, now time.Time) (closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot != boot {
		return false
	}
	if reply.GetClosed() {
		w.reset(next)
		w.startedAt = timeutil.Later(now, time.Now()) // requests may have been admitted since now
		return true
	}
	w.announced = true
	retryAt := now.Add(time.Duration(reply.GetAgainMillis()) * time.Millisecond)
	for _, a := range reply.GetAnswers() {
		w.applyAnswer(a, retryAt, now)
	}
	w.recordContact(reply.GetContact(), now)
	w.notify()
	return false
}

// applyAnswer applies the answer for one workspace. A shortfall may be requested again from
// retryAt on. The caller holds mu.
func (w *Wallet) applyAnswer(a *wire.EscrowAnswer, retryAt, now time.Time) {
	p := w.balance(sumachead.WorkspaceID(a.GetWorkspace()))
	more := sumachead.Tokens(a.GetGranted()) > p.granted
	p.granted = max(p.granted, sumachead.Tokens(a.GetGranted()))
	p.confirmLimit(a)
	const lowDivisor = 2 // a report is due when less than half of this is left
	p.lowWatermark = p.available() / lowDivisor
	p.requestAfter = time.Time{}
	if p.requesting && p.available() < p.requestedBound {
		p.requestAfter = retryAt
	}
	p.recordAnswered(now)
	p.applyLimits(a, more, now)
	if keep := sumachead.Tokens(a.GetKeep()); keep >= 0 && p.available() > keep && !p.idleReport {
		p.returned += p.available() - keep
		p.dirty = true
		w.RequestReport()
	}
}

// RefuseKnown refuses a request that the ledger's recent answers rule out, as [Wallet.Reserve] would
// at once; it returns nil if they don't. A refused request counts as demand, since the ledger
// compares the bounds of urgent and of other requests.
func (w *Wallet) RefuseKnown(q Request, now time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balances[q.Workspace]
	if p == nil {
		return nil
	}
	err := refusalFor(p.ruledOut(q, now))
	if err != nil {
		p.recordDemand(q, now)
	}
	return err
}

// scheduleReport requests a report of a workspace's shortfall, at once or from requestAfter on,
// when the ledger may have more. The caller holds mu.
func (w *Wallet) scheduleReport(p *balance, now time.Time) {
	delay := p.requestAfter.Sub(now)
	if delay <= 0 {
		w.RequestReport()
		return
	}
	if p.reportScheduled {
		return
	}
	p.reportScheduled = true
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		p.reportScheduled = false
		if len(p.waiting) > 0 || len(p.abandoned) > 0 {
			w.RequestReport()
		}
	})
}

// Available returns what could be reserved now.
func (w *Wallet) Available(id sumachead.WorkspaceID) sumachead.Tokens {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.balances[id]; p != nil {
		return p.available()
	}
	return 0
}

// Totals are a wallet's tokens over all workspaces, by state.
type Totals struct{ Available, Reserved, Spent, Returned sumachead.Tokens }

// Totals adds up the balances of all workspaces.
func (w *Wallet) Totals() Totals {
	w.mu.Lock()
	defer w.mu.Unlock()
	var s Totals
	for _, p := range w.balances {
		s.Available += p.available()
		s.Reserved += p.reserved
		s.Spent += p.spent
		s.Returned += p.returned
	}
	return s
}
