package rollout

import (
	"time"

	"sumachead/api/wire"
)

const (
	// sharePart and slackPart are what is used of the bounds on what a bad version may get:
	// others may count requests a little otherwise than routers do.
	sharePart = 0.9
	slackPart = 0.8
	// firstGrants is how many requests may go to the target version at once.
	firstGrants = 5
	// tranche is the least by which the committed allowance is raised, so that the log is
	// written some times a second at most.
	tranche = 8
	// fairPart is the part of its requests, one in so many, that a router may send to the
	// target version.
	fairPart = 4
)

// Bounds are what a bad version may get: a share of a service's requests, and so many more.
type Bounds struct {
	Share float64
	Slack float64
}

// Exposure is the leading keeper's account of the requests that routers may send to the target
// version of one order. Of what it grants, all counts as sent until a router says that it never
// will send it. It grants nothing beyond what is committed, and a new leader takes all that was
// committed for sent: so the sum of what routers send is bounded by what is committed, and
// that by what has reached the service, whatever is lost on the way.
//
// It is not safe for concurrent use; make it with NewExposure.
type Exposure struct {
	// reached is how many requests have reached the service, at least, and allowed what is
	// committed.
	reached, allowed int64
	// granted is what may have been sent.
	granted int64
	routers map[life]*holder
}

// holder is what is known of one life of a router.
type holder struct {
	// number is that of its last report, and reply the answer to it.
	number uint64
	reply  *wire.RolloutGrants
	// reached, granted and lapsed are as it told them last; granted also counts what it was
	// sent in the last answer.
	reached, granted, lapsed int64
}

// NewExposure returns the account of a leader that finds a roll-out as it is committed.
func NewExposure(r *wire.Rollout) *Exposure {
	return &Exposure{
		reached: r.GetReached(), allowed: r.GetAllowed(), granted: r.GetAllowed(), routers: make(map[life]*holder),
	}
}

// Take takes in a report. Where it is a copy of the last one of its router, it returns the
// answer to that; stale is set for an older one, which is answered with nothing.
func (x *Exposure) Take(r *wire.RolloutReport) (answered *wire.RolloutGrants, stale bool) {
	id := life{r.GetNode(), r.GetBoot()}
	h := x.routers[id]
	if h == nil {
		// What it was granted by an earlier leader is counted already.
		x.routers[id] = &holder{number: r.GetNumber(), reached: r.GetReached(), granted: r.GetGranted(), lapsed: r.GetLapsed()}
		return nil, false
	}
	if r.GetNumber() <= h.number {
		if r.GetNumber() == h.number && h.reply != nil {
			return h.reply, false
		}
		return nil, true
	}
	// Of what it was sent it has not heard, it never will: it takes one answer at a time.
	x.granted -= h.granted - r.GetGranted() + r.GetLapsed() - h.lapsed
	x.reached += r.GetReached() - h.reached
	h.number, h.reply = r.GetNumber(), nil
	h.reached, h.granted, h.lapsed = r.GetReached(), r.GetGranted(), r.GetLapsed()
	return nil, false
}

// Wanted returns what should be committed now, of the bounds and the part of the trial that has
// passed; ok is false where that is not worth a commit.
func (x *Exposure) Wanted(b Bounds, passed float64) (allowed int64, ok bool) {
	slack := firstGrants + (slackPart*b.Slack-firstGrants)*min(max(passed, 0), 1)
	allowed = int64(sharePart*b.Share*float64(x.reached) + min(slack, slackPart*b.Slack))
	least := int64(tranche)
	if x.allowed == 0 {
		least = 1
	}
	return allowed, allowed-x.allowed >= least
}

// Reached returns how many requests are known to have reached the service.
func (x *Exposure) Reached() int64 { return x.reached }

// Committed notes what has been committed.
func (x *Exposure) Committed(allowed int64) { x.allowed = max(x.allowed, allowed) }

// Room returns how many requests may be granted now.
func (x *Exposure) Room() int64 { return max(x.allowed-x.granted, 0) }

// Grant grants requests to a router as the answer to its last report.
func (x *Exposure) Grant(r *wire.RolloutReport, g *wire.RolloutGrants) {
	h := x.routers[life{r.GetNode(), r.GetBoot()}]
	x.granted += g.GetRequests()
	h.granted += g.GetRequests()
	h.reply = g
}

// Fair returns how much of the room a router gets that has had some requests since its last
// report: some of them at the most, so that all routers have a part, and one for a router with
// few, which may be where the next request of a rare route comes.
func Fair(room, arrivals int64) int64 {
	if arrivals == 0 {
		return 0
	}
	return min(room, max(arrivals/fairPart, 1))
}

// validFor is for how long a grant is good: a router that is cut off sends nothing more to a
// version that may have been found bad meanwhile.
const validFor = time.Second
