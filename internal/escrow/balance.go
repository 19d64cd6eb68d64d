package escrow

import (
	"math"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// rateTimeConstant is the time constant of the demand average, long enough to smooth out single
// large requests.
const rateTimeConstant = 4 * time.Second

// shortTimeout is how long the balance counts as short after a request last had to wait: a few
// report intervals.
const shortTimeout = 2 * time.Second

// balance is a holder's tokens of one workspace.
type balance struct {
	// granted, returned and spent are totals since the holder started.
	granted  sumachead.Tokens
	returned sumachead.Tokens
	spent    sumachead.Tokens
	// reserved is the sum of the bounds of requests in flight.
	reserved sumachead.Tokens
	// waiting are the bounds of requests that wait for tokens.
	waiting []sumachead.Tokens
	// abandoned are the bounds of requests that stopped waiting since the last report; their
	// callers are expected to retry.
	abandoned []sumachead.Tokens
	// requestedBound is the smallest bound among waiting and abandoned requests as of the last
	// report, or what was available then if that was more.
	requestedBound sumachead.Tokens
	// shortSince is when the first request that is still short began to wait: since then no
	// waiting request of at least shortBound has been admitted. shortAt is when a request last
	// had to wait. shortSince is zero while no request is short.
	shortSince time.Time
	shortAt    time.Time
	shortBound sumachead.Tokens
	// rate is the demand in tokens per second as of rateUpdatedAt.
	rate          float64
	rateUpdatedAt time.Time
	// lowWatermark is the available amount below which a report is requested at once.
	lowWatermark sumachead.Tokens
	// dirty is set if something changed since the last report.
	dirty bool
	// requesting is set if requests were short as of the last report.
	requesting bool
	// requestAfter is the time before which the shortfall does not trigger a report of its own:
	// the ledger could not grant it, and other holders have to return tokens first. Other
	// workspaces are not delayed.
	requestAfter time.Time
	// reportScheduled is set if a report will be requested at requestAfter.
	reportScheduled bool
	// exhaustion keeps the ledger's recent replies that the budget is exhausted.
	exhaustion exhaustion
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

// shortfall returns how much the smallest request is short of, and how much all requests
// together are.
func (p *balance) shortfall() (needed, wanted sumachead.Tokens) {
	all := slices.Concat(p.waiting, p.abandoned)
	if len(all) == 0 {
		return 0, 0
	}
	for _, b := range all {
		wanted += b
	}
	available := p.available()
	return max(slices.Min(all)-available, 0), max(wanted-available, 0)
}

// updateRate decays the rate to now and adds an amount to it.
func (p *balance) updateRate(now time.Time, amount sumachead.Tokens) {
	if !p.rateUpdatedAt.IsZero() {
		p.rate *= math.Exp(-now.Sub(p.rateUpdatedAt).Seconds() / rateTimeConstant.Seconds())
	}
	p.rateUpdatedAt = now
	p.rate += float64(amount) / rateTimeConstant.Seconds()
}

// reportPosition returns the position for a report and clears the dirty flag.
func (p *balance) reportPosition(id sumachead.WorkspaceID, now time.Time, closing bool) *wire.EscrowPosition {
	p.updateRate(now, 0)
	p.dirty = false
	needed, wanted := p.shortfall()
	p.requestedBound = needed + p.available()
	p.requesting = needed > 0
	p.abandoned = p.abandoned[:0]
	spent := p.spent
	if closing {
		spent += p.reserved // the bills of requests still in flight will not be reported
	}
	return &wire.EscrowPosition{
		Workspace: string(id), Spent: int64(spent), Returned: int64(p.returned),
		Reserved: int64(p.reserved), Rate: int64(p.rate), Granted: int64(p.granted),
		Needed: int64(needed), Wanted: int64(wanted),
	}
}
