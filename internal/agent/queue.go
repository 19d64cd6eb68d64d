package agent

import (
	"sync"
	"time"

	"sumachead"
)

const (
	// queuePerSlot is the maximum number of waiting requests per slot.
	queuePerSlot = 4
	// defaultServiceTime is the assumed service time until a request has finished.
	defaultServiceTime = 200 * time.Millisecond
	// urgentSlotDivisor divides the slots: that fraction of them is reserved for urgent
	// requests while urgent requests arrive.
	urgentSlotDivisor = 8
	// minSlotsToReserve is the minimum number of slots at which any are reserved.
	minSlotsToReserve = 4
	// urgentWindow is how long slots stay reserved after an urgent request arrived.
	urgentWindow = 30 * time.Second
	// averageWeight is the weight of the newest value in moving averages.
	averageWeight = 0.1
)

// ticket is the entry of one request in the queue.
type ticket struct {
	priority sumachead.Priority
	// admitted is closed when the request gets a slot, shed when it is dropped
	// from the queue.
	admitted chan struct{}
	shed     chan struct{}
}

// queue assigns the server's slots by priority, and in order of arrival within a
// priority.
type queue struct {
	mu             sync.Mutex // guards the fields below
	slots          int
	running        int
	waiting        []*ticket // by priority, then by arrival
	avgServiceTime time.Duration
	// lastUrgentAt is when the last urgent request arrived.
	lastUrgentAt time.Time
}

// enqueue adds a request. It returns nil if the queue is full; retryAt is then when
// the queue is expected to accept a request.
func (q *queue) enqueue(p sumachead.Priority, now time.Time) (t *ticket, retryAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t = &ticket{priority: p, admitted: make(chan struct{}), shed: make(chan struct{})}
	if p == sumachead.PriorityUrgent {
		q.lastUrgentAt = now
	}
	if q.running < q.limit(p, now) && len(q.waiting) == 0 || q.overtakes(p) {
		q.running++
		close(t.admitted)
		return t, time.Time{}
	}
	if len(q.waiting) >= q.slots*queuePerSlot && !q.shedBelow(p) {
		return nil, now.Add(q.estimateWaitLocked())
	}
	q.insert(t)
	return t, time.Time{}
}

// limit returns the maximum number of running requests at which a request of the
// priority may still start.
func (q *queue) limit(p sumachead.Priority, now time.Time) int {
	if p == sumachead.PriorityUrgent || q.slots < minSlotsToReserve || now.Sub(q.lastUrgentAt) > urgentWindow {
		return q.slots
	}
	return q.slots - max(q.slots/urgentSlotDivisor, 1)
}

// overtakes reports whether an urgent request may take a free slot although less
// urgent requests wait.
func (q *queue) overtakes(p sumachead.Priority) bool {
	return p == sumachead.PriorityUrgent && q.running < q.slots && (len(q.waiting) == 0 || q.waiting[0].priority < p)
}

// shedBelow drops the newest of the least urgent waiting requests if it is less
// urgent than p.
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

// shedAll drops all waiting requests of a stuck server. Other servers may run
// them.
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

// remove removes a waiting request; it reports whether t was waiting.
func (q *queue) remove(t *ticket) bool {
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

// release frees a slot after a request with the given service time.
func (q *queue) release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if q.avgServiceTime == 0 {
		q.avgServiceTime = took
	}
	q.avgServiceTime += time.Duration(averageWeight * float64(took-q.avgServiceTime))
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

// setSlots sets the number of slots and admits waiting requests to new ones.
func (q *queue) setSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = n
	q.admitLocked()
}

// estimateWaitLocked estimates how long a new request would wait.
func (q *queue) estimateWaitLocked() time.Duration {
	service := q.avgServiceTime
	if service == 0 {
		service = defaultServiceTime
	}
	if q.slots == 0 {
		return service
	}
	return service * time.Duration(len(q.waiting)+q.slots) / time.Duration(q.slots)
}

// load returns the numbers of running requests, waiting requests and slots.
func (q *queue) load() (running, waiting, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), q.slots
}
