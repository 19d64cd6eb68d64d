package ratelimit

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"sumachead"
	"sumachead/internal/bucket"
	"sumachead/internal/warmup"
)

const (
	// window is the time in which requests to a server are counted. At most maxRateFactor times the
	// limit and slack more may arrive in it.
	window        = 4 * time.Second
	maxRateFactor = 1.1
	slack         = 2
	// maxWait is how long a request waits for a permit.
	maxWait = 800 * time.Millisecond
	// roundTripTime is the time to the process that grants permits and back.
	roundTripTime = 3 * time.Millisecond
)

// workload describes the requests for one server with a limit.
type workload struct {
	routers  int
	limit    sumachead.RequestRate
	duration time.Duration
	// demandFactor is the ratio of the request rate to the limit.
	demandFactor float64
	// skew is the fraction of requests that arrive at the first router.
	skew float64
	// restarts is how often the process that grants permits restarts.
	restarts int
	// partitioned is the fraction of the routers that can't reach it.
	partitioned float64
}

// request is one request of a workload.
type request struct {
	at     time.Duration
	router int
}

// requests returns random requests of a workload.
func (l workload) requests(r *rand.Rand) []request {
	var out []request
	rate := float64(l.limit) * l.demandFactor
	for at := time.Duration(0); at < l.duration; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		router := r.IntN(l.routers)
		if r.Float64() < l.skew {
			router = 0
		}
		out = append(out, request{at, router})
	}
	return out
}

// result is the result of a simulation.
type result struct {
	sends []time.Duration
	// messages is the number of messages that the busiest process received.
	messages int
}

