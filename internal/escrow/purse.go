package escrow

import (
	"math"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// rateMemory is the time constant by which a wallet forgets demand: long enough
// to smooth over single large requests.
const rateMemory = 4 * time.Second

// shortFor is how long it is believed that requests wait in vain when none has waited
// since: some reports.
const shortFor = 2 * time.Second

// purse is a holder's money of one workspace.
type purse struct {
	// granted, returned and spent are totals since the holder started.
	granted  sumachead.Tokens
	returned sumachead.Tokens
	spent    sumachead.Tokens
	// reserved is the sum of the bounds of requests under way.
	reserved sumachead.Tokens
	// waiting are the bounds of requests that wait for money.
	waiting []sumachead.Tokens
	// left are those of requests that gave up waiting since the last report: they
	// come back.
	left []sumachead.Tokens
	// asked is the smallest bound among waiting and left as of the last report;
	// what was at hand then, if that was more.
	asked sumachead.Tokens
	// shortSince is since when no request of at least shortBound that waited was
	// admitted, and shortAt when one last had to wait; zero while none waits in vain.
	shortSince time.Time
	shortAt    time.Time
	shortBound sumachead.Tokens
	// rate is demand in tokens a second as of rateAt.
	rate   float64
	rateAt time.Time
	// low is the amount at hand below which a report is due at once.
	low sumachead.Tokens
	// dirty: something changed since the last report.
	dirty bool
	// asking: requests lacked something as of the last report.
	asking bool
	// heldTo is until when what is lacked is not asked for by a report of its own: the ledger
	// could not grant it, and others have to give back first. Other workspaces are not held up.
	heldTo time.Time
	// toAsk: a report is to be asked for then.
	toAsk bool
	// ends is what the ledger has said lately of the end of the budget.
	ends ends
}

// atHand returns what may be reserved.
func (p *purse) atHand() sumachead.Tokens { return p.granted - p.returned - p.spent - p.reserved }

// noteShort notes that a request has to wait.
func (p *purse) noteShort(bound sumachead.Tokens, now time.Time) {
	if p.shortSince.IsZero() || now.Sub(p.shortAt) > shortFor {
		p.shortSince, p.shortBound = now, bound
	}
	p.shortAt, p.shortBound = now, min(p.shortBound, bound)
}

// noteAdmitted notes that a request is admitted.
func (p *purse) noteAdmitted(bound sumachead.Tokens) {
	if bound >= p.shortBound {
		p.shortSince = time.Time{}
	}
}

// lacks returns what the smallest waiting request and all together lack.
func (p *purse) lacks() (needed, wanted sumachead.Tokens) {
	all := slices.Concat(p.waiting, p.left)
	if len(all) == 0 {
		return 0, 0
	}
	for _, b := range all {
		wanted += b
	}
	hand := p.atHand()
	return max(slices.Min(all)-hand, 0), max(wanted-hand, 0)
}

// decay brings the rate up to now and adds an amount to it.
func (p *purse) decay(now time.Time, amount sumachead.Tokens) {
	if !p.rateAt.IsZero() {
		p.rate *= math.Exp(-now.Sub(p.rateAt).Seconds() / rateMemory.Seconds())
	}
	p.rateAt = now
	p.rate += float64(amount) / rateMemory.Seconds()
}

// position is what a report tells of the purse, which is then no longer dirty.
func (p *purse) position(id sumachead.WorkspaceID, now time.Time, closing bool) *wire.EscrowPosition {
	p.decay(now, 0)
	p.dirty = false
	needed, wanted := p.lacks()
	p.asked = needed + p.atHand()
	p.asking = needed > 0
	p.left = p.left[:0]
	spent := p.spent
	if closing {
		spent += p.reserved // nobody will tell the bill of what still runs
	}
	return &wire.EscrowPosition{
		Workspace: string(id), Spent: int64(spent), Returned: int64(p.returned),
		Reserved: int64(p.reserved), Rate: int64(p.rate), Granted: int64(p.granted),
		Needed: int64(needed), Wanted: int64(wanted),
	}
}
