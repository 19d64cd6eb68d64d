package fleetclient

import (
	"sync"
	"time"
)

// routerCountHold is how long a lower number of routers is not believed: a new leader knows only the
// routers that have found it, which takes an election and some follow requests.
const routerCountHold = 5 * time.Second

// routerCount is the number of routers by which shares of limits are computed. Shares must not become too
// large, so that it is the highest number of those reported within routerCountHold.
type routerCount struct {
	mu sync.Mutex // guards the fields below
	// current was last reported at currentAt; a lower number has been reported since then, the highest
	// of which is next.
	current, next uint32
	currentAt     time.Time
}

// report records the number of routers that a leader knows.
func (c *routerCount) report(n uint32, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n >= c.current:
		c.current, c.next, c.currentAt = n, 0, now
	case now.Sub(c.currentAt) < routerCountHold:
		c.next = max(c.next, n)
	default:
		c.current, c.next, c.currentAt = max(c.next, n), 0, now
	}
}

// get returns the number of routers, at least 1.
func (c *routerCount) get() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(int(c.current), 1)
}
