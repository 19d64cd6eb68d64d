// Package allot decides how many tokens of a budget each data hall holds in
// advance, to spend while it is cut off from the ledger.
//
// The default [Policy] uses [Plan]: half of the allotments is divided equally
// among the halls and half in proportion to their demand, and halls return tokens
// as a budget runs low. The other policies are baselines for comparison.
package allot

import (
	"math"
	"sync"
	"time"

	"sumachead"
)

const (
	// allottedPercent is the share of a budget's remaining tokens that is
	// allotted to halls. The rest can be reserved without a recall. These values
	// of allottedPercent and equalPercent had the fewest false refusals in
	// BenchmarkAdmission.
	allottedPercent = 90
	// equalPercent is the share of the allotments that is divided equally, since
	// a hall without demand so far may need tokens too.
	equalPercent = 50
	// demandHorizon is the maximum time for which an allotment covers a hall's
	// demand.
	demandHorizon = time.Hour
	// minHorizonTokens is the minimum of the bound that demandHorizon sets.
	minHorizonTokens = 200_000
	// A hall whose allotment is within these percentages of its target is not
	// adjusted.
	minTargetPercent = 80
	maxTargetPercent = 130
	hundredPercent   = 100
)

// Hall is the state of a data hall that a policy uses.
type Hall struct {
	ID sumachead.HallID
	// Connected reports whether the keeper of the hall's journal is connected.
	Connected bool
	Held      int64
	// Demand is the rate of reservations from the hall, in tokens per second.
	Demand float64
}

// Input is the state of one budget for which a policy plans.
type Input struct {
	// Available is the number of tokens that can be granted.
	Available int64
	Halls     []Hall
}

// Adjustment grants tokens to a hall, or recalls them if Tokens is negative.
type Adjustment struct {
	Hall   sumachead.HallID
	Tokens int64
}

// Plan returns the grants and recalls to make now. A disconnected hall gets
// neither.
func Plan(in Input) []Adjustment {
	available := in.Available
	for _, h := range in.Halls {
		if h.Connected {
			available += max(h.Held, 0)
		}
	}
	var steps []Adjustment
	for _, h := range in.Halls {
		if !h.Connected {
			continue
		}
		target := target(in, h, available)
		switch {
		case h.Held*hundredPercent < target*minTargetPercent:
			steps = append(steps, Adjustment{h.ID, target - h.Held})
		case h.Held*hundredPercent > target*maxTargetPercent && h.Held-target > 1:
			steps = append(steps, Adjustment{h.ID, target - h.Held})
		}
	}
	return steps
}

// target returns how many of the available tokens a connected hall should hold.
func target(in Input, h Hall, available int64) int64 {
	if available <= 0 {
		return 0
	}
	total, connected := 0.0, 0
	for _, x := range in.Halls {
		if x.Connected {
			total += x.Demand
			connected++
		}
	}
	share := 1 / float64(connected)
	if total > 0 {
		share = share*equalPercent/hundredPercent + h.Demand/total*(hundredPercent-equalPercent)/hundredPercent
	}
	bound := math.Max(h.Demand*demandHorizon.Seconds(), minHorizonTokens)
	return int64(math.Min(float64(available)*allottedPercent/hundredPercent*share, bound))
}

// DemandTracker estimates the rate at which each hall reserves tokens, as an
// exponential moving average.
type DemandTracker struct {
	mu    sync.Mutex // guards rates
	rates map[demandKey]*rate
}

type demandKey struct{ budget, hall string }

type rate struct {
	perSecond float64
	updatedAt time.Time
}

// demandTimeConstant is the time constant of the moving average.
const demandTimeConstant = 2 * time.Minute

// Record adds one reservation to the estimate.
func (d *DemandTracker) Record(budget, hall string, amount int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[demandKey]*rate)
	}
	k := demandKey{budget, hall}
	r := d.rates[k]
	if r == nil {
		r = &rate{updatedAt: now}
		d.rates[k] = r
	}
	r.perSecond = r.decayed(now) + float64(amount)/demandTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/demandTimeConstant.Seconds())
}

// Rate returns the estimated demand of a hall for a budget, in tokens per second.
func (d *DemandTracker) Rate(budget, hall string, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.rates[demandKey{budget, hall}]
	if r == nil {
		return 0
	}
	return r.decayed(now)
}