// maxInWindow returns the maximum number of requests within a window.
func (p result) maxInWindow() int {
	slices.Sort(p.sends)
	n, first := 0, 0
	for i, at := range p.sends {
		for at-p.sends[first] >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// strategy simulates a way to share a limit among routers.
type strategy func(l workload, requests []request, r *rand.Rand) result

// permitStrategy asks one process for a permit for each request. It is the strategy of [Permits].
func permitStrategy(l workload, requests []request, r *rand.Rand) result {
	var p result
	begun := time.Now()
	b := BoundOf(l.limit)
	gate := &Permits{StartedAt: begun.Add(-time.Minute)}
	var restarts []time.Duration
	for range l.restarts {
		restarts = append(restarts, time.Duration(r.Int64N(int64(l.duration))))
	}
	slices.Sort(restarts)
	shares := make([]warmup.Shares, l.routers)
	part := b
	part.Rate *= 0.5
	// denied is until when each router knows that there is no permit. Its requests don't ask before
	// then, and retry spread over at least minSpread.
	denied := make([]time.Duration, l.routers)
	const minSpread = 30 * time.Millisecond
	spread := func(delay time.Duration) time.Duration {
		return delay + time.Duration(r.Float64()*float64(max(delay/2, minSpread)))
	}
	asks := newQueue(requests)
	for asks.hasNext() {
		x := asks.next()
		now := begun.Add(x.at)
		if float64(x.router) < l.partitioned*float64(l.routers) {
			if shares[x.router].Take("a", part, l.routers, now) {
				p.sends = append(p.sends, x.at)
			} else {
				asks.retry(x, 200*time.Millisecond)
			}
			continue
		}
		if len(restarts) > 0 && x.at >= restarts[0] {
			gate = &Permits{StartedAt: begun.Add(restarts[0] + 300*time.Millisecond)}
			restarts = restarts[1:]
		}
		if now.Before(gate.StartedAt) {
			asks.retry(x, 200*time.Millisecond)
			continue
		}
		if left := denied[x.router] - x.at; left > 0 {
			asks.retry(x, spread(left))
			continue
		}
		p.messages++
		granted, retryAfter := gate.Admit("a", b, 0, now)
		if granted {
			p.sends = append(p.sends, x.at+time.Duration(r.Int64N(int64(warmup.GrantTTL))))
			continue
		}
		denied[x.router] = x.at + retryAfter
		asks.retry(x, spread(retryAfter))
	}
	return p
}

// allotmentStrategy has one process allot permits to the routers twice a second, by their recent
// demand.
func allotmentStrategy(l workload, requests []request, r *rand.Rand) result {
	const interval = 500 * time.Millisecond
	var p result
	allotments, demand := make([]int, l.routers), make([]int, l.routers)
	carry, last := 0.0, time.Duration(0)
	asks := newQueue(requests)
	for asks.hasNext() {
		x := asks.next()
		for last+interval <= x.at {
			last += interval
			carry += float64(l.limit) * interval.Seconds()
			allotments = make([]int, l.routers) // unused permits expire
			var claims []int
			for i, n := range demand {
				if n > 0 {
					p.messages++
				}
				for range n {
					claims = append(claims, i)
				}
			}
			r.Shuffle(len(claims), func(i, j int) { claims[i], claims[j] = claims[j], claims[i] })
			for _, i := range claims[:min(int(carry), len(claims))] {
				allotments[i]++
				carry--
			}
			carry = min(carry, 1)
			demand = make([]int, l.routers)
		}
		if allotments[x.router] > 0 {
			allotments[x.router]--
			p.sends = append(p.sends, x.at)
			continue
		}
		demand[x.router]++
		asks.retry(x, last+interval-x.at)
	}
	return p
}

// evenSplitStrategy limits each router to an equal part, without messages.
func evenSplitStrategy(l workload, requests []request, _ *rand.Rand) result {
	var p result
	begun := time.Now()
	parts := make([]bucket.Bucket, l.routers)
	rate := float64(l.limit) / float64(l.routers)
	asks := newQueue(requests)
	for asks.hasNext() {
		x := asks.next()
		b := &parts[x.router]
		b.Refill(rate, min(rate, 1), begun.Add(x.at))
		if b.Take(min(rate, 1)) {
			p.sends = append(p.sends, x.at)
			continue
		}
		asks.retry(x, 200*time.Millisecond)
	}
	return p
}

// queue holds requests ordered by their next attempts; those that have waited too long are refused.
type queue []pendingRequest

type pendingRequest struct {
	request
	until time.Duration
}

func newQueue(requests []request) *queue {
	q := &queue{}
	for _, x := range requests {
		*q = append(*q, pendingRequest{x, x.at + maxWait})
	}
	heap.Init(q)
	return q
}

func (q *queue) Len() int           { return len(*q) }
func (q *queue) Less(i, j int) bool { return (*q)[i].at < (*q)[j].at }
func (q *queue) Swap(i, j int)      { (*q)[i], (*q)[j] = (*q)[j], (*q)[i] }
func (q *queue) Push(x any)         { *q = append(*q, x.(pendingRequest)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (q *queue) hasNext() bool { return len(*q) > 0 }

func (q *queue) next() pendingRequest { return heap.Pop(q).(pendingRequest) }

// retry puts a request back for another attempt after a delay, unless it would wait too long.
func (q *queue) retry(x pendingRequest, delay time.Duration) {
	x.at += max(delay, roundTripTime)
	if x.at <= x.until {
		heap.Push(q, x)
	}
}

// All routers together must stay within the limit of a server, however many they are and when the
// process that grants permits restarts; partitioned routers may add a margin. Without faults they must
// use nearly all of the limit while requests wait.
func TestPermitsKeepTheLimit(t *testing.T) {
	faults := []struct {
		name string
		load workload
		// saturated: the limit must be used up.
		saturated bool
	}{
		{"calm", workload{skew: 0.2}, true},
		{"one router has all requests", workload{skew: 1}, true},
		{"the demand is slightly above the limit", workload{skew: 0.2, demandFactor: 1.2}, false},
		{"the process restarts", workload{restarts: 5}, false},
		{"a tenth of the routers are partitioned", workload{partitioned: 0.1}, false},
	}
	for _, routers := range []int{4, 24, 102, 384, 1000} {
		for _, limit := range []sumachead.RequestRate{0.2, 1, 2.5, 20, 200} {
			for _, tt := range faults {
				t.Run(fmt.Sprintf("%d routers, limit %v, %s", routers, limit, tt.name), func(t *testing.T) {
					l := tt.load
					l.routers, l.limit, l.duration, l.demandFactor = routers, limit, durationFor(limit), cmp.Or(l.demandFactor, demandFactorFor(limit))
					simulatePermits(t, l, tt.saturated)
				})
			}
		}
	}
}

// demandFactorFor returns a demand factor at which some request always waits for a permit.
func demandFactorFor(limit sumachead.RequestRate) float64 {
	const minFactor, requests = 3, 8 // requests per second
	return max(minFactor, requests/float64(limit))
}

// durationFor returns the duration of a workload: the time for a few hundred permits, within bounds.
func durationFor(limit sumachead.RequestRate) time.Duration {
	const permits = 300
	return min(max(time.Duration(permits/float64(limit)*float64(time.Second)), 2*window), 2*time.Minute)
}

// simulatePermits simulates a workload with a few seeds and checks the results.
func simulatePermits(t *testing.T, l workload, saturated bool) {
	t.Helper()
	allowed := maxRateFactor*float64(l.limit)*window.Seconds() + slack
	if l.partitioned > 0 {
		allowed = 1.5*float64(l.limit)*window.Seconds() + 5 // plus what partitioned routers use
	}
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, uint64(l.routers)))
		p := permitStrategy(l, l.requests(r), r)
		if n := p.maxInWindow(); float64(n) > allowed {
			t.Errorf("seed %d: %d requests in %v, want at most %.1f", seed, n, window, allowed)
		}
		if all := float64(l.limit) * l.duration.Seconds(); saturated && float64(len(p.sends)) < 0.9*all {
			t.Errorf("seed %d: %d requests in %v, want nearly %.0f", seed, len(p.sends), l.duration, all)
		}
	}
}

// TestStrategies prints a comparison of the strategies; WAYS=N simulates each N times.
func TestStrategies(t *testing.T) {
	runs, err := strconv.Atoi(os.Getenv("WAYS"))
	if err != nil {
		t.Skip("WAYS is not set")
	}
	strategies := []struct {
		name string
		run  strategy
	}{{"permits", permitStrategy}, {"shares", allotmentStrategy}, {"estimate", evenSplitStrategy}}
	for _, skew := range []float64{0, 0.8} {
		for _, routers := range []int{4, 24, 102, 384, 1000} {
			for _, limit := range []sumachead.RequestRate{0.2, 1, 5, 50, 200} {
				l := workload{routers: routers, limit: limit, duration: durationFor(limit), demandFactor: demandFactorFor(limit), skew: skew}
				for _, w := range strategies {
					worst, used, messages := 0, 0.0, 0.0
					for seed := range uint64(runs) {
						r := rand.New(rand.NewPCG(seed, 1))
						p := w.run(l, l.requests(r), r)
						worst = max(worst, p.maxInWindow())
						used += float64(len(p.sends)) / (float64(limit) * l.duration.Seconds()) / float64(runs)
						messages += float64(p.messages) / l.duration.Seconds() / float64(runs)
					}
					fmt.Printf("%g,%d,%g,%s,%.2f,%.2f,%.1f\n", skew, routers, limit, w.name,
						float64(worst)/(maxRateFactor*float64(limit)*window.Seconds()+slack), used, messages)
				}
			}
		}
	}
}
