package agent

import (
	"testing"
	"time"

	"sumachead"
)

func admitted(t *ticket) bool {
	select {
	case <-t.admitted:
		return true
	default:
		return false
	}
}

func wasShed(t *ticket) bool {
	select {
	case <-t.shed:
		return true
	default:
		return false
	}
}

func TestQueueOrderAndShedding(t *testing.T) {
	now := time.Now()
	q := &queue{slots: 1}
	first, _ := q.enqueue(sumachead.PriorityNormal, now)
	batch, _ := q.enqueue(sumachead.PriorityBatch, now)
	normal, _ := q.enqueue(sumachead.PriorityNormal, now)
	urgent, _ := q.enqueue(sumachead.PriorityUrgent, now)
	last, _ := q.enqueue(sumachead.PriorityBatch, now)
	if !admitted(first) || admitted(urgent) {
		t.Fatal("one slot must run exactly one request")
	}
	// The queue of four is full: a request of the lowest priority is refused, a
	// more urgent one replaces the newest of the least urgent.
	if refused, retryAt := q.enqueue(sumachead.PriorityBatch, now); refused != nil || !retryAt.After(now) {
		t.Error("full queue: want a refusal with a retry time")
	}
	late, _ := q.enqueue(sumachead.PriorityUrgent, now)
	if !wasShed(last) || wasShed(batch) {
		t.Error("want the newest of the least urgent requests to be shed first")
	}
	for i, want := range []*ticket{urgent, late, normal, batch} {
		q.release(time.Millisecond)
		if !admitted(want) {
			t.Fatalf("slot %d was given to another request", i)
		}
	}
}

func TestSlotForUrgentWork(t *testing.T) {
	now := time.Now()
	q := &queue{slots: 4, lastUrgentAt: now}
	for range 3 {
		if x, _ := q.enqueue(sumachead.PriorityNormal, now); !admitted(x) {
			t.Fatal("want three slots for all priorities")
		}
	}
	waits, _ := q.enqueue(sumachead.PriorityNormal, now)
	urgent, _ := q.enqueue(sumachead.PriorityUrgent, now)
	if admitted(waits) || !admitted(urgent) {
		t.Error("want the last slot reserved for urgent requests")
	}
	quiet := &queue{slots: 4}
	for range 4 {
		if x, _ := quiet.enqueue(sumachead.PriorityNormal, now); !admitted(x) {
			t.Error("want no reserved slot without recent urgent requests")
		}
	}
}

func TestHealth(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const stuckAfter = 2 * time.Second
	h := &health{}
	presumedStuck := func(d time.Duration) bool {
		_, yes := h.presumedStuck(stuckAfter, at(d))
		return yes
	}
	h.requestStarted(start)
	if presumedStuck(900 * time.Millisecond) {
		t.Error("server presumed stuck too early")
	}
	if !presumedStuck(1100 * time.Millisecond) {
		t.Error("silent busy server is not presumed stuck")
	}
	h.dataReceived(at(1200 * time.Millisecond))
	if presumedStuck(2 * time.Second) {
		t.Error("server still presumed stuck after a byte arrived")
	}
	h.requestStuck(at(5 * time.Second))
	h.requestStuck(at(5 * time.Second)) // stuck at the same time: does not double the backoff
	h.requestEnded(false)
	if !presumedStuck(5900*time.Millisecond) || presumedStuck(6100*time.Millisecond) {
		t.Error("want a first backoff of one second")
	}
	h.requestStuck(at(7 * time.Second))
	if !presumedStuck(8900*time.Millisecond) || presumedStuck(9100*time.Millisecond) {
		t.Error("want a second backoff of two seconds")
	}
	h.requestStarted(at(10 * time.Second))
	h.requestEnded(true)
	h.requestStuck(at(11 * time.Second))
	if presumedStuck(12100 * time.Millisecond) {
		t.Error("a complete response does not reset the backoff")
	}
}
