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
	// window is the time in which requests to a server are counted, of which windowFactor
	// times the limit and windowSlack more may come.
	window       = 4 * time.Second
	windowFactor = 1.1
	windowSlack  = 2
	// waits is for how long a request waits for a permit.
	waits = 800 * time.Millisecond
	// asked is the time to a permit's process and back.
	asked = 3 * time.Millisecond
)

// load is requests for one limited server, by when and at which router they come.
type load struct {
	routers int
	limit   sumachead.RequestRate
	lasts   time.Duration
	// demand is how many times the limit is asked for.
	demand float64
	// hot is the part of requests that come to the first router.
	hot float64
	// restarts is how often the process that grants permits starts again.
	restarts int
	// cut is the part of the routers that do not reach it.
	cut float64
}

// request is one of a load.
type request struct {
	at     time.Duration
	router int
}

// draw draws the requests of a load.
func (l load) draw(r *rand.Rand) []request {
	var out []request
	rate := float64(l.limit) * l.demand
	for at := time.Duration(0); at < l.lasts; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		router := r.IntN(l.routers)
		if r.Float64() < l.hot {
			router = 0
		}
		out = append(out, request{at, router})
	}
	return out
}

// played is what came of a load.
type played struct {
	sends []time.Duration
	// messages is how many questions and reports the busiest process took.
	messages int
}

// most returns the most requests within a window.
func (p played) most() int {
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

// way is a way to share a limit among routers.
type way func(l load, requests []request, r *rand.Rand) played

// byPermits asks one process for each request: the way that is built.
func byPermits(l load, requests []request, r *rand.Rand) played {
	var p played
	begun := time.Now()
	b := BoundOf(l.limit)
	gate := &Permits{Since: begun.Add(-time.Minute)}
	var restarts []time.Duration
	for range l.restarts {
		restarts = append(restarts, time.Duration(r.Int64N(int64(l.lasts))))
	}
	slices.Sort(restarts)
	shares := make([]warmup.Shares, l.routers)
	part := b
	part.Rate *= 0.5
	// denied is until when routers know that there is no permit: none of their requests asks
	// then, and those that wait come back spread over minSpread at least.
	denied := make([]time.Duration, l.routers)
	const minSpread = 30 * time.Millisecond
	spread := func(after time.Duration) time.Duration {
		return after + time.Duration(r.Float64()*float64(max(after/2, minSpread)))
	}
	asks := newQueue(requests)
	for asks.more() {
		x := asks.next()
		now := begun.Add(x.at)
		if float64(x.router) < l.cut*float64(l.routers) {
			if shares[x.router].Take("a", part, l.routers, now) {
				p.sends = append(p.sends, x.at)
			} else {
				asks.again(x, 200*time.Millisecond)
			}
			continue
		}
		if len(restarts) > 0 && x.at >= restarts[0] {
			gate = &Permits{Since: begun.Add(restarts[0] + 300*time.Millisecond)}
			restarts = restarts[1:]
		}
		if now.Before(gate.Since) {
			asks.again(x, 200*time.Millisecond)
			continue
		}
		if left := denied[x.router] - x.at; left > 0 {
			asks.again(x, spread(left))
			continue
		}
		p.messages++
		granted, again := gate.Admit("a", b, 0, now)
		if granted {
			p.sends = append(p.sends, x.at+time.Duration(r.Int64N(int64(warmup.GrantLives))))
			continue
		}
		denied[x.router] = x.at + again
		asks.again(x, spread(again))
	}
	return p
}

// byShares has a lender give each router permits by what it has lately asked for, twice a second.
func byShares(l load, requests []request, r *rand.Rand) played {
	const every = 500 * time.Millisecond
	var p played
	held, wanted := make([]int, l.routers), make([]int, l.routers)
	carry, last := 0.0, time.Duration(0)
	asks := newQueue(requests)
	for asks.more() {
		x := asks.next()
		for last+every <= x.at {
			last += every
			carry += float64(l.limit) * every.Seconds()
			held = make([]int, l.routers) // what was not used is over
			var lack []int
			for i, n := range wanted {
				if n > 0 {
					p.messages++
				}
				for range n {
					lack = append(lack, i)
				}
			}
			r.Shuffle(len(lack), func(i, j int) { lack[i], lack[j] = lack[j], lack[i] })
			for _, i := range lack[:min(int(carry), len(lack))] {
				held[i]++
				carry--
			}
			carry = min(carry, 1)
			wanted = make([]int, l.routers)
		}
		if held[x.router] > 0 {
			held[x.router]--
			p.sends = append(p.sends, x.at)
			continue
		}
		wanted[x.router]++
		asks.again(x, last+every-x.at)
	}
	return p
}

// byEstimate has each router keep to an even part, without messages.
func byEstimate(l load, requests []request, _ *rand.Rand) played {
	var p played
	begun := time.Now()
	parts := make([]bucket.Bucket, l.routers)
	rate := float64(l.limit) / float64(l.routers)
	asks := newQueue(requests)
	for asks.more() {
		x := asks.next()
		b := &parts[x.router]
		b.Fill(rate, min(rate, 1), begun.Add(x.at))
		if b.Take(min(rate, 1)) {
			p.sends = append(p.sends, x.at)
			continue
		}
		asks.again(x, 200*time.Millisecond)
	}
	return p
}

// queue is requests by when they ask next; those that have waited for too long are refused.
type queue []waiting

type waiting struct {
	request
	until time.Duration
}

func newQueue(requests []request) *queue {
	q := &queue{}
	for _, x := range requests {
		*q = append(*q, waiting{x, x.at + waits})
	}
	heap.Init(q)
	return q
}

func (q *queue) Len() int           { return len(*q) }
func (q *queue) Less(i, j int) bool { return (*q)[i].at < (*q)[j].at }
func (q *queue) Swap(i, j int)      { (*q)[i], (*q)[j] = (*q)[j], (*q)[i] }
func (q *queue) Push(x any)         { *q = append(*q, x.(waiting)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (q *queue) more() bool { return len(*q) > 0 }

func (q *queue) next() waiting { return heap.Pop(q).(waiting) }

// again puts a request back that asks again after a time, if it waits so long.
func (q *queue) again(x waiting, after time.Duration) {
	x.at += max(after, asked)
	if x.at <= x.until {
		heap.Push(q, x)
	}
}

// The permits of one process keep the sum within the bound and use nearly all of the limit while
// requests wait for it, however many routers there are.
func TestPermitsKeepTheLimit(t *testing.T) {
	faults := []struct {
		name string
		load load
		// full: the limit is to be used up.
		full bool
	}{
		{"calm", load{hot: 0.2}, true},
		{"one router has all callers", load{hot: 1}, true},
		{"little more is asked for than allowed", load{hot: 0.2, demand: 1.2}, false},
		{"the process starts again", load{restarts: 5}, false},
		{"a tenth of the routers are cut off", load{cut: 0.1}, false},
	}
	for _, routers := range []int{4, 24, 102, 384, 1000} {
		for _, limit := range []sumachead.RequestRate{0.2, 1, 2.5, 20, 200} {
			for _, tt := range faults {
				t.Run(fmt.Sprintf("%d routers, limit %v, %s", routers, limit, tt.name), func(t *testing.T) {
					l := tt.load
					l.routers, l.limit, l.lasts, l.demand = routers, limit, playTime(limit), cmp.Or(l.demand, demandFor(limit))
					checkPermits(t, l, tt.full)
				})
			}
		}
	}
}

// demandFor returns how many times a limit is asked for if some request always waits for it.
func demandFor(limit sumachead.RequestRate) float64 {
	const least, requests = 3, 8 // requests a second
	return max(least, requests/float64(limit))
}

// playTime returns how long a load lasts: as long as some hundred permits take, within bounds.
func playTime(limit sumachead.RequestRate) time.Duration {
	const permits = 300
	return min(max(time.Duration(permits/float64(limit)*float64(time.Second)), 2*window), 2*time.Minute)
}

// checkPermits plays a load with some seeds.
func checkPermits(t *testing.T, l load, full bool) {
	t.Helper()
	allowed := windowFactor*float64(l.limit)*window.Seconds() + windowSlack
	if l.cut > 0 {
		allowed = 1.5*float64(l.limit)*window.Seconds() + 5 // what cut routers use comes on top
	}
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, uint64(l.routers)))
		p := byPermits(l, l.draw(r), r)
		if n := p.most(); float64(n) > allowed {
			t.Errorf("seed %d: %d requests in %v, %.1f are allowed", seed, n, window, allowed)
		}
		if all := float64(l.limit) * l.lasts.Seconds(); full && float64(len(p.sends)) < 0.9*all {
			t.Errorf("seed %d: %d requests in %v of %.0f", seed, len(p.sends), l.lasts, all)
		}
	}
}

