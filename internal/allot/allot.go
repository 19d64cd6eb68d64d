// Package allot decides how much of a budget each data hall holds for the time
// when it is cut off.
//
// The [Policy] in use goes by [Plan]: halls hold half of the allotments equally
// and half in proportion to their demand, and give back as a budget runs low.
// The others are baselines for measuring.
package allot

import (
	"math"
	"sync"
	"time"

	"sumachead"
)

const (
	// allottedPart is the part of a budget that is out in allotments, in
	// percent; the rest pays without a recall. This and equalPart are those
	// that refused least falsely in the admission experiment.
	allottedPart = 90
	// equalPart is the part of the allotments that is shared equally, in
	// percent: a hall without demand so far may need some too.
	equalPart = 50
	// horizon is the time for which a hall's demand is covered at the most.
	horizon = time.Hour
	// floorTokens is the least that the horizon's bound comes to.
	floorTokens = 200_000
	// A hall whose holding is within these percentages of its target is left
	// alone.
	lowPercent  = 80
	highPercent = 130
	percent     = 100
)

// Hall is one data hall as the policy sees it.
type Hall struct {
	ID sumachead.HallID
	// Live: its keeper is in contact.
	Live bool
	Held int64
	// Demand is the tokens reserved a second from the hall.
	Demand float64
}

// Input is what a plan is made from.
type Input struct {
	// Available can be granted.
	Available int64
	Halls     []Hall
}

// Step gives tokens to a hall, or takes them back when negative.
type Step struct {
	Hall   sumachead.HallID
	Tokens int64
}

// Plan returns what to grant and recall now. A hall that is out of contact is
// neither granted to nor recalled from.
func Plan(in Input) []Step {
	left := in.Available
	for _, h := range in.Halls {
		if h.Live {
			left += max(h.Held, 0)
		}
	}
	var steps []Step
	for _, h := range in.Halls {
		if !h.Live {
			continue
		}
		target := target(in, h, left)
		switch {
		case h.Held*percent < target*lowPercent:
			steps = append(steps, Step{h.ID, target - h.Held})
		case h.Held*percent > target*highPercent && h.Held-target > 1:
			steps = append(steps, Step{h.ID, target - h.Held})
		}
	}
	return steps
}

// target is what a live hall should hold of the tokens left.
func target(in Input, h Hall, left int64) int64 {
	if left <= 0 {
		return 0
	}
	total, live := 0.0, 0
	for _, x := range in.Halls {
		if x.Live {
			total += x.Demand
			live++
		}
	}
	share := 1 / float64(live)
	if total > 0 {
		share = share*equalPart/percent + h.Demand/total*(percent-equalPart)/percent
	}
	bound := math.Max(h.Demand*horizon.Seconds(), floorTokens)
	return int64(math.Min(float64(left)*allottedPart/percent*share, bound))
}

// Demand estimates the tokens that each hall reserves a second, as a moving
// average.
type Demand struct {
	mu    sync.Mutex // guards rates
	rates map[demandKey]*rate
}

type demandKey struct{ budget, hall string }

type rate struct {
	perSecond float64
	at        time.Time
}

// memory is the time constant of the average.
const memory = 2 * time.Minute

// Note takes in one reservation.
func (d *Demand) Note(budget, hall string, amount int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[demandKey]*rate)
	}
	k := demandKey{budget, hall}
	r := d.rates[k]
	if r == nil {
		r = &rate{at: now}
		d.rates[k] = r
	}
	r.perSecond = r.decayed(now) + float64(amount)/memory.Seconds()
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/memory.Seconds())
}

// Rate returns the estimate.
func (d *Demand) Rate(budget, hall string, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.rates[demandKey{budget, hall}]
	if r == nil {
		return 0
	}
	return r.decayed(now)
}
