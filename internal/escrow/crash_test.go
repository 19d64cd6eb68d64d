package escrow

import (
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// crashCase is a run in which routers crash again and again.
type crashCase struct {
	name string
	// crashEvery is how often three of the four routers crash, until crashesEnd, and downTime is how
	// long each is down.
	crashEvery, crashesEnd, downTime time.Duration
	// maxLostPercent bounds the part of the budget that is lost.
	maxLostPercent int
}

// crashTotal is the budget of a crashCase.
const crashTotal = 3_000_000

// crashOutcome is the result of a crashCase.
type crashOutcome struct {
	// Refused counts requests that were not admitted within trialWaitTimeout while their router was up.
	Requests, Refused int
	Billed, Lost      sumachead.Tokens
}

// run sends requests to the real ledger, allocator and wallets in virtual time.
func (c crashCase) run() crashOutcome {
	const (
		duration, requestEvery = 92 * time.Second, 50 * time.Millisecond
		bound, bill            = 1550, 1000
		inFlight               = 300 * time.Millisecond
	)
	w := trialWorkspace(0)
	d := newDemandBased(map[sumachead.WorkspaceID]sumachead.Tokens{w: crashTotal})
	var o crashOutcome
	type runningBill struct {
		at     time.Duration
		settle func(sumachead.Tokens)
	}
	type waitingCall struct {
		router int
		until  time.Duration
	}
	var running []runningBill
	var waiting []waitingCall
	var upAt [trialRouters]time.Duration
	now := func(at time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(at) }
	for at, n := time.Duration(0), 0; at < duration; at += trialTick {
		if at > 0 && at <= c.crashesEnd && at%c.crashEvery == 0 {
			for i := range trialRouters - 1 {
				upAt[(n+i)%trialRouters] = at + c.downTime
				d.down[(n+i)%trialRouters] = true
			}
		}
		for i := range upAt {
			if d.down[i] && at >= upAt[i] {
				d.kill(i, now(at))
			}
		}
		for len(running) > 0 && running[0].at <= at {
			running[0].settle(bill)
			o.Billed += bill
			running = running[1:]
		}
		if at%requestEvery == 0 {
			o.Requests++
			router := n % trialRouters
			for d.down[router] {
				router = (router + 1) % trialRouters
			}
			waiting = append(waiting, waitingCall{router, at + trialWaitTimeout})
			n++
		}
		d.tick(now(at), true)
		var left []waitingCall
		for _, q := range waiting {
			if d.down[q.router] {
				continue // the connection was reset
			}
			if settle, ok := d.reserve(q.router, w, bound, now(at), true); ok {
				running = append(running, runningBill{at + inFlight, settle})
				continue
			}
			if at >= q.until {
				o.Refused++
				continue
			}
			left = append(left, q)
		}
		waiting = left
	}
	o.Lost = crashTotal - o.Billed - d.ledger.state.Unallocated(w)
	for _, x := range d.ledger.state.Holdings(w) {
		o.Lost -= x.Outstanding() - x.Spent
	}
	return o
}

// Guards against crashes that use up a budget: what a router held and could not have spent counts as
// spent once it has crashed.
func TestCrashesDoNotUseUpABudget(t *testing.T) {
	for _, c := range []crashCase{
		{"every 3 s", 3 * time.Second, time.Minute, 500 * time.Millisecond, 15},
		{"every 1.5 s", 1500 * time.Millisecond, time.Minute, 500 * time.Millisecond, 22},
		{"every 9 s", 9 * time.Second, time.Minute, 1300 * time.Millisecond, 11},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := c.run()
			t.Logf("%d of %d requests refused, %d billed, %d lost", o.Refused, o.Requests, o.Billed, o.Lost)
			if o.Refused > o.Requests/100 {
				t.Errorf("%d of %d requests were refused, although the budget holds all of them", o.Refused, o.Requests)
			}
			if o.Lost*100 > crashTotal*sumachead.Tokens(c.maxLostPercent) {
				t.Errorf("%d of %d tokens are lost, more than %d percent", o.Lost, crashTotal, c.maxLostPercent)
			}
		})
	}
}

// applyFirst applies a report. What a killed router held is not lost if it goes back to the budget when
// its successor reports. The caller holds mu.
func (s *loadSim) applyFirst(r *wire.EscrowReport) *wire.EscrowReply {
	b := s.ledger.state
	previous, ok := b.Incarnation(sumachead.NodeID(r.GetNode()))
	if !ok || string(previous) == r.GetBoot() {
		return s.apply(r)
	}
	notSpent := make(map[sumachead.WorkspaceID]sumachead.Tokens)
	for w, a := range b.accounts {
		notSpent[w] = a.closed + b.Holdings(w)[Holder{sumachead.NodeID(r.GetNode()), previous}].Outstanding()
	}
	reply := s.apply(r)
	for w, sum := range notSpent {
		s.budgets[w].lost -= sum - b.accounts[w].closed
	}
	return reply
}
