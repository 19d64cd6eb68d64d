package retrybudget

import (
	"time"

	"sumachead"
)

// creditSlots is the number of time slots in the lifetime of a credit.
const creditSlots = 12

// credits counts requests for a lifetime, in time slots. The zero value is empty.
type credits struct {
	slots [creditSlots]float64
	// newest is the number of the newest slot since the host started.
	newest int64
}

// advance drops what has expired.
func (c *credits) advance(lifetime time.Duration, now sumachead.BootTime) {
	slot := int64(now) / max(int64(lifetime)/creditSlots, 1)
	for i := max(c.newest+1, slot-creditSlots+1); i <= slot; i++ {
		c.slots[i%creditSlots] = 0
	}
	c.newest = max(c.newest, slot)
}

// add adds credits. The caller has called advance, as for the methods below.
func (c *credits) add(n float64) { c.slots[c.newest%creditSlots] += n }

// take spends credits, the oldest ones first, and reports whether there were enough.
func (c *credits) take(n float64) bool {
	if c.sum() < n {
		return false
	}
	for i := c.newest - creditSlots + 1; n > 0 && i <= c.newest; i++ {
		s := &c.slots[(i+creditSlots)%creditSlots]
		spent := min(*s, n)
		*s -= spent
		n -= spent
	}
	return true
}

func (c *credits) sum() float64 {
	total := 0.0
	for _, n := range c.slots {
		total += n
	}
	return total
}

// drain removes and returns all credits.
func (c *credits) drain() float64 {
	total := c.sum()
	c.slots = [creditSlots]float64{}
	return total
}
