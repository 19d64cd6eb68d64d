package retrybudget

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"sumachead/internal/boottime"
)

var histories = flag.Int("histories", 100, "number of random histories")

func limitWith(extra float64) Limit {
	return Limit{Ratio: 0.2, Extra: extra, Window: 10 * time.Second}
}

func even(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return w
}

// oneOfMost gives one router a share of the traffic and the others the rest.
func oneOfMost(n int, share float64) []float64 {
	w := even(n)
	if n > 1 {
		w[0] = share / (1 - share) * float64(n-1)
	}
	return w
}

// The fleet uses most of its limit where requests need it, and never exceeds it.
func TestUseOfTheLimit(t *testing.T) {
	tests := []struct {
		name     string
		routers  int
		extra    float64
		weights  []float64
		rate     float64
		minShare float64
	}{
		{"4 routers", 4, 54, even(4), 34, 0.8},
		{"4 routers, more requests", 4, 54, even(4), 300, 0.8},
		{"102 routers", 102, 244, even(102), 215, 0.8},
		{"102 routers, few requests", 102, 54, even(102), 34, 0.8},
		{"102 routers, many requests", 102, 244, even(102), 2000, 0.8},
		{"50 routers, few requests", 50, 50, even(50), 100, 0.5},
		{"410 routers, few requests", 410, 50, even(410), 82, 0.5},
		{"410 routers, little extra", 410, 54, even(410), 400, 0.5},
		{"4 routers, one with most requests", 4, 54, oneOfMost(4, 0.9), 34, 0.5},
		{"102 routers, one with most requests", 102, 244, oneOfMost(102, 0.9), 215, 0.5},
		{"410 routers, one with most requests", 410, 1040, oneOfMost(410, 0.9), 400, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := history{
				limit: limitWith(tt.extra), routers: tt.routers, maxAttempts: 2, length: 40 * time.Second, callTime: 3 * time.Millisecond,
				phases: []phase{
					{rate: map[string]float64{"s": tt.rate}, weights: tt.weights},
					{from: 15 * time.Second, rate: map[string]float64{"s": tt.rate}, weights: tt.weights, fails: map[string]float64{"s": 1}, maxDelay: 10 * time.Millisecond},
				},
			}
			s := simulate(h, 1)
			u := s.rule.Worst()["s"]
			t.Logf("%v (%.2f); %d calls to keepers, %d requests", u, u.Share(), s.calls, s.nextID)
			if u.Share() > 1 || u.Share() < tt.minShare {
				t.Errorf("%.2f of the limit used, want %.2f to 1: %v", u.Share(), tt.minShare, u)
			}
		})
	}
}

// Random histories never exceed the limit of any service.
func TestRandomHistoriesKeepTheLimit(t *testing.T) {
	for seed := range uint64(*histories) {
		h := randomHistory(rand.New(rand.NewPCG(seed, 1)))
		if broken := simulate(h, seed).rule.Violations(); len(broken) > 0 {
			t.Errorf("history %d, %d routers, extra %v: %v", seed, h.routers, h.limit.Extra, broken)
		}
	}
}

// randomHistory draws a fleet, its traffic and its faults.
func randomHistory(r *rand.Rand) history {
	between := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	duration := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
	sizes := []int{1, 2, 4, 4, 23, 102, 410}
	n := sizes[r.IntN(len(sizes))]
	h := history{
		limit: limitWith(max(54, between(0, 3)*float64(n))), routers: n, maxAttempts: 2 + r.IntN(2), length: 45 * time.Second,
		callTime: duration(30 * time.Millisecond), lost: between(0, 0.1),
	}
	total := between(10, 200)
	for from := time.Duration(0); from < h.length; from += duration(12 * time.Second) {
		p := phase{from: from, fails: make(map[string]float64), rate: make(map[string]float64), weights: even(n), maxDelay: duration(time.Second)}
		if r.IntN(3) == 0 {
			p.weights = oneOfMost(n, 0.9)
		}
		for _, x := range []struct {
			service string
			share   float64
		}{{"large", 0.9}, {"small", 0.1}} {
			p.rate[x.service] = total * x.share * between(0.1, 2)
			if r.IntN(2) == 0 {
				p.fails[x.service] = between(0.3, 1)
			}
		}
		h.phases = append(h.phases, p)
	}
	for at := duration(5 * time.Second); at < h.length; at += duration(5 * time.Second) {
		h.faults = append(h.faults, randomFault(r, at, n))
	}
	return h
}

func randomFault(r *rand.Rand, at time.Duration, n int) fault {
	f := fault{at: at}
	some := func() []int {
		chosen := []int{}
		share := r.Float64()
		for i := range n {
			if r.Float64() < share {
				chosen = append(chosen, i)
			}
		}
		return chosen
	}
	switch r.IntN(4) {
	case 0:
		f.restart = some()
	case 1:
		f.cut = some()
	case 2:
		f.cut = []int{}
	default:
		f.elect = time.Duration(1 + r.Int64N(int64(2*time.Second)))
	}
	return f
}

// BenchmarkTake measures the decision whether to retry, without a call to the leading keeper.
func BenchmarkTake(b *testing.B) {
	x := &Budget{Limit: limitWith(54), Clock: boottime.Clock{}}
	for b.Loop() {
		x.RecordRequest("s")
		_, _, _ = x.takeOrJoin("s")
	}
}
