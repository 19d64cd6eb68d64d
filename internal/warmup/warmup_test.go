package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The bound of an engine of the users: 6.6 requests a second, and 14.9 in any second.
const (
	rate, overage, slack = 6.6, 1.5, 5.0
	most                 = rate*overage + slack
)

// worst returns the most sends within any second.
func worst(sends []time.Duration) int {
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

// All routers together stay within the bound of a cold engine, however many they are and
// however hard they press, while the process that counts is killed and comes back, and
// while grants take a while to be used; and they use most of what the engine bears.
func TestGateKeepsTheBound(t *testing.T) {
	const lasts = 10 * time.Second
	for _, routers := range []int{1, 4, 24, 102, 410} {
		for _, kills := range []int{0, 1, 5} {
			t.Run(fmt.Sprintf("%d routers, %d kills", routers, kills), func(t *testing.T) {
				for seed := range uint64(20) {
					r := rand.New(rand.NewPCG(seed, uint64(routers)))
					sends := pressGate(r, routers, kills, lasts)
					if n := worst(sends); float64(n) > most {
						t.Fatalf("seed %d: %d requests in one second, %.1f are allowed", seed, n, most)
					}
					// A few routers that ask at long intervals can't use all of it.
					if kills == 0 && routers > 4 && float64(len(sends)) < 0.95*rate*lasts.Seconds() {
						t.Fatalf("seed %d: %d requests in %v, the engine bears %.0f", seed, len(sends), lasts, rate*lasts.Seconds())
					}
				}
			})
		}
	}
}

// pressGate plays routers that each ask for a grant some times a second.
func pressGate(r *rand.Rand, routers, kills int, lasts time.Duration) []time.Duration {
	start := time.Now()
	b := BoundOf(rate, overage, slack)
	var asks []time.Duration
	for range routers {
		every := time.Duration(20+r.IntN(200)) * time.Millisecond
		for at := time.Duration(r.Int64N(int64(every))); at < lasts; at += every {
			asks = append(asks, at)
		}
	}
	slices.Sort(asks)
	var killed []time.Duration
	for range kills {
		killed = append(killed, time.Duration(r.Int64N(int64(lasts))))
	}
	slices.Sort(killed)
	const restarts = 300 * time.Millisecond // until a killed process counts again
	since := start.Add(-time.Minute)
	g := NewGate(since, b, start)
	var sends []time.Duration
	for _, at := range asks {
		if len(killed) > 0 && at >= killed[0] {
			since = start.Add(killed[0] + restarts)
			killed = killed[1:]
			g = nil
		}
		now := start.Add(at)
		if now.Before(since) {
			continue // nobody grants
		}
		if g == nil {
			g = NewGate(since, b, now)
		}
		if granted, _ := g.Admit(b, uint32(r.IntN(4)), now); granted {
			sends = append(sends, at+time.Duration(r.Int64N(int64(GrantLives))))
		}
	}
	return sends
}

// Where more is asked for than a cold engine bears, the more urgent requests get more of it.
func TestUrgentRequestsGoFirst(t *testing.T) {
	now := time.Now()
	b := BoundOf(rate, overage, slack)
	g := NewGate(now, b, now)
	granted := make([]int, ranks)
	for i := range 1000 {
		urgency := uint32(i % ranks)
		if ok, _ := g.Admit(b, urgency, now.Add(time.Duration(i)*10*time.Millisecond)); ok {
			granted[urgency]++
		}
	}
	if granted[0] < 50 || granted[3] > granted[0]/10 {
		t.Errorf("grants by urgency: %v", granted)
	}
}

// Routers that can't know of each other stay within the bound by their shares.
func TestSharesKeepTheBound(t *testing.T) {
	const lasts = 200 * time.Second
	b := BoundOf(rate, overage, slack)
	for _, routers := range []int{1, 4, 24, 102, 410} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			start := time.Now()
			var sends []time.Duration
			for range routers {
				s := &Shares{}
				for at := time.Duration(rand.Int64N(int64(200 * time.Millisecond))); at < lasts; at += 200 * time.Millisecond {
					if s.Take("a", b, routers, start.Add(at)) {
						sends = append(sends, at)
					}
				}
			}
			if n := worst(sends); float64(n) > most {
				t.Errorf("%d requests in one second, %.1f are allowed", n, most)
			}
			if got, want := float64(len(sends)), rate*sharePart*lasts.Seconds(); got < want/2 {
				t.Errorf("%.0f requests, the shares add up to %.0f", got, want)
			}
		})
	}
}
