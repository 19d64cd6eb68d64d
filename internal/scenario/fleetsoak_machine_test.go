package scenario

import (
	"fmt"
	"os"
	"time"
)

const (
	// probeInterval is the time between probes of the machine. A probe of slowProbe, a good part
	// of an election timeout, or more is recorded with the events of the soak test.
	probeInterval = 20 * time.Millisecond
	slowProbe     = 150 * time.Millisecond
)

// probeMachine periodically writes and syncs a page, as keepers do, until the given time. It
// records slow syncs and wake-ups, since these can lose a leader without an injected fault.
func (s *fleetSoak) probeMachine(until time.Time) {
	path := s.f.path("probe")
	file, err := os.Create(path)
	if err != nil {
		s.t.Log(err)
		return
	}
	defer func() { _ = file.Close() }()
	page := make([]byte, 4<<10)
	var longestSync, longestWake time.Duration
	slowProbes := 0
	for time.Now().Before(until) {
		start := time.Now()
		time.Sleep(probeInterval)
		woke := time.Now()
		if _, err := file.WriteAt(page, 0); err != nil {
			s.t.Log(err)
			return
		}
		if err := file.Sync(); err != nil {
			s.t.Log(err)
			return
		}
		sync, wake := time.Since(woke), woke.Sub(start)-probeInterval
		longestSync, longestWake = max(longestSync, sync), max(longestWake, wake)
		if max(sync, wake) >= slowProbe {
			slowProbes++
			s.mu.Lock()
			s.logEvent(fmt.Sprintf("machine: sync took %v, wake-up was %v late", sync.Round(time.Millisecond), wake.Round(time.Millisecond)))
			s.mu.Unlock()
		}
	}
	s.t.Logf("machine: longest sync %v, longest wake-up delay %v, %d probes over %v",
		longestSync.Round(time.Millisecond), longestWake.Round(time.Millisecond), slowProbes, slowProbe)
}
