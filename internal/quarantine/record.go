package quarantine

import (
	"slices"
	"time"

	"sumachead"
)

// record holds what is known about one request.
type record struct {
	// crashes are the newest crashes of servers that ran it since its last success, oldest first.
	crashes []crash
	// trial is its running trial; nil for none.
	trial *trial
	// trialCrash is the crash that ended its last trial; nil for none. It proves nothing while there
	// are otherCrashes: servers that crashed about the same time and are not known to have run it.
	trialCrash   *crash
	otherCrashes []string
	// succeededAt is when a router last reported that it succeeded; zero for never.
	succeededAt time.Time
	// updatedAt is when a report last mentioned it.
	updatedAt time.Time
}

// trial is the only attempt that a suspected request may have at a time.
type trial struct {
	// node is the router, and number the random number that it has chosen for the trial.
	node   sumachead.NodeID
	number uint64
	server string
	// until is when the trial times out.
	until time.Time
}

// crash is one crash of a server.
type crash struct {
	server string
	at     time.Time
}

// isProven reports whether the request is proven to crash servers.
func (c *record) isProven() bool { return c.trialCrash != nil && len(c.otherCrashes) == 0 }

// isPending reports whether it is too early to draw a conclusion from the crash on trial: other
// crashes at about the same time may not have been reported yet.
func (c *record) isPending(now time.Time) bool {
	return c.trialCrash != nil && now.Sub(c.trialCrash.at) < correlationWindow
}

// addOtherCrash records the crash of a server. It invalidates the result of the trial if it
// happened at about the same time and the request is not known to have run at that server.
func (c *record) addOtherCrash(o crash) {
	t := c.trialCrash
	if o.server == t.server || o.at.Sub(t.at).Abs() >= correlationWindow {
		return
	}
	if !slices.ContainsFunc(c.crashes, o.same) && !slices.Contains(c.otherCrashes, o.server) {
		c.otherCrashes = append(c.otherCrashes, o.server)
	}
}

// same reports whether two reported crashes are the same one.
func (e crash) same(o crash) bool {
	return o.server == e.server && o.at.Sub(e.at).Abs() < duplicateWindow
}

// add adds a crash and reports whether it was unknown.
func (c *record) add(e crash) bool {
	if slices.ContainsFunc(c.crashes, e.same) {
		return false
	}
	c.crashes = append(c.crashes, e)
	c.crashes = c.crashes[max(len(c.crashes)-maxCrashes, 0):]
	return true
}

// isOnTrial reports whether a router runs the request on trial.
func (c *record) isOnTrial(node string, now time.Time) bool {
	return c.trial != nil && string(c.trial.node) == node && now.Before(c.trial.until)
}
