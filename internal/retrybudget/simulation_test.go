package retrybudget

import (
	"container/heap"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/rules"
)

// A simulation of a fleet without a network: routers that receive requests and retry those that fail,
// and one leading keeper. Calls are delayed or lost; routers and keepers restart and are cut off.

var errLost = errors.New("the call was lost")

// event is a function that is called at a simulated time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// phase is a part of a history with constant traffic.
type phase struct {
	from time.Duration
	// rate is the requests per second of all callers for a service, and weights each router's part.
	rate    map[string]float64
	weights []float64
	// fails is the probability that an attempt at a service fails, after a delay of up to maxDelay.
	fails    map[string]float64
	maxDelay time.Duration
}

// fault is a change of the fleet at a time.
type fault struct {
	at time.Duration
	// restart lists the routers that restart.
	restart []int
	// cut lists the routers that are cut off from keepers from now on; nil leaves it as it is.
	cut []int
	// elect replaces the leading keeper, after a time without one.
	elect time.Duration
}

// history is a scripted run of a fleet.
type history struct {
	limit       Limit
	routers     int
	maxAttempts int
	length      time.Duration
	phases      []phase
	faults      []fault
	// callTime is the maximum time of a call between a router and a keeper, one way, and lost the
	// probability that one is lost.
	callTime time.Duration
	lost     float64
}

// simulation runs a history.
type simulation struct {
	history
	rand    *rand.Rand
	now     time.Duration
	queue   eventQueue
	budgets []*Budget
	cut     map[int]bool
	// granter is the leading keeper; nil while there is none.
	granter *Granter
	term    int
	// inUse is what leaders have recorded.
	inUse  map[string]bool
	rule   *rules.Retries
	nextID int
	// calls counts calls to keepers.
	calls int
	// waiting holds what to do once a round is done.
	waiting map[*round][]func()
}

// Now implements [sumachead.Clock].
func (s *simulation) Now() sumachead.BootTime {
	return sumachead.BootTime(time.Hour + s.now)
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

func (s *simulation) delay(maximum time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(max(maximum, 1))))
}

// simulate runs a history and returns the rule's view of it.
func simulate(h history, seed uint64) *simulation {
	s := &simulation{
		history: h, rand: rand.New(rand.NewPCG(seed, seed)), cut: make(map[int]bool),
		rule:    &rules.Retries{Ratio: h.limit.Ratio, Extra: h.limit.Extra, Window: h.limit.Window},
		waiting: make(map[*round][]func()), inUse: make(map[string]bool),
	}
	for range h.routers {
		s.budgets = append(s.budgets, s.newBudget())
	}
	s.elect()
	for _, p := range h.phases {
		s.at(p.from, func() { s.begin(p) })
	}
	for _, f := range h.faults {
		s.at(f.at, func() { s.strike(f) })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *simulation) at(t time.Duration, do func()) { heap.Push(&s.queue, event{t, do}) }

func (s *simulation) newBudget() *Budget {
	// The simulation makes the calls itself.
	return &Budget{Limit: s.limit, Clock: s, Request: func(context.Context, *wire.RetryRequest) (*wire.RetryReply, error) { return nil, errLost }}
}

func (s *simulation) elect() {
	s.term++
	s.granter = &Granter{Limit: s.limit, Clock: s, RecordUse: func(service string, active bool) error {
		if active && s.rand.Float64() < s.lost {
			return errLost
		}
		s.inUse[service] = active
		return nil
	}}
	s.granter.StartLeading(strconv.Itoa(s.term), s.servicesInUse())
	s.sweep(s.granter)
}

func (s *simulation) servicesInUse() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.inUse)) {
		if s.inUse[name] {
			names = append(names, name)
		}
	}
	return names
}

// sweep has a leader record periodically what is no longer in use.
func (s *simulation) sweep(g *Granter) {
	const interval = 300 * time.Millisecond
	s.after(interval, func() {
		if s.granter == g && s.now < s.length {
			g.RecordUnused()
			s.sweep(g)
		}
	})
}

