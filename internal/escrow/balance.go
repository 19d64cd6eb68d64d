package escrow

import (
	"math"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/timeutil"
)

const (
	// rateTimeConstant is the time constant of the demand average, long enough to smooth out
	// single large requests.
	rateTimeConstant = 4 * time.Second
	// shortTimeout is how long the balance counts as short after a request last had to wait,
	// and how long the ledger counts as reached after it last answered a shortfall: a few report
	// intervals.
	shortTimeout = 2 * time.Second
	// urgentOnlyTimeout is how long an answer that only urgent requests are admitted remains
	// valid. Afterwards the state of the budget is not known, and all requests are admitted.
	urgentOnlyTimeout = 5 * time.Second
	// idleReportInterval is how often a holder that has tokens reports if nothing changes:
	// often enough that it is live to the ledger, which otherwise counts its tokens as spent.
	idleReportInterval = 3 * time.Second
	// maxIdlePositions bounds the positions of such a report to a few hundred bytes.
	maxIdlePositions = 8
)

// shortRequest is a request that waits for tokens, or has given up.
type shortRequest struct {
	bound  sumachead.Tokens
	urgent bool
}

// movingRate is an exponential moving average in tokens per second.
type movingRate struct {
	value float64
	at    time.Time
}

// add decays the average to now and adds an amount to it.
func (r *movingRate) add(now time.Time, amount sumachead.Tokens, timeConstant time.Duration) {
	if elapsed := now.Sub(r.at); !r.at.IsZero() && elapsed > 0 {
		r.value *= math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	}
	r.at = timeutil.Later(r.at, now)
	r.value += float64(amount) / timeConstant.Seconds()
}

// movingMean is a moving average over the last requests.
type movingMean struct {
	value float64
	count int
}

// add adds a bound. The window is long enough to smooth out single large requests.
func (m *movingMean) add(bound sumachead.Tokens) {
	const window = 32
	m.count = min(m.count+1, window)
	m.value += (float64(bound) - m.value) / float64(m.count)
}

// balance is a holder's tokens of one workspace.
type balance struct {
	// granted, returned and spent are totals since the holder started.
	granted  sumachead.Tokens
	returned sumachead.Tokens
	spent    sumachead.Tokens
	// boundsSettled is the sum of the bounds of requests whose bills are in spent.
	boundsSettled sumachead.Tokens
	// reserved is the sum of the bounds of requests in flight.
	reserved sumachead.Tokens
	// waiting are the requests that wait for tokens.
	waiting []shortRequest
	// abandoned are the requests that stopped waiting since the last report; their callers are
	// expected to retry.
	abandoned []shortRequest
	// requestedBound is the smallest bound among waiting and abandoned requests as of the last
	// report, or what was available then if that was more.
	requestedBound sumachead.Tokens
	// shortSince is when the first request that is still short began to wait: since then no
	// waiting request of at least shortBound has been admitted. shortAt is when a request last
	// had to wait. shortSince is zero while no request is short.
	shortSince time.Time
	shortAt    time.Time
	shortBound sumachead.Tokens
	// rate is the demand, and urgentRate is what is billed to urgent requests.
	rate, urgentRate movingRate
	// urgentBound and otherBound are the mean bounds of urgent and of other requests.
	urgentBound, otherBound movingMean
	// lowWatermark is the available amount below which a report is requested at once.
	lowWatermark sumachead.Tokens
	// dirty is set if something changed since the last report, which was at reportedAt.
	dirty      bool
	reportedAt time.Time
	// idleReport is set if the last report was one without changes. Its answer does not make the
	// holder return tokens: with a decayed rate, a workspace with little traffic would lose them
	// between requests. What other holders are short of is reclaimed by IncludeInReport.
	idleReport bool
	// requesting is set if requests were short as of the last report.
	requesting bool
	// requestAfter is the time before which the shortfall does not trigger a report of its own:
	// the ledger could not grant it, and other holders have to return tokens first. Other
	// workspaces are not delayed.
	requestAfter time.Time
	// reportScheduled is set if a report will be requested at requestAfter.
	reportScheduled bool
	// limit bounds what may be spent and reserved in all.
	limit spendLimit
	// exhaustion keeps the ledger's recent replies that the budget is exhausted.
	exhaustion exhaustion
	// urgentOnlyUntil is until when only urgent requests are admitted.
	urgentOnlyUntil time.Time
	// answered is set once the ledger has answered a report, and shortAnsweredAt is when it last
	// answered one of a shortfall. unansweredSince is when the first report after the last
	// answer was sent; it is zero if there is none.
	answered        bool
	shortAnsweredAt time.Time
	unansweredSince time.Time
}

// available returns what may be reserved.
func (p *balance) available() sumachead.Tokens { return p.granted - p.returned - p.spent - p.reserved }

// recordShort records that a request has to wait.
func (p *balance) recordShort(bound sumachead.Tokens, now time.Time) {
	if p.shortSince.IsZero() || now.Sub(p.shortAt) > shortTimeout {
		p.shortSince, p.shortBound = now, bound
	}
	p.shortAt, p.shortBound = now, min(p.shortBound, bound)
}

