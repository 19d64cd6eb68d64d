package scenario

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// For some seconds the platform may hand most new connections to one router, while callers open new ones
// more often. That router must serve the first attempts that it reads nearly as often as before.

const (
	// crowdedFrom is when the crowd begins, and crowdedFor how long it lasts.
	crowdedFrom = 4 * time.Second
	crowdedFor  = 8 * time.Second
	// minCrowdedPercent is how often first attempts must be served from contactTime after the beginning of
	// the crowd on, in percent of before.
	minCrowdedPercent = 75
)

// crowd sends requests on new connections, as a platform that hands most of them to one ready router.
type crowd struct {
	f    *fleet
	kind string
	// begun is when the requests began, and until when they end.
	begun, until time.Time

	mu      sync.Mutex // guards callers
	callers []*caller
}

// crowded reports whether the crowd is on.
func (c *crowd) crowded(now time.Time) bool {
	return now.After(c.begun.Add(crowdedFrom)) && now.Before(c.begun.Add(crowdedFrom+crowdedFor))
}

// router returns the router that gets a new connection.
func (c *crowd) router(r *rand.Rand, target string) string {
	const crowdPercent, percent = 85, 100
	if c.crowded(time.Now()) && r.IntN(percent) < crowdPercent {
		return target
	}
	return fmt.Sprintf("router-%d", r.IntN(c.f.shape.routers)+1)
}

// send sends requests, one and a half times as many while the crowd is on.
func (c *crowd) send(r *rand.Rand, target func() string) {
	var all sync.WaitGroup
	defer all.Wait()
	const interval, crowdedInterval = 12 * time.Millisecond, 8 * time.Millisecond
	for time.Now().Before(c.until) {
		q := fleetRequest{kind: c.kind, router: c.router(r, target()), prompt: 20, events: 20, timeout: 2 * time.Second}
		all.Go(func() {
			x := c.f.do(q)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.callers = append(c.callers, x)
		})
		pause := interval
		if c.crowded(time.Now()) {
			pause = crowdedInterval
		}
		time.Sleep(pause)
	}
}

// follow returns a function that returns the router to which the crowd goes: another one each time that
// it is not ready. The platform notices that within a second.
func (c *crowd) follow(all *sync.WaitGroup) func() string {
	var mu sync.Mutex // guards number
	number := 0
	name := func(n int) string { return fmt.Sprintf("router-%d", n%c.f.shape.routers+1) }
	all.Go(func() {
		for time.Now().Before(c.until) {
			mu.Lock()
			n := number
			mu.Unlock()
			if !c.f.isReady(c.f.indexOf(name(n))) {
				mu.Lock()
				number++
				mu.Unlock()
			}
			time.Sleep(time.Second / 2)
		}
	})
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return name(number)
	}
}

// served returns how many of the requests that a router read in a span of time were served.
func (c *crowd) served(from, to time.Time) (served, read int, refusals map[string]int) {
	refusals = make(map[string]int)
	for _, x := range c.callers {
		if x.sentAt.Before(from) || !x.sentAt.Before(to) || x.status == 0 {
			continue // a connection that is refused or closed unread does not count
		}
		read++
		if x.complete {
			served++
		} else {
			refusals[fmt.Sprintf("%d %s", x.status, x.refusalReason())]++
		}
	}
	return served, read, refusals
}

func TestCrowdedRouterServesFirstAttempts(t *testing.T) {
	tests := []struct {
		name, kind string
		// linkMbps is the capacity of the routers' links, 0 if it is not known.
		linkMbps float64
	}{
		{"plain calls", "check", 0},
		{"plain calls over a small link", "check", 0.5},
		{"engines", "stream", 0},
		{"engines over a small link", "stream", 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: 4, relays: 6, engines: 6, desks: 4, prepaid: 50_000_000, linkMbps: tt.linkMbps})
			f.awaitServersKnown(t)
			now := time.Now()
			c := &crowd{f: f, kind: tt.kind, begun: now, until: now.Add(crowdedFrom + crowdedFor)}
			var all sync.WaitGroup
			target := c.follow(&all)
			all.Go(func() { c.send(rand.New(rand.NewPCG(9, 1)), target) })
			all.Wait()
			crowdedAt := now.Add(crowdedFrom)
			before, readBefore, _ := c.served(now.Add(time.Second), crowdedAt)
			during, readDuring, refusals := c.served(crowdedAt.Add(contactTime), c.until)
			t.Logf("served at the first attempt: %d of %d before, %d of %d in the crowd; others %v; the crowd ended at %s", before, readBefore, during, readDuring, refusals, target())
			if before*100 < readBefore*99 || readBefore < 100 {
				t.Errorf("%d of %d requests were served before", before, readBefore)
			}
			if during*readBefore*100 < before*readDuring*minCrowdedPercent || readDuring < 100 {
				t.Errorf("%d of %d requests were served in the crowd, want %d percent of before", during, readDuring, minCrowdedPercent)
			}
			if violations := f.violations(f.shape.prepaid); len(violations) > 0 {
				t.Errorf("broken: %v", violations)
			}
		})
	}
}