// strike applies a fault.
func (s *simulation) strike(f fault) {
	for _, i := range f.restart {
		s.budgets[i] = s.newBudget()
	}
	if f.cut != nil {
		clear(s.cut)
		for _, i := range f.cut {
			s.cut[i] = true
		}
	}
	if f.elect > 0 {
		s.granter = nil
		s.after(f.elect, s.elect)
	}
}

// begin starts the traffic of a phase, which lasts until the next one begins.
func (s *simulation) begin(p phase) {
	end := s.length
	for _, other := range s.phases {
		if other.from > p.from && other.from < end {
			end = other.from
		}
	}
	total := 0.0
	for _, w := range p.weights {
		total += w
	}
	for _, service := range slices.Sorted(maps.Keys(p.rate)) {
		rate := p.rate[service]
		var next func()
		gap := func() time.Duration { return time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second)) }
		next = func() {
			if s.now >= end {
				return
			}
			s.request(p, service, s.pick(p.weights, total))
			s.after(gap(), next)
		}
		if rate > 0 {
			s.after(gap(), next)
		}
	}
}

func (s *simulation) pick(weights []float64, total float64) int {
	x := s.rand.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// request is a caller's request at a router.
func (s *simulation) request(p phase, service string, router int) {
	s.nextID++
	id := strconv.Itoa(s.nextID)
	s.rule.AddRequest(service, s.now)
	s.budgets[router].RecordRequest(service)
	s.attempt(p, service, id, router, 1)
}

// attempt sends a request to a server, and retries it if it fails.
func (s *simulation) attempt(p phase, service, id string, router, number int) {
	const maxArrivalDelay = 5 * time.Millisecond
	s.rule.AddArrival(service, id, s.now+s.delay(maxArrivalDelay))
	if number >= s.maxAttempts || s.rand.Float64() >= p.fails[service] {
		return
	}
	b := s.budgets[router]
	s.after(s.delay(p.maxDelay), func() {
		if s.budgets[router] != b {
			return // the router has restarted
		}
		s.take(b, service, router, func() { s.attempt(p, service, id, router, number+1) })
	})
}

// take pays for a retry and calls send if there was something to pay with.
func (s *simulation) take(b *Budget, service string, router int, send func()) {
	sendBy, r, mustAsk := b.takeOrJoin(service)
	if r == nil {
		if sendBy != 0 {
			s.sendBefore(sendBy, send)
		}
		return
	}
	s.waiting[r] = append(s.waiting[r], func() {
		if sendBy := b.takeGranted(service); sendBy != 0 {
			s.sendBefore(sendBy, send)
		}
	})
	if mustAsk {
		s.ask(b, service, router)
	}
}

// sendBefore sends a retry that is paid for, mostly at once and sometimes as late as it may be sent.
func (s *simulation) sendBefore(sendBy sumachead.BootTime, send func()) {
	const lateOneIn = 10
	if s.rand.IntN(lateOneIn) > 0 {
		send()
		return
	}
	s.after(s.delay(sendBy.Sub(s.Now())), send)
}

// ask is [Budget.ask] in simulated time.
func (s *simulation) ask(b *Budget, service string, router int) {
	r, request, sentAt := b.nextRound(service)
	if r == nil {
		return
	}
	s.calls++
	finish := func(reply *wire.RetryReply, err error) {
		b.apply(service, r, sentAt, reply, err)
		for _, do := range s.waiting[r] {
			do()
		}
		delete(s.waiting, r)
		s.ask(b, service, router)
	}
	lose := func() { s.after(requestTimeout, func() { finish(nil, errLost) }) }
	if s.cut[router] || s.granter == nil || s.rand.Float64() < s.lost {
		lose()
		return
	}
	s.after(s.delay(s.callTime), func() {
		if s.granter == nil {
			lose()
			return
		}
		granted, wait, err := s.granter.Grant(strconv.Itoa(s.term), service, request.GetRequests(), int(request.GetWanted()))
		if err != nil || s.rand.Float64() < s.lost {
			lose()
			return
		}
		reply := &wire.RetryReply{Granted: uint32(granted), WaitMillis: wait.Milliseconds()}
		s.after(s.delay(s.callTime), func() { finish(reply, nil) })
	})
}
