package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// plainFleet is many routers in some data halls and the servers of a plain service, which has no
// load trackers: each router knows only what it sent itself. Servers run some requests at a time
// and queue the others.
type plainFleet struct {
	now     time.Time
	rand    *rand.Rand
	servers []*wire.ServerRecord
	state   map[string]*plainServer
	routers []*Scheduler
	events  simulatedEvents
	// arrivals counts requests by server, and latencies holds the latency of each.
	arrivals  map[string]int
	latencies []time.Duration
}

// plainServer is one server, with the time when each of its slots is free.
type plainServer struct{ slotsFreeAt []time.Time }

const (
	plainSlots       = 6
	plainServiceTime = 30 * time.Millisecond
)

// newPlainFleet returns a fleet with routers and servers spread evenly over the data halls.
func newPlainFleet(routers, servers, halls int) *plainFleet {
	f := &plainFleet{now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(1, 2)), state: make(map[string]*plainServer), arrivals: make(map[string]int)}
	for i := range servers {
		id := fmt.Sprint("desk-", i)
		f.servers = append(f.servers, &wire.ServerRecord{Id: id, Service: "desk", Hall: fmt.Sprint("hall-", i%halls), Slots: plainSlots})
		f.state[id] = &plainServer{slotsFreeAt: make([]time.Time, plainSlots)}
	}
	for i := range routers {
		c := NewScheduler(sumachead.HallID(fmt.Sprint("hall-", i%halls)))
		c.tieBreakSeed = f.rand.Uint64()
		f.routers = append(f.routers, c)
	}
	return f
}

// simulate sends requests at a rate for a time.
func (f *plainFleet) simulate(perSecond float64, duration time.Duration) {
	end := f.now.Add(duration)
	for at := f.now; at.Before(end); at = at.Add(time.Duration(f.rand.ExpFloat64() / perSecond * float64(time.Second))) {
		heap.Push(&f.events, simulatedEvent{at, f.request})
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(simulatedEvent)
		f.now = e.at
		e.do()
	}
}

// request has a router choose a server, which ends the request after it had a slot.
func (f *plainFleet) request() {
	w := &Request{Route: "check"}
	c := f.routers[f.rand.IntN(len(f.routers))]
	l := c.Place(c.Candidates(f.servers, nil, w, f.now), nil, w, f.now)
	f.arrivals[l.Record.GetId()]++
	places := f.state[l.Record.GetId()].slotsFreeAt
	first := 0
	for i, t := range places {
		if t.Before(places[first]) {
			first = i
		}
	}
	startsAt := f.now
	if places[first].After(startsAt) {
		startsAt = places[first]
	}
	ends := startsAt.Add(time.Duration(float64(plainServiceTime) * (0.5 + f.rand.ExpFloat64()/2)))
	places[first] = ends
	f.latencies = append(f.latencies, ends.Sub(f.now))
	heap.Push(&f.events, simulatedEvent{ends, func() { l.Done(true, f.now) }})
}

// lateShare returns the fraction of requests that took longer than a time.
func (f *plainFleet) lateShare(than time.Duration) float64 {
	n := 0
	for _, t := range f.latencies {
		if t > than {
			n++
		}
	}
	return float64(n) / float64(len(f.latencies))
}

// busiest returns the load of the busiest server as a multiple of the mean, and how many servers
// got nothing.
func (f *plainFleet) busiest() (times float64, idle int) {
	highest := 0
	for _, r := range f.servers {
		n := f.arrivals[r.GetId()]
		highest = max(highest, n)
		if n == 0 {
			idle++
		}
	}
	return float64(highest*len(f.servers)) / float64(len(f.latencies)), idle
}

// Routers know nothing of each other's requests to the servers of a plain service: they must not
// all prefer the same server. This matters in a fleet whose routers have less than one request
// in flight each.
func TestPlainServersShareTheLoad(t *testing.T) {
	tests := []struct {
		routers, servers, halls int
		perSecond               float64
	}{
		{4, 3, 3, 40},
		{24, 9, 3, 300},
		{102, 20, 5, 700},
		{384, 20, 5, 1500},
		{1000, 50, 5, 4000},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.routers, " routers"), func(t *testing.T) {
			f := newPlainFleet(tt.routers, tt.servers, tt.halls)
			f.simulate(tt.perSecond, 10*time.Second)
			const inTime, maxRatio, maxLate = 150 * time.Millisecond, 2, 0.02
			times, idle := f.busiest()
			late := f.lateShare(inTime)
			t.Logf("the busiest server got %.2f times the mean, %d servers got nothing; %.2f%% took longer than %v", times, idle, 100*late, inTime)
			if times > maxRatio || idle > 0 || late > maxLate {
				t.Errorf("want at most %d times the mean, no idle server, and at most %v late", maxRatio, maxLate)
			}
		})
	}
}
