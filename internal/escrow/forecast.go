package escrow

import (
	"math"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/timeutil"
)

const (
	// reserveHorizon is how long urgent requests should be served from a reserve at their
	// current rate: the time in which an operator can notice and top up a budget.
	reserveHorizon = time.Minute
	// maxReserveDivisor bounds the reserve to one in this many of a budget's total, so that most
	// of a budget that lasts only a few minutes is open to all requests.
	maxReserveDivisor = 4
	// reserveEndPercent is the percentage of the reserve's size above which it ends. The gap to
	// its start keeps settled bills from switching it with each report.
	reserveEndPercent = 150
	// minCostRatio is how many times the bound of an urgent request another request must have
	// for a reserve to start: one refused request then pays for that many urgent ones. A reserve
	// ends below endCostRatio, so that means close to the limit do not switch it.
	minCostRatio = 4
	endCostRatio = 3
	// nearEndDivisor is the fraction of the total, one in this many, from which on holders are
	// told which bounds no longer fit.
	nearEndDivisor = 16
	// urgentTimeConstant is the time constant of the urgent rate, of the holders' and of the
	// leader's average: long enough that the gaps between the requests of a small workspace do
	// not end its reserve, and a fraction of the horizon.
	urgentTimeConstant = 10 * time.Second
	// billTimeConstant is the time constant of the part of their bounds that requests are
	// billed. Near the end of a budget only small requests still fit, whose part may differ from
	// that of all requests before.
	billTimeConstant = 2 * time.Second
	// spreadTimeConstant is that of how much this part differs between requests.
	spreadTimeConstant = 10 * time.Second
	// forecastWarmUp is how long holders have to report to a new leader before those that have
	// not count as gone, by the time of reportClock.
	forecastWarmUp = liveTimeout
)

// budgetFigures are what a decision on a workspace's budget depends on.
type budgetFigures struct {
	total sumachead.Tokens
	// spent is an upper bound of what has been spent, as [Ledger.Spent] returns it.
	spent sumachead.Tokens
	// reserved is the sum of the bounds of the live holders' requests in flight.
	reserved sumachead.Tokens
	// billRatio is the part of their bounds that requests in flight are expected to be billed,
	// and lowBillRatio the part that they will be billed at least.
	billRatio, lowBillRatio float64
	// urgentRate is billed to urgent requests, in tokens per second.
	urgentRate float64
	// urgentBound and otherBound are the mean bounds of urgent and of other requests, or 0 while
	// there were none.
	urgentBound, otherBound float64
}

// inFlight returns the expected bill of all requests in flight.
func (f budgetFigures) inFlight() sumachead.Tokens {
	return sumachead.Tokens(math.Ceil(float64(f.reserved) * f.billRatio))
}

// left returns what is neither spent nor expected to be billed for requests in flight.
func (f budgetFigures) left() sumachead.Tokens { return max(f.total-f.spent-f.inFlight(), 0) }

// leftAtMost returns what is left if requests in flight are billed as little as possible. A
// request that it does not cover will not fit: with the expected bills, which are between those
// of large and of small requests, one in a hundred was refused although its bound was left.
func (f budgetFigures) leftAtMost() sumachead.Tokens {
	return max(f.total-f.spent-sumachead.Tokens(float64(f.reserved)*f.lowBillRatio), 0)
}

// reserveSize returns what urgent requests are expected to need.
func (f budgetFigures) reserveSize() sumachead.Tokens {
	return min(sumachead.Tokens(f.urgentRate*reserveHorizon.Seconds()), f.total/maxReserveDivisor)
}

// reserves reports whether what is left is reserved for urgent requests, given whether it was
// before.
func (f budgetFigures) reserves(active bool) bool {
	size, costRatio := f.reserveSize(), float64(minCostRatio)
	limit := size
	if active {
		limit, costRatio = size*reserveEndPercent/100, endCostRatio
	}
	return size > 0 && f.urgentBound > 0 && f.otherBound >= costRatio*f.urgentBound && f.left() <= limit
}

// exhaustedFrom returns the smallest bound that what is left does not cover, or 0 while the end
// of the budget is not near.
func (f budgetFigures) exhaustedFrom() sumachead.Tokens {
	if f.total <= 0 || f.left() > f.total/nearEndDivisor {
		return 0
	}
	return f.leftAtMost() + 1
}

// ReserveState is the state of a workspace's budget as of the last report that the leader
// answered.
type ReserveState struct {
	Workspace sumachead.WorkspaceID
	// Active states whether what is left is reserved for urgent requests.
	Active bool
	Total  sumachead.Tokens
	// Left is what is neither spent nor expected to be billed for requests in flight, wherever
	// it is held.
	Left sumachead.Tokens
	// LeftAtMost is what is left if requests in flight are billed as little as possible.
	LeftAtMost sumachead.Tokens
	// Size is the size that a reserve has or would have.
	Size sumachead.Tokens
	// UrgentRate is billed to urgent requests, in tokens per second.
	UrgentRate sumachead.Tokens
	// InFlight is the expected bill of requests in flight.
	InFlight sumachead.Tokens
	// Free is what the ledger may still grant.
	Free sumachead.Tokens
	// ExhaustedFrom is the smallest bound that what is left does not cover, or 0 while the end
	// of the budget is not near.
	ExhaustedFrom sumachead.Tokens
}

