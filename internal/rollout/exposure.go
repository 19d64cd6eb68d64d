package rollout

import (
	"time"

	"sumachead/api/wire"
)

const (
	// shareFactor and slackFactor are the fractions of the bounds on the exposure that are used:
	// other parties may count requests slightly differently than routers do.
	shareFactor = 0.9
	slackFactor = 0.8
	// initialAllowance is how many requests may go to the target version at the start.
	initialAllowance = 5
	// minAllowanceStep is the minimum by which the committed allowance is raised, so that the log is
	// written at most a few times a second.
	minAllowanceStep = 8
	// fairShareDivisor bounds what a router may send to the target version: one in so many of its
	// requests.
	fairShareDivisor = 4
)

// Bounds limits the requests that a bad version may receive: a share of a service's requests, plus a
// constant number.
type Bounds struct {
	Share float64
	Slack float64
}

// Exposure is the leading keeper's account of the requests that routers may send to the target
// version of one order. Granted requests count as sent until a router reports that it will never
// send them. Grants never exceed the committed allowance, and a new leader assumes that all of the
// allowance was sent. So the requests that routers send are bounded by the allowance, and that by
// the requests that have reached the service, whatever messages are lost.
//
// It is not safe for concurrent use; create it with NewExposure.
type Exposure struct {
	// reached is the minimum number of requests that have reached the service, and allowed the
	// committed allowance.
	reached, allowed int64
	// granted is the number of requests that may have been sent.
	granted int64
	routers map[incarnation]*account
}

// account is the state of an incarnation of a router.
type account struct {
	// number is the number of its last report, and reply the reply to it.
	number uint64
	reply  *wire.RolloutGrants
	// reached, granted and lapsed are from its last report; granted also counts the grant in the
	// last reply.
	reached, granted, lapsed int64
}

// NewExposure returns the account of a leader that starts with a committed rollout.
func NewExposure(r *wire.Rollout) *Exposure {
	return &Exposure{
		reached: r.GetReached(), allowed: r.GetAllowed(), granted: r.GetAllowed(), routers: make(map[incarnation]*account),
	}
}

// HandleReport processes a report. If it is a duplicate of the last report of its router, it returns
// the reply to that; stale is set for an older one, which gets no reply.
func (x *Exposure) HandleReport(r *wire.RolloutReport) (reply *wire.RolloutGrants, stale bool) {
	id := incarnation{r.GetNode(), r.GetBoot()}
	h := x.routers[id]
	if h == nil {
		// What an earlier leader granted is counted already.
		x.routers[id] = &account{number: r.GetNumber(), reached: r.GetReached(), granted: r.GetGranted(), lapsed: r.GetLapsed()}
		return nil, false
	}
	if r.GetNumber() <= h.number {
		if r.GetNumber() == h.number && h.reply != nil {
			return h.reply, false
		}
		return nil, true
	}
	// A grant that the router has not received by now is lost: it waits for one reply at a time.
	x.granted -= h.granted - r.GetGranted() + r.GetLapsed() - h.lapsed
	x.reached += r.GetReached() - h.reached
	h.number, h.reply = r.GetNumber(), nil
	h.reached, h.granted, h.lapsed = r.GetReached(), r.GetGranted(), r.GetLapsed()
	return nil, false
}

// NextAllowance returns the allowance to commit now, given the bounds and the fraction of the trial
// that has passed; ok is false if the increase is not worth a commit.
func (x *Exposure) NextAllowance(b Bounds, passed float64) (allowed int64, ok bool) {
	slack := initialAllowance + (slackFactor*b.Slack-initialAllowance)*min(max(passed, 0), 1)
	allowed = int64(shareFactor*b.Share*float64(x.reached) + min(slack, slackFactor*b.Slack))
	minStep := int64(minAllowanceStep)
	if x.allowed == 0 {
		minStep = 1
	}
	return allowed, allowed-x.allowed >= minStep
}

// Reached returns the number of requests known to have reached the service.
func (x *Exposure) Reached() int64 { return x.reached }

// SetCommitted sets the allowance that has been committed.
func (x *Exposure) SetCommitted(allowed int64) { x.allowed = max(x.allowed, allowed) }

// Available returns how many requests may be granted now.
func (x *Exposure) Available() int64 { return max(x.allowed-x.granted, 0) }

// Grant grants requests to a router as the reply to its last report.
func (x *Exposure) Grant(r *wire.RolloutReport, g *wire.RolloutGrants) {
	h := x.routers[incarnation{r.GetNode(), r.GetBoot()}]
	x.granted += g.GetRequests()
	h.granted += g.GetRequests()
	h.reply = g
}

// FairShare returns how many of the available requests to grant to a router with the given number of
// arrivals since its last report. It is bounded by a fraction of them, so that all routers get a
// part, but at least one, since the next request of a rare route may arrive at a router with few.
func FairShare(available, arrivals int64) int64 {
	if arrivals == 0 {
		return 0
	}
	return min(available, max(arrivals/fairShareDivisor, 1))
}

// grantTTL is how long a grant may be used: a partitioned router must stop sending to a version that
// may have been found bad in the meantime.
const grantTTL = time.Second