// recordAdmitted records that a request is admitted.
func (p *balance) recordAdmitted(bound sumachead.Tokens) {
	if bound >= p.shortBound {
		p.shortSince = time.Time{}
	}
}

// shortfall returns how much the smallest of the given requests is short of, and how much all
// together are.
func (p *balance) shortfall(qs []shortRequest) (needed, wanted sumachead.Tokens) {
	if len(qs) == 0 {
		return 0, 0
	}
	smallest := qs[0].bound
	for _, q := range qs {
		wanted += q.bound
		smallest = min(smallest, q.bound)
	}
	available := p.available()
	return max(smallest-available, 0), max(wanted-available, 0)
}

// recordDemand records a request's bound as demand.
func (p *balance) recordDemand(q Request, now time.Time) {
	p.rate.add(now, q.Bound, rateTimeConstant)
	p.limit.largeBound = max(p.limit.largeBound*largeBoundDecay, float64(q.Bound))
	if q.Urgent {
		p.urgentBound.add(q.Bound)
		return
	}
	p.otherBound.add(q.Bound)
}

// reserves reports whether the ledger recently said that only urgent requests are admitted, and
// this one is not.
func (p *balance) reserves(q Request, now time.Time) bool {
	return !q.Urgent && now.Before(p.urgentOnlyUntil)
}

// recordAnswered records that the ledger has answered a report.
func (p *balance) recordAnswered(now time.Time) {
	p.answered, p.unansweredSince = true, time.Time{}
	if p.requesting {
		p.shortAnsweredAt = now
	}
}

// applyLimits applies what an answer says of the requests that may be admitted. Requests that
// it rules out end a shortage, so that a request that it does not rule out waits for tokens as
// if there had been none.
func (p *balance) applyLimits(a *wire.EscrowAnswer, more bool, now time.Time) {
	reservedBefore := now.Before(p.urgentOnlyUntil)
	p.urgentOnlyUntil = time.Time{}
	if a.GetUrgentOnly() {
		p.urgentOnlyUntil = now.Add(urgentOnlyTimeout)
	}
	switch from := sumachead.Tokens(a.GetExhaustedFrom()); {
	case from > 0:
		p.exhaustion.recordLimit(from, now)
	case a.GetExhausted():
		p.exhaustion.record(p.requestedBound, now)
	case more || p.requesting:
		p.exhaustion = exhaustion{}
	}
	if a.GetUrgentOnly() && !reservedBefore || p.exhaustion.covers(p.shortBound, now) {
		p.shortSince = time.Time{}
	}
}

// unreached reports whether a request that is short of tokens now is to be told that the ledger
// was not reached: it never answered, or has not answered the last report. While it answers
// reports of shortfalls, the tokens are in use by requests in flight, or held by other routers.
func (p *balance) unreached(now time.Time) bool {
	recently := !p.shortAnsweredAt.IsZero() && now.Sub(p.shortAnsweredAt) <= shortTimeout
	return !recently && (!p.answered || !p.unansweredSince.IsZero())
}

// ruledOut reports whether the ledger's recent answers rule a request out. If so, the next
// report includes the workspace, so that a top-up is noticed. The result is admitted if they do
// not.
func (p *balance) ruledOut(q Request, now time.Time) admission {
	var a admission
	switch {
	case p.available() < q.Bound && p.exhaustion.covers(q.Bound, now):
		a = exhausted
	case p.reserves(q, now):
		a = reserved
	default:
		return admitted
	}
	p.dirty = true
	return a
}

// reportPosition returns the position for a report and clears the dirty flag.
func (p *balance) reportPosition(id sumachead.WorkspaceID, now time.Time, closing bool, age time.Duration) *wire.EscrowPosition {
	p.rate.add(now, 0, rateTimeConstant)
	p.urgentRate.add(now, 0, urgentTimeConstant)
	p.dirty, p.idleReport, p.reportedAt = false, false, now
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	all := slices.Concat(p.waiting, p.abandoned)
	limit := p.proposeLimit(all, age)
	needed, wanted := p.shortfall(all)
	urgentNeeded, urgentWanted := p.shortfall(slices.DeleteFunc(all, func(q shortRequest) bool { return !q.urgent }))
	p.requestedBound = needed + p.available()
	p.requesting = needed > 0
	p.abandoned = p.abandoned[:0]
	spent, boundsSettled := p.spent, p.boundsSettled
	if closing {
		// The bills of requests still in flight will not be reported.
		spent += p.reserved
		boundsSettled += p.reserved
	}
	return &wire.EscrowPosition{
		Workspace: string(id), Spent: int64(spent), Returned: int64(p.returned),
		Reserved: int64(p.reserved), Rate: int64(p.rate.value), Granted: int64(p.granted),
		Needed: int64(needed), Wanted: int64(wanted),
		UrgentRate: int64(p.urgentRate.value), BoundsSettled: int64(boundsSettled),
		UrgentBound: int64(p.urgentBound.value), OtherBound: int64(p.otherBound.value),
		UrgentNeeded: int64(urgentNeeded), UrgentWanted: int64(urgentWanted), SpendLimit: limit,
	}
}