// recentBills are sums over settled requests. They decay with time, but their ratios do not.
type recentBills struct {
	// billed and boundsSettled are sums of bills and of the bounds that these replaced; they
	// decay with billTimeConstant.
	billed, boundsSettled float64
	// count, parts and squares are the number of reports of new bills, and the sums of the billed
	// parts of bounds and of their squares; they decay with spreadTimeConstant.
	count, parts, squares float64
	at                    time.Time
}

// add decays the sums to now and adds the bills of a report to them.
func (b *recentBills) add(billed, boundsSettled sumachead.Tokens, now time.Time) {
	elapsed := max(now.Sub(b.at), 0).Seconds()
	k, l := math.Exp(-elapsed/billTimeConstant.Seconds()), math.Exp(-elapsed/spreadTimeConstant.Seconds())
	part := float64(billed) / float64(boundsSettled)
	b.billed, b.boundsSettled = b.billed*k+float64(billed), b.boundsSettled*k+float64(boundsSettled)
	b.count, b.parts, b.squares = b.count*l+1, b.parts*l+part, b.squares*l+part*part
	b.at = timeutil.Later(b.at, now)
}

// ratio returns the part of their bounds that recent requests were billed, or that all requests
// were, if there are no recent ones; it is 1 while there was no bill.
func (b *recentBills) ratio(billed, boundsSettled sumachead.Tokens) float64 {
	switch {
	case b.boundsSettled > 0:
		return min(b.billed/b.boundsSettled, 1)
	case boundsSettled > 0:
		return min(float64(billed)/float64(boundsSettled), 1)
	}
	return 1
}

// lowRatio returns the part of its bound that nearly every request is billed at least: two
// standard deviations below the mean, and at most the given ratio. The variance includes one
// observation of the largest possible spread, since the first bills after a leader change may be
// alike by chance. It is 0 while there was no bill.
func (b *recentBills) lowRatio(ratio float64) float64 {
	if b.count <= 0 {
		return 0
	}
	mean := b.parts / b.count
	const largestVariance = 0.25 // of values between 0 and 1
	variance := (max(b.squares-b.parts*mean, 0) + largestVariance) / (b.count + 1)
	return min(max(mean-2*math.Sqrt(variance), 0), ratio)
}

// demandAverages are sums over requests that decay with urgentTimeConstant.
type demandAverages struct {
	// urgentTokens and otherTokens are tokens per second of urgent and of other requests, and
	// urgentRequests and otherRequests the requests per second that these make.
	urgentTokens, urgentRequests float64
	otherTokens, otherRequests   float64
	at                           time.Time
}

// averagesOf returns the averages that a position contributes. A holder's mean bounds count by
// its number of requests, which follows from its rates, since most holders of a large fleet
// have few requests.
func averagesOf(p *wire.EscrowPosition, now time.Time) demandAverages {
	a := demandAverages{at: now}
	urgent := float64(p.GetUrgentRate())
	if bound := float64(p.GetUrgentBound()); bound > 0 {
		a.urgentTokens, a.urgentRequests = urgent, urgent/bound
	}
	if bound := float64(p.GetOtherBound()); bound > 0 {
		a.otherTokens = max(float64(p.GetRate())-urgent, 0)
		a.otherRequests = a.otherTokens / bound
	}
	return a
}

// decayed returns the averages as of a later time.
func (a demandAverages) decayed(now time.Time) demandAverages {
	k := math.Exp(-max(now.Sub(a.at), 0).Seconds() / urgentTimeConstant.Seconds())
	return demandAverages{a.urgentTokens * k, a.urgentRequests * k, a.otherTokens * k, a.otherRequests * k, now}
}

// replaced returns the sums as of a later time with one part of them replaced.
func (a demandAverages) replaced(old, part demandAverages, now time.Time) demandAverages {
	a, old = a.decayed(now), old.decayed(now)
	return demandAverages{
		max(a.urgentTokens-old.urgentTokens, 0) + part.urgentTokens,
		max(a.urgentRequests-old.urgentRequests, 0) + part.urgentRequests,
		max(a.otherTokens-old.otherTokens, 0) + part.otherTokens,
		max(a.otherRequests-old.otherRequests, 0) + part.otherRequests, now,
	}
}

// mean returns tokens per request, or 0 if there are less than minRequests per second.
func mean(tokens, requests float64) float64 {
	const minRequests = 1e-6 // less may be the rounding error of the sums
	if requests < minRequests {
		return 0
	}
	return tokens / requests
}
