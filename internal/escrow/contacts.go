package escrow

import (
	"math/rand/v2"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// maxClockDrift is how much faster the clock of a holder may run than that of the leader, one part
	// in this many.
	maxClockDrift = 100
	// contactRetention is how long contacts are kept: a holder's limits and the delay of its
	// successor's first report.
	contactRetention = time.Minute
)

// Contacts records when holders last had a reply, from which follows until when they keep within
// their spend limits. It is soft state of the ledger's leader, and safe for concurrent use. A contact
// remains valid when the leader changes, since limits are part of the log.
type Contacts struct {
	mu      sync.Mutex // guards the fields below
	holders map[Holder]*contact
	// prunedAt is when old contacts were last removed.
	prunedAt sumachead.BootTime
}

// contact is what the leader knows of its last replies to a holder.
type contact struct {
	// address is where the holder's node listens.
	address string
	// last identifies the last reply, which was made at lastAt. The holder keeps within its limits
	// until lastUntil if it has received that reply.
	last              uint64
	lastAt, lastUntil sumachead.BootTime
	// confirmedAt is when the last reply was made that the holder has confirmed; confirmed is set if
	// there is one. The holder keeps within its limits until limitedUntil.
	confirmedAt, limitedUntil sumachead.BootTime
	confirmed                 bool
}

// Record records a report and returns the contact for its reply, which must not be sent before now.
func (c *Contacts) Record(r *wire.EscrowReport, now sumachead.BootTime) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holders == nil {
		c.holders = make(map[Holder]*contact)
	}
	c.prune(now)
	h := holderOf(r)
	x := c.holders[h]
	if x == nil {
		x = &contact{}
		c.holders[h] = x
	}
	if x.last != 0 && r.GetContact() == x.last {
		x.confirmedAt, x.limitedUntil, x.confirmed = x.lastAt, max(x.limitedUntil, x.lastUntil), true
	}
	x.address, x.last, x.lastAt = r.GetAddress(), max(rand.Uint64(), 1), now
	x.lastUntil = now.Add(limitDuration(r) * (maxClockDrift - 1) / maxClockDrift)
	return x.last
}

// EndedBoot returns the given previous holder of a report's node if it ended within its spend limits,
// or "": the new one started before the previous one could exceed them.
func (c *Contacts) EndedBoot(r *wire.EscrowReport, previous sumachead.BootID, now sumachead.BootTime) sumachead.BootID {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.holders[Holder{sumachead.NodeID(r.GetNode()), previous}]
	if x == nil || !x.confirmed || r.GetAddress() == "" || r.GetAddress() != x.address {
		return ""
	}
	startedBefore := now.Add(-time.Duration(r.GetAgeMillis()) * time.Millisecond)
	if startedBefore < x.confirmedAt || startedBefore >= x.limitedUntil {
		return ""
	}
	return previous
}

// prune removes old contacts. The caller holds mu.
func (c *Contacts) prune(now sumachead.BootTime) {
	if now.Sub(c.prunedAt) < contactRetention {
		return
	}
	c.prunedAt = now
	for h, x := range c.holders {
		if now.Sub(x.lastAt) >= contactRetention {
			delete(c.holders, h)
		}
	}
}
