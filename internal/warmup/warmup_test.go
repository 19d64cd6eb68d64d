package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The bound of a real engine: 6.6 requests per second on average, and at most 14.9 in any second.
const (
	rate, overage, slack = 6.6, 1.5, 5.0
	maxPerSecond         = rate*overage + slack
)

// maxInSecond returns the maximum number of requests sent within any second.
func maxInSecond(sends []time.Duration) int {
	slices.Sort(sends)
	n, first := 0, 0
	for i, at := range sends {
		for at-sends[first] >= time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// All routers together must stay within the bound of a cold engine, however many they are and however
// often they ask, when the process that grants requests is killed and restarted, and when grants are
// used late. Without kills they must use most of what the engine can handle.
func TestGateKeepsTheBound(t *testing.T) {
	const duration = 10 * time.Second
	for _, routers := range []int{1, 4, 24, 102, 410} {
		for _, kills := range []int{0, 1, 5} {
			t.Run(fmt.Sprintf("%d routers, %d kills", routers, kills), func(t *testing.T) {
				for seed := range uint64(20) {
					r := rand.New(rand.NewPCG(seed, uint64(routers)))
					sends := simulateGate(r, routers, kills, duration)
					if n := maxInSecond(sends); float64(n) > maxPerSecond {
						t.Fatalf("seed %d: %d requests in one second, want at most %.1f", seed, n, maxPerSecond)
					}
					// A few routers that ask at long intervals can't use all of the rate.
					if kills == 0 && routers > 4 && float64(len(sends)) < 0.95*rate*duration.Seconds() {
						t.Fatalf("seed %d: %d requests in %v, want nearly %.0f", seed, len(sends), duration, rate*duration.Seconds())
					}
				}
			})
		}
	}
}

// simulateGate simulates routers that each ask for a grant several times a second.
func simulateGate(r *rand.Rand, routers, kills int, duration time.Duration) []time.Duration {
	start := time.Now()
	b := BoundOf(rate, overage, slack)
	var asks []time.Duration
	for range routers {
		interval := time.Duration(20+r.IntN(200)) * time.Millisecond
		for at := time.Duration(r.Int64N(int64(interval))); at < duration; at += interval {
			asks = append(asks, at)
		}
	}
	slices.Sort(asks)
	var killed []time.Duration
	for range kills {
		killed = append(killed, time.Duration(r.Int64N(int64(duration))))
	}
	slices.Sort(killed)
	const restartTime = 300 * time.Millisecond // until a killed process grants requests again
	since := start.Add(-time.Minute)
	g := NewGate(since, b, start)
	var sends []time.Duration
	for _, at := range asks {
		if len(killed) > 0 && at >= killed[0] {
			since = start.Add(killed[0] + restartTime)
			killed = killed[1:]
			g = nil
		}
		now := start.Add(at)
		if now.Before(since) {
			continue // no process grants requests
		}
		if g == nil {
			g = NewGate(since, b, now)
		}
		if granted, _ := g.Admit(b, uint32(r.IntN(4)), now); granted {
			sends = append(sends, at+time.Duration(r.Int64N(int64(GrantTTL))))
		}
	}
	return sends
}

// If the demand exceeds what a cold engine can handle, more urgent requests get more of it.
func TestUrgentRequestsGoFirst(t *testing.T) {
	now := time.Now()
	b := BoundOf(rate, overage, slack)
	g := NewGate(now, b, now)
	granted := make([]int, urgencyLevels)
	for i := range 1000 {
		urgency := uint32(i % urgencyLevels)
		if ok, _ := g.Admit(b, urgency, now.Add(time.Duration(i)*10*time.Millisecond)); ok {
			granted[urgency]++
		}
	}
	if granted[0] < 50 || granted[3] > granted[0]/10 {
		t.Errorf("grants by urgency: %v", granted)
	}
}

// Routers that can't coordinate must stay within the bound by their shares alone.
func TestSharesKeepTheBound(t *testing.T) {
	const duration = 200 * time.Second
	b := BoundOf(rate, overage, slack)
	for _, routers := range []int{1, 4, 24, 102, 410} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			start := time.Now()
			var sends []time.Duration
			for range routers {
				s := &Shares{}
				for at := time.Duration(rand.Int64N(int64(200 * time.Millisecond))); at < duration; at += 200 * time.Millisecond {
					if s.Take("a", b, routers, start.Add(at)) {
						sends = append(sends, at)
					}
				}
			}
			if n := maxInSecond(sends); float64(n) > maxPerSecond {
				t.Errorf("%d requests in one second, want at most %.1f", n, maxPerSecond)
			}
			if got, want := float64(len(sends)), rate*shareFraction*duration.Seconds(); got < want/2 {
				t.Errorf("%.0f requests, want about %.0f, the sum of the shares", got, want)
			}
		})
	}
}
