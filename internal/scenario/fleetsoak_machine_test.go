package scenario

import (
	"fmt"
	"os"
	"time"
)

const (
	// probeInterval is the time between probes of the machine, and slowProbe what of them is kept
	// with what the soak notes: a good part of an election time-out.
	probeInterval = 20 * time.Millisecond
	slowProbe     = 150 * time.Millisecond
)

// probeMachine writes and syncs a page at intervals until a moment, as keepers do, and notes
// when that or waking up takes long: a leader may be lost by it without a fault of the soak.
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
	slow := 0
	for time.Now().Before(until) {
		begun := time.Now()
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
		sync, wake := time.Since(woke), woke.Sub(begun)-probeInterval
		longestSync, longestWake = max(longestSync, sync), max(longestWake, wake)
		if max(sync, wake) >= slowProbe {
			slow++
			s.mu.Lock()
			s.keep(fmt.Sprintf("machine: a sync took %v, waking up %v longer", sync.Round(time.Millisecond), wake.Round(time.Millisecond)))
			s.mu.Unlock()
		}
	}
	s.t.Logf("machine: longest sync %v, longest delay of waking up %v, %d probes over %v",
		longestSync.Round(time.Millisecond), longestWake.Round(time.Millisecond), slow, slowProbe)
}
