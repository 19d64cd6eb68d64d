package outbox

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// calls records what was sent, by key.
type calls struct {
	mu   sync.Mutex
	sent map[string][][]int
	// gate blocks the first call of a key until it is closed.
	gate chan struct{}
	// fail is how many calls fail before one succeeds.
	fail int
}

func (c *calls) send(to string, batch []int) (retry []int, delay time.Duration) {
	c.mu.Lock()
	first := len(c.sent[to]) == 0
	c.sent[to] = append(c.sent[to], append([]int(nil), batch...))
	failed := c.fail > 0
	if failed {
		c.fail--
	}
	c.mu.Unlock()
	if first {
		<-c.gate
	}
	if failed {
		return batch, time.Millisecond
	}
	return nil, 0
}

func TestMessagesAreBatchedInOrder(t *testing.T) {
	tests := []struct {
		name     string
		maxBatch int
		fail     int
		want     [][]int
	}{
		{"messages during a call are batched", 10, 0, [][]int{{1}, {2, 3, 4, 5}}},
		{"batch size is bounded", 2, 0, [][]int{{1}, {2, 3}, {4, 5}}},
		{"failed messages are sent first", 10, 1, [][]int{{1}, {1, 2, 3, 4, 5}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &calls{sent: make(map[string][][]int), gate: make(chan struct{}), fail: tt.fail}
			o := &Outbox[string, int]{MaxBatch: tt.maxBatch, Send: c.send}
			o.Put("a", 1)
			for { // until the first call is in progress
				c.mu.Lock()
				n := len(c.sent["a"])
				c.mu.Unlock()
				if n > 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			for i := 2; i <= 5; i++ {
				o.Put("a", i)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			o.Flush(ctx)
			if ctx.Err() == nil {
				t.Fatal("flushed while a call was in progress")
			}
			close(c.gate)
			o.Flush(t.Context())
			if diff := cmp.Diff(tt.want, c.sent["a"]); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
	}
}

// A slow key must not delay other keys.
func TestSlowKeyDoesNotDelayOthers(t *testing.T) {
	gate := make(chan struct{})
	done := make(chan int, 1)
	o := &Outbox[string, int]{MaxBatch: 1, Send: func(to string, batch []int) ([]int, time.Duration) {
		if to == "slow" {
			<-gate
			return nil, 0
		}
		done <- batch[0]
		return nil, 0
	}}
	o.Put("slow", 1)
	o.Put("quick", 2)
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("delayed by another key")
	}
	close(gate)
	o.Flush(t.Context())
}
