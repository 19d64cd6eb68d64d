package fleetclient

import (
	"sync"
	"time"

	"sumachead"
	"sumachead/internal/patience"
)

const (
	// firstAnswer is what a report is expected to take as long as none was answered:
	// a synced write of a group on slow disks.
	firstAnswer = 50 * time.Millisecond
	// answerWeight is the weight of one report in what is expected of the next.
	answerWeight = 0.2
	// overdue is how many times what is expected a report may take before the ledger
	// counts as out of reach since it was sent.
	overdue = 4
)

// ledgerTimes learns when the ledger answers.
type ledgerTimes struct {
	// heardAt returns when the ledger's leader last answered anything.
	heardAt func() time.Time

	mu sync.Mutex // guards the fields below
	// usual is how long reports take that are answered; 0 before the first.
	usual time.Duration
	// sentAt is when the report under way was sent; zero when none is.
	sentAt time.Time
	// failingSince is when the first report was sent that failed after the last one
	// that did not, and failedAt when the last one failed; zero while the ledger
	// answers.
	failingSince time.Time
	failedAt     time.Time
}

// asked notes that a report is sent.
func (t *ledgerTimes) asked(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentAt = now
}

// answered notes how the report under way has ended.
func (t *ledgerTimes) answered(now time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := now.Sub(t.sentAt)
	if ok {
		t.usual = t.expected() + time.Duration(answerWeight*float64(took-t.expected()))
		t.failingSince = time.Time{}
	} else {
		if t.failingSince.IsZero() {
			t.failingSince = t.sentAt
		}
		t.failedAt = now
	}
	t.sentAt = time.Time{}
}

// expected returns how long a report should take. The caller holds mu.
func (t *ledgerTimes) expected() time.Duration {
	if t.usual == 0 {
		return firstAnswer
	}
	return t.usual
}

// outSince returns since when the ledger has been out of reach; zero while it answers,
// and once its leader has been heard of after the last report that failed. The caller
// holds mu.
func (t *ledgerTimes) outSince(now time.Time) time.Time {
	if !t.failingSince.IsZero() && t.heardAt().After(t.failedAt) {
		t.failingSince = time.Time{}
	}
	if t.failingSince.IsZero() && !t.sentAt.IsZero() && now.Sub(t.sentAt) > overdue*t.expected() {
		return t.sentAt
	}
	return t.failingSince
}

// unreached reports whether the ledger is out of reach.
func (t *ledgerTimes) unreached(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.outSince(now).IsZero()
}

// prospect returns that of money which a report may ask for from a time on, and which requests
// have lacked since another.
func (t *ledgerTimes) prospect(asked, since time.Time) sumachead.Prospect {
	return ledgerProspect{t, asked, since}
}

// ledgerProspect is the prospect of money. While the ledger answers, it may come with
// the answer to the next report, which is under way or sent once it may be; a request
// that did not wait for it would be told to come back where that answer says that the budget
// has ended (worth refused again 0.0059 with the gap left out, 0.0042 with it: 12 pairs of
// days on which budgets end, on three deployments). After that, when others have given back or
// requests have ended, which takes as long again as requests have lacked it. While the
// ledger does not answer, that holds for the ledger itself.
type ledgerProspect struct {
	times *ledgerTimes
	asked time.Time
	since time.Time
}

// Expect implements sumachead.Prospect.
func (p ledgerProspect) Expect(now time.Time) (at time.Time, sure bool) {
	t := p.times
	t.mu.Lock()
	defer t.mu.Unlock()
	if out := t.outSince(now); !out.IsZero() {
		return patience.ElapsedEstimate{Since: out}.Expect(now)
	}
	return patience.TypicalEstimate{Since: p.since, By: p.asked.Add(reportGap + t.expected())}.Expect(now)
}
