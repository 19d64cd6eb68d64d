package quarantine

import (
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// record holds what is known about one request or prompt block.
type record struct {
	// block is the prompt block; nil for a request.
	block *wire.PromptBlock
	// requests are some of the requests with the block under which servers crashed.
	requests []sumachead.Fingerprint
	// recalled is set if a router has reported that the block survived before the crashes.
	recalled bool
	// suspectedAt is when a block was last suspected.
	suspectedAt time.Time
	// bars counts how often it was barred since its last success, and barredAt is when that was last.
	bars     int
	barredAt time.Time
	// barredByLead is set once a block was barred because it explains many more crashes than any other.
	barredByLead bool
	// trialCrashes counts the servers of a block's trials that have crashed since its last success.
	trialCrashes int
	// crashes are the newest crashes of servers that ran it since its last success, oldest first.
	crashes []crash
	// trial is its running trial; nil for none.
	trial *trial
	// trialCrash is the crash that ended its last trial; nil for none. It proves nothing while there
	// are otherCrashes: servers that crashed about the same time and are not known to have run it.
	trialCrash   *crash
	otherCrashes []string
	// trialWith are the suspects that were on the same trial, including this one.
	trialWith []sumachead.Fingerprint
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
	// with are the suspects on this trial: a request and blocks of its prompt.
	with []sumachead.Fingerprint
	// until is when the trial times out.
	until time.Time
}

// crash is one crash of a server.
type crash struct {
	server string
	at     time.Time
}

// blockOrNil returns the block; nil for a request, and for no record.
func (c *record) blockOrNil() *wire.PromptBlock {
	if c == nil {
		return nil
	}
	return c.block
}

// hasTrialCrash reports whether the server of the last trial has crashed and no other crash at about
// the same time makes that worthless.
func (c *record) hasTrialCrash() bool { return c.trialCrash != nil && len(c.otherCrashes) == 0 }

// resetTrialCrash forgets the crash of the last trial. One that was worthless does not count.
func (c *record) resetTrialCrash() {
	if c.trialCrash != nil && len(c.otherCrashes) > 0 && c.trialCrashes > 0 {
		c.trialCrashes--
	}
	c.trialCrash, c.otherCrashes, c.trialWith = nil, nil, nil
}

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
	if !c.has(o) && !slices.Contains(c.otherCrashes, o.server) {
		c.otherCrashes = append(c.otherCrashes, o.server)
	}
}

// has reports whether a crash is recorded.
func (c *record) has(e crash) bool { return slices.ContainsFunc(c.crashes, e.same) }

// same reports whether two reported crashes are the same one.
func (e crash) same(o crash) bool {
	return o.server == e.server && o.at.Sub(e.at).Abs() < duplicateWindow
}

// add adds a crash and reports whether it was unknown.
func (c *record) add(e crash) bool {
	if c.has(e) {
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

// isOnOtherTrial reports whether another trial than the given one is running.
func (c *record) isOnOtherTrial(t *trial, now time.Time) bool {
	return c.trial != nil && now.Before(c.trial.until) && (c.trial.node != t.node || c.trial.number != t.number)
}
