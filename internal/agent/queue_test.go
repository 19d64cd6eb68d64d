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
	first, _ := q.enter(sumachead.PriorityNormal, now)
	batch, _ := q.enter(sumachead.PriorityBatch, now)
	normal, _ := q.enter(sumachead.PriorityNormal, now)
	urgent, _ := q.enter(sumachead.PriorityUrgent, now)
	last, _ := q.enter(sumachead.PriorityBatch, now)
	if !admitted(first) || admitted(urgent) {
		t.Fatal("one slot, one request")
	}
	// The queue of four is full: an equal one is refused, a more urgent one
	// takes the place of the newest of the least urgent.
	if refused, retryAt := q.enter(sumachead.PriorityBatch, now); refused != nil || !retryAt.After(now) {
		t.Error("no refusal with a time to come back")
	}
	late, _ := q.enter(sumachead.PriorityUrgent, now)
	if !wasShed(last) || wasShed(batch) {
		t.Error("the newest of the least urgent goes first")
	}
	for i, want := range []*ticket{urgent, late, normal, batch} {
		q.release(time.Millisecond)
		if !admitted(want) {
			t.Fatalf("place %d went to another", i)
		}
	}
}

func TestSlotForUrgentWork(t *testing.T) {
	now := time.Now()
	q := &queue{slots: 4, urgentAt: now}
	for range 3 {
		if x, _ := q.enter(sumachead.PriorityNormal, now); !admitted(x) {
			t.Fatal("three slots are for all")
		}
	}
	waits, _ := q.enter(sumachead.PriorityNormal, now)
	urgent, _ := q.enter(sumachead.PriorityUrgent, now)
	if admitted(waits) || !admitted(urgent) {
		t.Error("the last slot is for urgent work")
	}
	quiet := &queue{slots: 4}
	for range 4 {
		if x, _ := quiet.enter(sumachead.PriorityNormal, now); !admitted(x) {
			t.Error("without urgent work about, all slots are for all")
		}
	}
}

func TestHealth(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const stuckAfter = 2 * time.Second
	h := &health{}
	suspect := func(d time.Duration) bool {
		_, yes := h.suspect(stuckAfter, at(d))
		return yes
	}
	h.began(start)
	if suspect(900 * time.Millisecond) {
		t.Error("suspected too soon")
	}
	if !suspect(1100 * time.Millisecond) {
		t.Error("silence of a busy server is not noticed")
	}
	h.heard(at(1200 * time.Millisecond))
	if suspect(2 * time.Second) {
		t.Error("a byte does not clear it")
	}
	h.stuck(at(5 * time.Second))
	h.stuck(at(5 * time.Second)) // stuck together: counts once
	h.ended(false)
	if !suspect(5900*time.Millisecond) || suspect(6100*time.Millisecond) {
		t.Error("the first rest is a second")
	}
	h.stuck(at(7 * time.Second))
	if !suspect(8900*time.Millisecond) || suspect(9100*time.Millisecond) {
		t.Error("the second rest is two seconds")
	}
	h.began(at(10 * time.Second))
	h.ended(true)
	h.stuck(at(11 * time.Second))
	if suspect(12100 * time.Millisecond) {
		t.Error("a whole answer does not shorten the next rest")
	}
}
