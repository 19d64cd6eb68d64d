package fleetclient

import (
	"sync"
	"time"

	"sumachead"
	"sumachead/internal/waitpolicy"
)

const (
	// initialLatency is the expected duration of a report before the first response: a synced
	// write of a Raft group on slow disks.
	initialLatency = 50 * time.Millisecond
	// latencyWeight is the weight of one report in the moving average.
	latencyWeight = 0.2
	// overdueFactor is how many times its expected duration a report may take before the ledger
	// counts as unreachable since the report was sent.
	overdueFactor = 4
)

// ledgerLatency tracks when and how fast the ledger responds.
type ledgerLatency struct {
	// lastResponseAt returns when the ledger's leader last responded to any call.
	lastResponseAt func() time.Time

	mu sync.Mutex // guards the fields below
	// average is the moving average of the duration of successful reports; 0 before the first.
	average time.Duration
	// sentAt is when the report in flight was sent; zero if there is none.
	sentAt time.Time
	// failingSince is when the first failed report after the last success was sent, and failedAt
	// is when the last one failed; failingSince is zero while the ledger responds.
	failingSince time.Time
	failedAt     time.Time
}

// reportSent records that a report is sent.
func (t *ledgerLatency) reportSent(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentAt = now
}

// reportEnded records the result of the report in flight.
func (t *ledgerLatency) reportEnded(now time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := now.Sub(t.sentAt)
	if ok {
		t.average = t.expected() + time.Duration(latencyWeight*float64(took-t.expected()))
		t.failingSince = time.Time{}
	} else {
		if t.failingSince.IsZero() {
			t.failingSince = t.sentAt
		}
		t.failedAt = now
	}
	t.sentAt = time.Time{}
}

// expected returns the expected duration of a report. The caller holds mu.
func (t *ledgerLatency) expected() time.Duration {
	if t.average == 0 {
		return initialLatency
	}
	return t.average
}

// unreachableSince returns since when the ledger has been unreachable. It is zero while the ledger
// responds, and once its leader has responded to any call after the last failed report. The caller
// holds mu.
func (t *ledgerLatency) unreachableSince(now time.Time) time.Time {
	if !t.failingSince.IsZero() && t.lastResponseAt().After(t.failedAt) {
		t.failingSince = time.Time{}
	}
	if t.failingSince.IsZero() && !t.sentAt.IsZero() && now.Sub(t.sentAt) > overdueFactor*t.expected() {
		return t.sentAt
	}
	return t.failingSince
}

// isUnreachable reports whether the ledger is unreachable.
func (t *ledgerLatency) isUnreachable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.unreachableSince(now).IsZero()
}

// estimate returns the estimate for tokens that a report may request from asked on, and that
// requests have been short of since another time.
func (t *ledgerLatency) estimate(asked, since time.Time) sumachead.Estimate {
	return ledgerEstimate{t, asked, since}
}

// ledgerEstimate estimates when tokens become available. While the ledger responds, they may
// come with the response to the next report, which is in flight or sent after minReportInterval.
// A request that did not wait for it would be told to retry even if that response says that the
// budget is used up: leaving out minReportInterval raises the value of the requests that are
// refused a second time from 0.0042 to 0.0059. After that response, tokens come when other
// holders give some back or requests finish, which is assumed to take as long again as requests
// have been short. While the ledger does not respond, the same assumption applies to the time
// since it became unreachable.
type ledgerEstimate struct {
	latency     *ledgerLatency
	requestedAt time.Time
	shortSince  time.Time
}

// Expect implements sumachead.Estimate.
func (p ledgerEstimate) Expect(now time.Time) (at time.Time, sure bool) {
	t := p.latency
	t.mu.Lock()
	defer t.mu.Unlock()
	if out := t.unreachableSince(now); !out.IsZero() {
		return waitpolicy.ElapsedEstimate{Since: out}.Expect(now)
	}
	return waitpolicy.TypicalEstimate{Since: p.shortSince, By: p.requestedAt.Add(minReportInterval + t.expected())}.Expect(now)
}