// TestWays prints what the ways give; WAYS=N plays each N times.
func TestWays(t *testing.T) {
	plays, err := strconv.Atoi(os.Getenv("WAYS"))
	if err != nil {
		t.Skip("WAYS is not set")
	}
	ways := []struct {
		name string
		way  way
	}{{"permits", byPermits}, {"shares", byShares}, {"estimate", byEstimate}}
	for _, hot := range []float64{0, 0.8} {
		for _, routers := range []int{4, 24, 102, 384, 1000} {
			for _, limit := range []sumachead.RequestRate{0.2, 1, 5, 50, 200} {
				l := load{routers: routers, limit: limit, lasts: playTime(limit), demand: demandFor(limit), hot: hot}
				for _, w := range ways {
					most, used, messages := 0, 0.0, 0.0
					for seed := range uint64(plays) {
						r := rand.New(rand.NewPCG(seed, 1))
						p := w.way(l, l.draw(r), r)
						most = max(most, p.most())
						used += float64(len(p.sends)) / (float64(limit) * l.lasts.Seconds()) / float64(plays)
						messages += float64(p.messages) / l.lasts.Seconds() / float64(plays)
					}
					fmt.Printf("%g,%d,%g,%s,%.2f,%.2f,%.1f\n", hot, routers, limit, w.name,
						float64(most)/(windowFactor*float64(limit)*window.Seconds()+windowSlack), used, messages)
				}
			}
		}
	}
}
