package agent

import (
	"sync"
	"time"

	"sumachead"
)

const (
	// queuePerSlot bounds what waits, in requests for each slot.
	queuePerSlot = 4
	// firstServiceTime is assumed until a request has finished.
	firstServiceTime = 200 * time.Millisecond
	// urgentShare is the part of the slots, one in so many, that only urgent
	// requests get while there are any about.
	urgentShare = 8
	// leastShared is the least number of slots from which one is kept back.
	leastShared = 4
	// urgentMemory is for how long an urgent request counts as being about.
	urgentMemory = 30 * time.Second
	// averageWeight is the weight of the newest value in moving averages.
	averageWeight = 0.1
)

// ticket is one request's place in the queue.
type ticket struct {
	priority sumachead.Priority
	// admitted is closed when a slot is given; shed when the place is lost to
	// a more urgent request.
	admitted chan struct{}
	shed     chan struct{}
}

// queue gives out the server's slots by priority, first come first served
// within one.
type queue struct {
	mu      sync.Mutex // guards the fields below
	slots   int
	running int
	waiting []*ticket // by priority, then by arrival
	service time.Duration
	// urgentAt is when the last urgent request came.
	urgentAt time.Time
}

// enter takes a place. It returns nil when there is no room; then retryAt is
// when room is to be expected.
func (q *queue) enter(p sumachead.Priority, now time.Time) (t *ticket, retryAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t = &ticket{priority: p, admitted: make(chan struct{}), shed: make(chan struct{})}
	if p == sumachead.PriorityUrgent {
		q.urgentAt = now
	}
	if q.running < q.limit(p, now) && len(q.waiting) == 0 || q.overtakes(p) {
		q.running++
		close(t.admitted)
		return t, time.Time{}
	}
	if len(q.waiting) >= q.slots*queuePerSlot && !q.shedBelow(p) {
		return nil, now.Add(q.waitLocked())
	}
	q.insert(t)
	return t, time.Time{}
}

// limit returns how many requests may run before one of a priority must wait.
func (q *queue) limit(p sumachead.Priority, now time.Time) int {
	if p == sumachead.PriorityUrgent || q.slots < leastShared || now.Sub(q.urgentAt) > urgentMemory {
		return q.slots
	}
	return q.slots - max(q.slots/urgentShare, 1)
}

// overtakes reports whether an urgent request may take a slot that is free
// although less urgent ones wait.
func (q *queue) overtakes(p sumachead.Priority) bool {
	return p == sumachead.PriorityUrgent && q.running < q.slots && (len(q.waiting) == 0 || q.waiting[0].priority < p)
}

// shedBelow drops the newest of the least urgent, if less urgent than p.
func (q *queue) shedBelow(p sumachead.Priority) bool {
	if len(q.waiting) == 0 {
		return false
	}
	last := q.waiting[len(q.waiting)-1]
	if last.priority >= p {
		return false
	}
	q.waiting = q.waiting[:len(q.waiting)-1]
	close(last.shed)
	return true
}

// shedAll drops all that wait: the server is stuck, others may not be.
func (q *queue) shedAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.waiting {
		close(t.shed)
	}
	q.waiting = nil
}

func (q *queue) insert(t *ticket) {
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].priority < t.priority {
		i--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = t
}

// leave gives up a place that was not admitted; it reports whether t waited.
func (q *queue) leave(t *ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// release gives a slot back after a request that took so long.
func (q *queue) release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if q.service == 0 {
		q.service = took
	}
	q.service += time.Duration(averageWeight * float64(took-q.service))
	q.admitLocked()
}

func (q *queue) admitLocked() {
	now := time.Now()
	for len(q.waiting) > 0 && q.running < q.limit(q.waiting[0].priority, now) {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		close(t.admitted)
	}
}

// setSlots takes in the number of slots from the settings.
func (q *queue) setSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = n
	q.admitLocked()
}

// waitLocked estimates how long a newcomer would wait.
func (q *queue) waitLocked() time.Duration {
	service := q.service
	if service == 0 {
		service = firstServiceTime
	}
	if q.slots == 0 {
		return service
	}
	return service * time.Duration(len(q.waiting)+q.slots) / time.Duration(q.slots)
}

// load returns what runs, what waits, and the slots.
func (q *queue) load() (running, waiting, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), q.slots
}
