package linkload

import (
	"time"
)

// Percent is a percentage of a link's capacity.
type Percent int64

const (
	// maxNeighborsAge is the age from which the neighbors' load is not used: several follow requests,
	// which carry it. The loads of groups of callers change within seconds.
	maxNeighborsAge = 3 * time.Second
	// roundInterval separates the starts of rounds in which connections are closed. On a full link a
	// connection has a response each second or two. The load is measured over half a second, and the
	// neighbors' load arrives about a second late, so that the next round sees the effect.
	roundInterval = 2 * time.Second
	// maxRoundConnections bounds the connections that are remembered in a round, an estimated 1 MB. No more
	// are closed in a round with more.
	maxRoundConnections = 1 << 14
)

// A ConnectionID identifies a caller's connection while it is open.
type ConnectionID string

// Neighbors is the load on the links of the other routers of a data hall.
type Neighbors struct {
	// Routers is the number of routers whose load is known.
	Routers int
	// Mean is the mean load, and Room the sum of what each router below OverloadPercent has left up
	// to it.
	Mean, Room Percent
}

// SetNeighbors records the neighbors' load.
func (l *Link) SetNeighbors(n Neighbors, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.neighbors, l.neighborsAt = n, now
}

// Neighbors returns the neighbors' load; ok is false if none that is recent enough is known.
func (l *Link) Neighbors(now time.Time) (n Neighbors, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.neighbors, l.knowsNeighbors(now)
}

// knowsNeighbors reports whether the neighbors' load is recent enough. The caller holds mu.
func (l *Link) knowsNeighbors(now time.Time) bool {
	return l.neighbors.Routers > 0 && now.Sub(l.neighborsAt) <= maxNeighborsAge
}

// Load returns the load on the link; 0 if its capacity is unknown.
func (l *Link) Load(now time.Time) Percent {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	return l.percent()
}

// shouldClose decides on a connection of an overloaded router. The caller holds mu.
func (l *Link) shouldClose(c ConnectionID, now time.Time) bool {
	if !l.knowsNeighbors(now) {
		l.responses++
		return l.responses%closeOneIn == 0
	}
	// A router without room does not help the callers that move to it, and closes their connections
	// in turn.
	if l.neighbors.Room <= 0 {
		return false
	}
	if l.round.startedAt.IsZero() || now.Sub(l.round.startedAt) >= roundInterval {
		load := l.percent()
		l.round = round{
			startedAt: now,
			share:     float64(min(load-OverloadPercent, l.neighbors.Room)) / float64(load),
			seen:      make(map[ConnectionID]struct{}),
			due:       l.round.remainder(load, l.neighbors.Room),
		}
	}
	return l.round.includes(c)
}

// round closes a share of the connections, each after its first response in the round.
type round struct {
	startedAt time.Time
	share     float64
	// seen contains the connections that had a response, and due is their number times the share,
	// less those that were closed. closed tells that there were any.
	seen   map[ConnectionID]struct{}
	due    float64
	closed bool
}

// includes reports whether a connection that has a response is to be closed.
func (r *round) includes(c ConnectionID) bool {
	if _, ok := r.seen[c]; ok || len(r.seen) >= maxRoundConnections {
		return false
	}
	r.seen[c] = struct{}{}
	r.due += r.share
	if r.due < 1 {
		return false
	}
	r.due--
	r.closed = true
	return true
}

// remainder returns the fraction of a connection that a round leaves to the next one. Without it, a
// router with so few connections that its share is less than one would never close any. There is none
// if the round closed a connection, if the mean load of a connection exceeds the neighbors' room, or for
// a single connection, which would fill another link as well.
func (r *round) remainder(load, room Percent) float64 {
	n := len(r.seen)
	if r.closed || n <= 1 || load > room*Percent(n) {
		return 0
	}
	return r.due
}
