// Package retrybudget limits the retries of a fleet of routers for each service: in any window, a
// ratio of the requests for the service, plus a fixed number.
//
// The ratio needs no agreement. Each request that a router receives for a service is a credit, which
// expires soon, and a retry spends 1/ratio of them. Routers that receive too few requests to pay for
// a retry hand their credits to the leading keeper with a request for grants, where those of all
// routers add up.
//
// The fixed number is granted by the leading keeper alone ([Granter]), which counts what it has granted
// within a window. A grant that has not been used soon expires. Leaders record in the replicated log for
// which services they grant, and a new leader grants none of those for a whole window, as the one before
// it may just have granted all.
//
// So neither the number of routers nor what is known of it matters, a router starts with nothing, and
// one without a leader keeps to its own credits. [Budget] is the part of a router.
package retrybudget

import (
	"time"
)

const (
	// ratioShare and extraShare are the shares of the limit that are used. The rest covers requests
	// that arrive in bursts around the ends of a window, and retries that arrive late.
	ratioShare = 0.85
	extraShare = 0.9

	// Parts of the window: how long a request is a credit at a router, and once more at the leading
	// keeper, how long a retry may be sent once it is paid for, and how late it may arrive.
	creditPart  = 0.06
	grantPart   = 0.05
	arrivalPart = 0.025
)

// Limit is a fleet's limit for each service. In any window, the retries are at most Ratio times the
// requests, plus Extra.
type Limit struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// part returns a part of the window.
func (l Limit) part(p float64) time.Duration { return time.Duration(p * float64(l.Window)) }

// cost returns the credits that a retry costs; false if no number suffices.
func (l Limit) cost() (float64, bool) {
	if l.Ratio <= 0 {
		return 0, false
	}
	return 1 / (ratioShare * l.Ratio), true
}
