package quarantine

import (
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// A prompt block that crashes each server that begins to respond to it is found by group testing. The
// blocks of the prompts that a server may just have begun to respond to when it crashes are a positive
// pool; a response that has been written for SurvivalTime, or completely, is a negative one, and shows that
// all of its blocks are harmless. What crashes servers is in every pool, under different requests, and
// never survives. Harmless blocks that are in two pools by chance mostly have survived elsewhere before:
// each router that remembers that recalls it, as soon as it hears that the block is suspected. The
// requests with a block that remains suspected run on trial only, one at a time in the fleet, and a
// block is barred if the server of its trial crashes and no other suspect explains that better.

const (
	// SurvivalTime is how long a server writes a response before its blocks are known not to crash it:
	// servers crash within some 0.1 s of their first event.
	SurvivalTime = time.Second
	// suspectRequests is the number of different requests under which servers must have crashed: the
	// block of a single request is suspected with the request.
	suspectRequests = 2
	// recalledCrashes is the number of crashes from which on a block is suspected that is known to have
	// survived: it may have begun to crash servers since.
	recalledCrashes = 5
	// quietTrialCrashes is the number of trials that must end with a crash, and noisyTrialCrashes that
	// number if servers crash for other reasons as well, if the block has survived before, or if other
	// blocks were on all of these trials.
	quietTrialCrashes = 1
	noisyTrialCrashes = 3
	// leadCrashes is the number of crashes, under as many requests, from which on a block is barred without
	// a trial if no other one was in flight at nearly as many: leadMargin fewer at most. Routers have
	// recallTime to recall it before.
	leadCrashes = 4
	leadMargin  = 2
	recallTime  = 200 * time.Millisecond
	// reportTime is how long after a crash the reports of all routers about it arrive.
	reportTime = 100 * time.Millisecond
	// firstBarTTL is how long a block is barred for the first time: it may have been on trial at a server
	// that crashed for another reason. After that it is barred for standingTTL.
	firstBarTTL = 30 * time.Second
	// historyTime is how long crashes are remembered that a block does not explain, and maxHistory how
	// many.
	historyTime = 30 * time.Second
	maxHistory  = 256
)

// versionCrash is the crash of a server of one software version of a service.
type versionCrash struct {
	crash
	service, software string
}

// addHistory remembers a crash. The caller holds mu.
func (d *Tracker) addHistory(x crash, e *wire.ServerEnd) {
	if slices.ContainsFunc(d.history, func(o versionCrash) bool { return x.same(o.crash) }) {
		return
	}
	d.history = append(d.history, versionCrash{x, e.GetService(), e.GetSoftware()})
	d.history = d.history[max(len(d.history)-maxHistory, 0):]
}

// blockOf returns a block of the prompt of a request under which a server crashed.
func blockOf(e *wire.ServerEnd, b *wire.CrashBlock) *wire.PromptBlock {
	return &wire.PromptBlock{Service: e.GetService(), Software: e.GetSoftware(), Id: b.GetId()}
}

// recordBlockCrashes records that a server crashed when it may have begun to respond to a prompt.
func (n *update) recordBlockCrashes(node string, e *wire.ServerEnd) {
	request, ok := parse(e.GetFingerprint())
	if !ok {
		return
	}
	for _, b := range e.GetBlocks() {
		block := blockOf(e, b)
		f := BlockFingerprint(block)
		c := n.recordOf(f, n.now)
		if c == nil {
			return
		}
		c.block = block
		c.recalled = c.recalled || b.GetSurvived()
		if len(c.requests) < leadCrashes && !slices.Contains(c.requests, request) {
			c.requests = append(c.requests, request)
		}
		n.addCrash(c, f, node, e, n.now)
		switch s := n.current(f); {
		case s == wire.Standing_STANDING_BARRED:
			n.explain(f, c)
		case c.has(crashOf(e, n.now)) && !c.recalled && n.isBarredElsewhere(block), s == wire.Standing_STANDING_SUSPECTED && n.leads(f, c):
			c.barredByLead = true
			n.bar(f, c)
		case s == wire.Standing_STANDING_CLEARED && c.isSuspicious():
			c.suspectedAt = n.now
			n.change(f, wire.Standing_STANDING_SUSPECTED)
		}
	}
}

// isSuspicious reports whether the crashes suffice for a suspicion.
func (c *record) isSuspicious() bool {
	switch {
	case c.block == nil:
		return len(c.crashes) >= suspectCrashes
	case len(c.requests) < suspectRequests:
		return false
	case c.recalled:
		return c.crashTimes() >= recalledCrashes
	}
	return c.crashTimes() >= suspectCrashes
}

// crashTimes returns the number of crashes, in which those that happened at about the same time count
// once: a block may be in flight at many servers that crash for a common reason.
func (c *record) crashTimes() int {
	count := 0
	var last time.Time
	for _, x := range slices.SortedFunc(slices.Values(c.crashes), func(a, b crash) int { return a.at.Compare(b.at) }) {
		if count == 0 || x.at.Sub(last) >= correlationWindow {
			count, last = count+1, x.at
		}
	}
	return count
}

// isBlockProven reports whether the crash on the last trial of a block proves that it crashes servers.
func (n *update) isBlockProven(f sumachead.Fingerprint, c *record) bool {
	switch {
	case n.current(f) == wire.Standing_STANDING_BARRED:
		return !n.isContested(f, c)
	case n.now.Sub(c.trialCrash.at) < reportTime:
		return false
	}
	required := quietTrialCrashes
	if c.recalled || !n.explainsAll(c) {
		required = noisyTrialCrashes
	}
	return c.trialCrashes >= required && !n.isContested(f, c)
}

// explainsAll reports whether all servers of the block's version that have crashed since its first
// crash may just have begun to respond to it or to another suspect.
func (n *update) explainsAll(c *record) bool {
	if len(c.crashes) == 0 {
		return false
	}
	suspects := []*record{c}
	for g, o := range n.records {
		if o.block != nil && n.current(g) != wire.Standing_STANDING_CLEARED {
			suspects = append(suspects, o)
		}
	}
	first := c.crashes[0].at
	return !slices.ContainsFunc(n.history, func(x versionCrash) bool {
		return x.service == c.block.GetService() && x.software == c.block.GetSoftware() && !x.at.Before(first) &&
			!slices.ContainsFunc(suspects, func(o *record) bool { return o.has(x.crash) })
	})
}

// isContested reports whether another suspect explains the crash on trial as well: as many servers
// crashed under it.
func (n *update) isContested(f sumachead.Fingerprint, c *record) bool {
	for g, o := range n.records {
		if g == f || len(o.crashes) < len(c.crashes) || !o.has(*c.trialCrash) {
			continue
		}
		together := slices.Contains(c.trialWith, g)
		if together && c.trialCrashes >= noisyTrialCrashes {
			continue
		}
		if together || n.current(g) != wire.Standing_STANDING_CLEARED {
			return true
		}
	}
	return false
}

// leads reports whether a suspected block explains many more crashes than any other one.
func (n *update) leads(f sumachead.Fingerprint, c *record) bool {
	if c.recalled || len(c.requests) < leadCrashes || c.crashTimes() < leadCrashes || n.now.Sub(c.suspectedAt) < recallTime {
		return false
	}
	for g, o := range n.records {
		if g != f && o.block != nil && !o.recalled && len(o.crashes)+leadMargin > len(c.crashes) && slices.ContainsFunc(o.crashes, c.has) {
			return false
		}
	}
	return true
}

// isBarredElsewhere reports whether a block is barred at another version of its service.
func (n *update) isBarredElsewhere(b *wire.PromptBlock) bool {
	return slices.ContainsFunc(n.barredBlocks, func(g sumachead.Fingerprint) bool {
		o := n.records[g].blockOrNil()
		return o.GetService() == b.GetService() && o.GetId() == b.GetId() && o.GetSoftware() != b.GetSoftware()
	})
}

// suspectElsewhere suspects a barred block at the other versions of its service under which servers have
// crashed: it is tried there before it runs freely.
func (n *update) suspectElsewhere(b *wire.PromptBlock) {
	for _, x := range n.history {
		if x.service != b.GetService() || x.software == b.GetSoftware() {
			continue
		}
		other := &wire.PromptBlock{Service: x.service, Software: x.software, Id: b.GetId()}
		f := BlockFingerprint(other)
		if c := n.recordOf(f, n.now); c != nil && !c.recalled && n.current(f) == wire.Standing_STANDING_CLEARED {
			c.block, c.suspectedAt = other, n.now
			n.change(f, wire.Standing_STANDING_SUSPECTED)
		}
	}
}

// explain removes the crashes under a barred block from the records of all others, which just happened
// to run beside it. Those that are barred for these crashes alone are cleared as well.
func (n *update) explain(f sumachead.Fingerprint, c *record) {
	for g, o := range n.records {
		if g == f || len(o.crashes) > len(c.crashes) || !slices.ContainsFunc(o.crashes, c.has) {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(o.crashes), c.has)
		standing := n.current(g)
		if standing == wire.Standing_STANDING_BARRED && len(left) > 0 {
			continue
		}
		o.crashes, o.barredByLead = left, false
		if o.trialCrash != nil && c.has(*o.trialCrash) {
			o.trialCrashes = max(o.trialCrashes-1, 0)
			o.trialCrash, o.otherCrashes, o.trialWith = nil, nil, nil
		}
		if standing != wire.Standing_STANDING_CLEARED && !o.isSuspicious() {
			n.barredBlocks = slices.DeleteFunc(n.barredBlocks, func(h sumachead.Fingerprint) bool { return h == g })
			n.change(g, wire.Standing_STANDING_CLEARED)
		}
	}
}

// isExplained reports whether a crash happened under a barred block. The caller holds mu.
func (d *Tracker) isExplained(f sumachead.Fingerprint, x crash) bool {
	return slices.ContainsFunc(d.barredBlocks, func(g sumachead.Fingerprint) bool {
		o := d.records[g]
		return g != f && o != nil && o.has(x)
	})
}

// recall records that a block survived at a router before the crashes. It is suspected again if more
// servers crash.
func (n *update) recall(b []byte) {
	f, ok := parse(b)
	c := n.records[f]
	if !ok || c == nil || c.block == nil {
		return
	}
	c.recalled = true
	if n.current(f) == wire.Standing_STANDING_SUSPECTED && !c.isSuspicious() {
		n.endTrial(c)
		n.change(f, wire.Standing_STANDING_CLEARED)
	}
}
